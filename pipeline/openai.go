package pipeline

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/settings"
)

// OpenAI is the product's own dialect: the OpenAI API with bearer tokens, and plain
// services below /services/.
type OpenAI struct {
	auth    authenticate
	catalog func() *settings.Catalog
	maxBody int64
}

// NewOpenAI returns the dialect for the settings in force. maxBody bounds the size of a
// request's body, in bytes.
func NewOpenAI(catalog func() *settings.Catalog, maxBody int64) *OpenAI {
	return &OpenAI{auth: authenticate{catalog: catalog}, catalog: catalog, maxBody: maxBody}
}

// PrepareFilters implements Dialect.
func (d *OpenAI) PrepareFilters() []Filter {
	return []Filter{decode{maxBody: d.maxBody}, d.auth, resolve{catalog: d.catalog}}
}

// SetHeaders implements Dialect.
func (d *OpenAI) SetHeaders(h http.Header, x *Exchange) { h.Set(engine.RequestIDHeader, x.ID) }

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Field   string `json:"field,omitempty"`
}

func encodeError(a Answer) []byte {
	// Encoding a struct of strings cannot fail.
	body, _ := json.Marshal(errorBody{Error: errorDetail{Code: a.Code, Message: a.Message, Field: a.Field}})
	return body
}

// WriteFailure implements Dialect.
func (d *OpenAI) WriteFailure(w http.ResponseWriter, a Answer) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	switch {
	case a.NotRun():
		h.Set(outcomeHeader, "not-run")
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	case a.Code == CodeOutcomeUnknown:
		h.Set(outcomeHeader, "unknown")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(append(encodeError(a), '\n'))
}

// WriteStreamError implements Dialect: an error event replaces the terminator.
func (d *OpenAI) WriteStreamError(w http.ResponseWriter, a Answer) bool {
	_, _ = w.Write([]byte("event: error\ndata: " + string(encodeError(a)) + "\n\n"))
	_ = http.NewResponseController(w).Flush()
	return true
}

// StreamTerminator implements Dialect.
func (d *OpenAI) StreamTerminator() []byte { return doneMarker }

// doneMarker is the data of the event that ends an OpenAI stream.
var doneMarker = []byte("[DONE]")

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// WithModels serves the list of models and passes all other requests to next.
func (d *OpenAI) WithModels(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathModels && r.Method == http.MethodGet {
			d.listModels(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// listModels lists the models that the caller may use.
func (d *OpenAI) listModels(w http.ResponseWriter, r *http.Request) {
	catalog := d.catalog()
	caller, err := d.auth.Identify(r, catalog, true)
	if err != nil {
		d.WriteFailure(w, classify(err).Answer())
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range slices.Sorted(maps.Keys(catalog.Targets)) {
		if caller.MayUse(name) {
			list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: catalog.Tree.Deployment})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
