package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// Paths and headers of the API for callers.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	servicesPrefix  = "/services/"
	idempotencyKey  = "Idempotency-Key"
	maxKeyBytes     = 256
)

// decode reads the request and determines what it asks for.
type decode struct {
	// maxBody bounds the size of the body, in bytes.
	maxBody int64
}

// Process implements Filter.
func (d decode) Process(_ context.Context, x *Exchange) error {
	r := x.Request
	x.Call.Method = r.Method
	x.Call.IdempotencyKey = r.Header.Get(idempotencyKey)
	if len(x.Call.IdempotencyKey) > maxKeyBytes {
		return &DecodeError{Status: http.StatusBadRequest, Field: idempotencyKey, Reason: "longer than 256 bytes"}
	}
	if err := x.ReadBody(d.maxBody); err != nil {
		return err
	}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		return decodeService(x)
	}
	return decodeCompletion(x)
}

// ReadBody reads the body of the request, of at most max bytes.
func (x *Exchange) ReadBody(max int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, max))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &DecodeError{Status: http.StatusRequestEntityTooLarge, Field: "body", Reason: err.Error()}
	}
	if err != nil {
		return &DecodeError{Status: http.StatusBadRequest, Field: "body", Reason: err.Error()}
	}
	// The read deadline bounds the time to read the request, not the time to answer it;
	// without this reset the server would cancel a long stream.
	_ = http.NewResponseController(x.Writer).SetReadDeadline(time.Time{})
	x.Call.Body = body
	return nil
}

func decodeService(x *Exchange) error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(x.Request.URL.EscapedPath(), servicesPrefix), "/")
	if name == "" {
		return &DecodeError{Status: http.StatusNotFound, Field: "path", Reason: "no service is named"}
	}
	x.Call.Name, x.Call.Plain = name, true
	x.Call.Path = "/" + rest
	if _, query, found := strings.Cut(x.Request.RequestURI, "?"); found {
		x.Call.Path += "?" + query
	}
	if err := engine.CheckTarget(x.Call.Path); err != nil {
		return &DecodeError{Status: http.StatusBadRequest, Field: "path", Reason: err.Error()}
	}
	return nil
}

func decodeCompletion(x *Exchange) error {
	path := x.Request.URL.Path
	if path != pathChat && path != pathCompletions {
		return &DecodeError{Status: http.StatusNotFound, Field: "path", Reason: "no such path"}
	}
	if x.Request.Method != http.MethodPost {
		return &DecodeError{Status: http.StatusMethodNotAllowed, Field: "method", Reason: "use POST"}
	}
	fields, err := scanBody(x.Call.Body)
	if err != nil {
		return &DecodeError{Status: http.StatusBadRequest, Field: "body", Reason: err.Error()}
	}
	if fields.name == "" {
		return &DecodeError{Status: http.StatusBadRequest, Field: "model", Reason: "missing"}
	}
	x.Call.PromptParts = SelectPromptParts(fields.promptParts)
	fields.promptParts = nil
	x.Call.Path, x.Call.Name, x.Call.Stream, x.Call.fields = path, fields.name, fields.stream, fields
	return nil
}
