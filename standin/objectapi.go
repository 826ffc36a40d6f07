package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// StoreMode is a mode of operation of the object API.
type StoreMode string

// Modes of the object API.
const (
	// StoreUp answers every call without delay.
	StoreUp StoreMode = "up"
	// StoreDown aborts every call and every watch.
	StoreDown StoreMode = "down"
	// StoreSlow delays every call by slowDelay.
	StoreSlow StoreMode = "slow"
	// StoreLostAnswers performs every call, but aborts the connection instead of
	// responding to each call whose number is a multiple of lostAnswerEvery.
	StoreLostAnswers StoreMode = "lost-answers"
)

const (
	objectPathPrefix = "/apis/eiderspring.dev/v1/"
	slowDelay        = 400 * time.Millisecond
	lostAnswerEvery  = 10
	maxEvents        = 4096
	maxValueBytes    = 1 << 20
)

type object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   objectMeta      `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

type objectMeta struct {
	Name              string            `json:"name"`
	ResourceVersion   string            `json:"resourceVersion,omitempty"`
	CreationTimestamp time.Time         `json:"creationTimestamp,omitzero"`
	Labels            map[string]string `json:"labels,omitempty"`
	Annotations       map[string]string `json:"annotations,omitempty"`
}

type objectEvent struct {
	Type    string `json:"type"`
	Object  object `json:"object"`
	version int64
}

// ObjectAPI is an in-memory stand-in for the platform's object API.
type ObjectAPI struct {
	Reads, Writes, Watches atomic.Int64

	mu      sync.Mutex
	mode    StoreMode
	version int64
	objects map[string]map[string]object
	events  map[string][]objectEvent
	// changed is closed and replaced whenever an object or the mode changes.
	changed chan struct{}
	calls   int64
}

// NewObjectAPI returns an empty API in the mode StoreUp.
func NewObjectAPI() *ObjectAPI {
	return &ObjectAPI{
		mode: StoreUp, objects: map[string]map[string]object{},
		events: map[string][]objectEvent{}, changed: make(chan struct{}),
	}
}

// SetMode changes the mode. StoreDown also aborts the open watches.
func (a *ObjectAPI) SetMode(m StoreMode) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.mode = m
	a.notifyWatchers()
}

func (a *ObjectAPI) notifyWatchers() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (a *ObjectAPI) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectPathPrefix), "/")
	mode, cut := a.countCall()
	switch {
	case mode == StoreDown:
		panic(http.ErrAbortHandler)
	case mode == StoreSlow:
		time.Sleep(slowDelay)
	}
	if r.URL.Query().Get("watch") == "1" {
		a.Watches.Add(1)
		a.watch(w, r, kind)
		return
	}
	code, body := a.handle(r, kind, name)
	if cut && mode == StoreLostAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

func (a *ObjectAPI) countCall() (StoreMode, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	return a.mode, a.calls%lostAnswerEvery == 0
}

func (a *ObjectAPI) handle(r *http.Request, kind, name string) (int, any) {
	if r.Method == http.MethodGet {
		a.Reads.Add(1)
		return a.read(kind, name, r.URL.Query().Get("labelSelector"))
	}
	a.Writes.Add(1)
	if r.Method == http.MethodDelete {
		return a.remove(kind, name)
	}
	var o object
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxValueBytes)).Decode(&o); err != nil {
		return http.StatusBadRequest, err.Error()
	}
	return a.write(r.Method, kind, o)
}

func (a *ObjectAPI) read(kind, name, selector string) (int, any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if name != "" {
		if o, ok := a.objects[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, "not found"
	}
	items := make([]object, 0, len(a.objects[kind]))
	label, value, selected := strings.Cut(selector, "=")
	for _, o := range a.objects[kind] {
		if !selected || o.Metadata.Labels[label] == value {
			items = append(items, o)
		}
	}
	return http.StatusOK, map[string]any{
		"metadata": objectMeta{ResourceVersion: strconv.FormatInt(a.version, 10)}, "items": items,
	}
}

func (a *ObjectAPI) write(method, kind string, o object) (int, any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old, exists := a.objects[kind][o.Metadata.Name]
	event := "MODIFIED"
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, "already exists"
	case method == http.MethodPost:
		event = "ADDED"
	case !exists:
		return http.StatusNotFound, "not found"
	case old.Metadata.ResourceVersion != o.Metadata.ResourceVersion:
		return http.StatusConflict, "the version is " + old.Metadata.ResourceVersion
	}
	a.version++
	o.Metadata.ResourceVersion = strconv.FormatInt(a.version, 10)
	o.Metadata.CreationTimestamp = old.Metadata.CreationTimestamp
	if !exists {
		o.Metadata.CreationTimestamp = time.Now()
	}
	if a.objects[kind] == nil {
		a.objects[kind] = map[string]object{}
	}
	a.objects[kind][o.Metadata.Name] = o
	a.record(kind, event, o)
	return http.StatusOK, o
}

func (a *ObjectAPI) remove(kind, name string) (int, any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, exists := a.objects[kind][name]
	if !exists {
		return http.StatusNotFound, "not found"
	}
	delete(a.objects[kind], name)
	a.version++
	o.Metadata.ResourceVersion = strconv.FormatInt(a.version, 10)
	a.record(kind, "DELETED", o)
	return http.StatusOK, o
}

func (a *ObjectAPI) record(kind, event string, o object) {
	log := append(a.events[kind], objectEvent{Type: event, Object: o, version: a.version})
	if len(log) > maxEvents {
		log = log[len(log)-maxEvents:]
	}
	a.events[kind] = log
	a.notifyWatchers()
}

func (a *ObjectAPI) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseInt(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		http.Error(w, fmt.Sprintf("resourceVersion: %v", err), http.StatusBadRequest)
		return
	}
	flusher := w.(http.Flusher)
	enc := json.NewEncoder(w)
	for {
		events, changed, mode, expired := a.eventsAfter(kind, after)
		if mode == StoreDown {
			panic(http.ErrAbortHandler)
		}
		if expired {
			http.Error(w, "too old", http.StatusGone)
			return
		}
		for _, e := range events {
			after = e.version
			_ = enc.Encode(e)
		}
		flusher.Flush()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		}
	}
}

func (a *ObjectAPI) eventsAfter(kind string, after int64) (events []objectEvent, changed <-chan struct{}, mode StoreMode, expired bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	log := a.events[kind]
	if len(log) == maxEvents && after < log[0].version {
		return nil, a.changed, a.mode, true
	}
	for i := len(log); i > 0 && log[i-1].version > after; i-- {
		events = log[i-1:]
	}
	return append([]objectEvent(nil), events...), a.changed, a.mode, false
}
