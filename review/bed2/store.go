package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store (PROTOCOL.md, "The platform's metadata store").
type object struct {
	Metadata objectMeta      `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Created    int64    `json:"createdRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// change is a change of an object, with the time at which it was made.
type change struct {
	kind string
	rev  int64
	at   time.Time
	storeEvent
}

// entryKind is the kind of the workers' entries, which lapse after three heartbeats without a write.
const (
	entryKind = "servers"
	heartbeat = 1200 * time.Millisecond
	entryTTL  = 3 * heartbeat
)

// store is a stand-in of the platform's store.
type store struct {
	mu      sync.Mutex
	rev     int64
	objects map[string]map[string]*object
	history []change
	changed chan struct{}
	written map[string]time.Time
	// staleBy is how old answers to calls with "serializable" are.
	staleBy time.Duration
}

func newStore() *store {
	s := &store{objects: map[string]map[string]*object{}, changed: make(chan struct{}), written: map[string]time.Time{}}
	go func() {
		for range time.Tick(200 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.objects[entryKind] {
		if time.Since(s.written[name]) >= entryTTL {
			s.remove(entryKind, name)
		}
	}
}

// put writes the spec of an object and returns the object.
func (s *store) put(kind, name string, spec json.RawMessage) *object {
	if kind == entryKind {
		s.written[name] = time.Now()
	}
	old := s.objects[kind][name]
	if old != nil && sameSpec(kind, old.Spec, spec) {
		return old
	}
	s.rev++
	o := &object{Metadata: objectMeta{Name: name, Revision: s.rev, Created: s.rev, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null")}
	if old != nil {
		o.Metadata.Created, o.Status = old.Metadata.Created, old.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = o
	s.note(kind, storeEvent{Object: *o})
	return o
}

// sameSpec reports whether a write changes nothing. Of an entry the field seq does not count.
func sameSpec(kind string, a, b json.RawMessage) bool {
	if kind != entryKind {
		return bytes.Equal(a, b)
	}
	var x, y map[string]json.RawMessage
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return bytes.Equal(a, b)
	}
	delete(x, "seq")
	delete(y, "seq")
	p, _ := json.Marshal(x)
	q, _ := json.Marshal(y)
	return bytes.Equal(p, q)
}

func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	if o == nil {
		return
	}
	s.rev++
	delete(s.objects[kind], name)
	s.note(kind, storeEvent{Object: *o, Tombstone: true})
}

func (s *store) note(kind string, e storeEvent) {
	s.history = append(s.history, change{kind: kind, rev: s.rev, at: time.Now(), storeEvent: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes an object as the operator or a worker does.
func (s *store) write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
}

// storePort is the address at which one instance reaches the store. It may be cut while the store
// serves the others.
type storePort struct {
	store   *store
	address string

	mu      sync.Mutex
	silent  bool
	changed chan struct{}
}

func newStorePort(s *store, ip string) *storePort {
	l := listen(ip)
	p := &storePort{store: s, address: l.Addr().String(), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, p) }()
	return p
}

func (p *storePort) state() (silent bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent, p.changed
}

// hang never answers a call.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// ServeHTTP implements http.Handler.
func (p *storePort) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if silent, _ := p.state(); silent {
		hang(r)
	}
	s := p.store
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/eiderspring/objects/"), "/")
	if r.Method == http.MethodGet && r.URL.Query().Get("watch") != "" {
		p.watch(w, r, kind)
		return
	}
	stale := time.Duration(0)
	if r.URL.Query().Get("serializable") != "" {
		stale = s.staleBy
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && name == "":
		objects, rev := s.asOf(kind, time.Now().Add(-stale))
		items := []*object{}
		for _, o := range objects {
			items = append(items, o)
		}
		reply(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "currentRev": rev})
	case r.Method == http.MethodGet:
		objects, _ := s.asOf(kind, time.Now().Add(-stale))
		if objects[name] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, objects[name])
	default:
		s.change(w, r, kind, name, body)
	}
}

// asOf returns the objects of a kind, and the revision, as they stood at a time.
func (s *store) asOf(kind string, at time.Time) (map[string]*object, int64) {
	objects, rev := map[string]*object{}, int64(0)
	for i := range s.history {
		c := &s.history[i]
		if c.at.After(at) {
			break
		}
		rev = c.rev
		switch {
		case c.kind != kind:
		case c.Tombstone:
			delete(objects, c.Object.Metadata.Name)
		default:
			objects[c.Object.Metadata.Name] = &c.Object
		}
	}
	return objects, rev
}

// change creates, replaces or removes an object if its condition holds.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, body []byte) {
	var sent object
	if r.Method != http.MethodDelete {
		if json.Unmarshal(body, &sent) != nil || sent.Metadata.Name == "" {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		name = sent.Metadata.Name
	} else if text := r.URL.Query().Get("revision"); text != "" {
		sent.Metadata.Revision, _ = strconv.ParseInt(text, 10, 64)
	}
	old := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && old != nil, old != nil && sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
	case r.Method != http.MethodPost && old == nil:
		reply(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodDelete:
		s.remove(kind, name)
		reply(w, http.StatusOK, old)
	default:
		reply(w, http.StatusOK, s.put(kind, name, sent.Spec))
	}
}

// watch serves a watch.
func (p *storePort) watch(w http.ResponseWriter, r *http.Request, kind string) {
	s := p.store
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	stale := r.URL.Query().Get("serializable") != ""
	for timedOut := false; ; {
		silent, cut := p.state()
		if silent {
			hang(r)
		}
		s.mu.Lock()
		changed := s.changed
		until := time.Now()
		if stale {
			until = until.Add(-s.staleBy)
		}
		events, rev := []storeEvent{}, int64(0)
		for _, c := range s.history {
			if c.at.After(until) {
				break
			}
			rev = c.rev
			if c.kind == kind && c.rev > since {
				events = append(events, c.storeEvent)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": max(rev, since)})
			return
		}
		poll := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
		case <-cut:
		case <-poll.C:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			poll.Stop()
			return
		}
		poll.Stop()
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// listen listens on a free port of a loopback address.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	return l
}
