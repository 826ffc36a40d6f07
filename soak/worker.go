package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Times of the stand-ins, shorter than the platform's so that a run is short.
const (
	// EntryEvery is the time between a worker's writes of its entry, EntryLapse how
	// old an entry gets.
	EntryEvery = 300 * time.Millisecond
	EntryLapse = 1200 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 15 * time.Millisecond
	// DrainTime is how long a worker that leaves still serves.
	DrainTime = 2500 * time.Millisecond
)

// Shares of the answers that a worker spoils.
const (
	lostShare = 0.01
	cutShare  = 0.02
)

// RemoteRegistry enters workers, and the operator's configuration, in a store that
// is another process.
type RemoteRegistry struct{ URL string }

// Put implements fake.Registry. A store that does not answer is tried again with
// the next write.
func (r RemoteRegistry) Put(kind, name string, spec any) {
	if err := r.Write(kind, name, spec); err != nil {
		slog.Info("entry not written", "kind", kind, "name", name, "error", err.Error())
	}
}

// Write writes an object and tells whether the store has acknowledged that.
func (r RemoteRegistry) Write(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	body, err := json.Marshal(fake.Object{Metadata: fake.Metadata{Name: name}, Spec: raw})
	if err != nil {
		return err
	}
	status, err := r.call(http.MethodPut, kind+"/"+name, body)
	if err == nil && status == http.StatusNotFound {
		status, err = r.call(http.MethodPost, kind, body)
	}
	if err == nil && status >= http.StatusMultipleChoices {
		return fmt.Errorf("store: status %d", status)
	}
	return err
}

// Remove implements fake.Registry.
func (r RemoteRegistry) Remove(kind, name string) {
	if _, err := r.call(http.MethodDelete, kind+"/"+name, nil); err != nil {
		slog.Info("entry not removed", "kind", kind, "name", name, "error", err.Error())
	}
}

// registryClient bounds each call.
var registryClient = &http.Client{Timeout: time.Second}

func (r RemoteRegistry) call(method, path string, body []byte) (int, error) {
	req, err := http.NewRequest(method, r.URL+"/eiderspring/objects/"+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := registryClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Recorder writes what happens at a worker as lines of JSON.
type Recorder struct {
	mu  sync.Mutex
	out io.Writer
}

// NewRecorder returns a recorder that writes to out.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out} }

// Record writes one line, at once: the process may be killed at any moment.
func (r *Recorder) Record(w *fake.Worker, h fake.Happening) {
	line, err := json.Marshal(Record{At: time.Now(), Worker: w.ID, Service: w.Service, Happening: h})
	if err != nil {
		slog.Error("not recorded", "error", err.Error())
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Write(append(line, '\n'))
}

// Serve answers requests at a worker; now and then an answer is lost or cut.
func Serve(w *fake.Worker, random func() float64) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if random() < lostShare {
			panic(http.ErrAbortHandler)
		}
		rw.Header().Set("X-Server-Seal", "seal-"+w.ID)
		if r.Header.Get("X-Model") == "" {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			fmt.Fprintf(rw, "%s %s by %s: %s", r.Method, r.RequestURI, w.ID, body)
			return
		}
		stream(rw, r, random)
	}
}

func stream(rw http.ResponseWriter, r *http.Request, random func() float64) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for i := int(fake.LastEvent(r)) + 1; i < streamEvents; i++ {
		event := StreamEvent(r.Header.Get("X-Attempt-Id"), i)
		if random() < cutShare {
			_, _ = io.WriteString(rw, event[:len(event)/2])
			_ = http.NewResponseController(rw).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(rw, event)
		_ = http.NewResponseController(rw).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
	}
}

// LockedRandom is a seeded source for many goroutines.
func LockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 1))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}
