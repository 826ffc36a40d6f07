package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"
)

// Platform serves the object API, the list of members and the weight store at one
// address. Its further endpoints control them when the stand-ins run as separate
// processes.
type Platform struct {
	Objects *ObjectAPI
	Members *Members
	Weights *WeightStore
	mux     *http.ServeMux
}

// NewPlatform returns a platform whose list of members changes after listLag.
func NewPlatform(listLag time.Duration, weights *WeightStore) *Platform {
	p := &Platform{Objects: NewObjectAPI(), Members: NewMembers(listLag), Weights: weights, mux: http.NewServeMux()}
	p.mux.Handle(objectPathPrefix, p.Objects)
	p.mux.Handle("GET /members", p.Members)
	p.mux.HandleFunc("POST /members", p.setMember)
	p.mux.HandleFunc("DELETE /members/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.Members.Remove(r.PathValue("name"))
	})
	p.mux.HandleFunc("POST /weights/begin", func(w http.ResponseWriter, _ *http.Request) {
		total, _ := p.Weights.Begin(time.Now())
		writeJSON(w, http.StatusOK, total)
	})
	p.mux.HandleFunc("POST /weights/end", func(http.ResponseWriter, *http.Request) { p.Weights.end() })
	p.mux.HandleFunc("POST /mode/{mode}", func(_ http.ResponseWriter, r *http.Request) {
		p.Objects.SetMode(StoreMode(r.PathValue("mode")))
	})
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) setMember(w http.ResponseWriter, r *http.Request) {
	var m Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Name == "" {
		http.Error(w, "a member with a name is needed", http.StatusBadRequest)
		return
	}
	p.Members.Set(m)
}

// RemoteWeights is a client of the weight store of a platform in another process.
type RemoteWeights struct{ URL string }

// Begin implements Weights. If the platform does not answer, a load takes
// fallbackLoadTime.
func (r RemoteWeights) Begin(time.Time) (time.Duration, func()) {
	const fallbackLoadTime = 30 * time.Second
	resp, err := http.Post(r.URL+"/weights/begin", "", nil)
	if err != nil {
		return fallbackLoadTime, func() {}
	}
	defer resp.Body.Close()
	var total time.Duration
	if json.NewDecoder(resp.Body).Decode(&total) != nil {
		return fallbackLoadTime, func() {}
	}
	return total, func() {
		if resp, err := http.Post(r.URL+"/weights/end", "", nil); err == nil {
			resp.Body.Close()
		}
	}
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
