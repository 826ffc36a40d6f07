package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the small deployment (sites/rcgm-liege.toml): loads from the weight store, from a worker's disk
// and from its memory, the lag of a report, and the pause between two events of a stream.
const (
	loadFromStore  = 8600 * time.Millisecond
	loadFromDisk   = 1700 * time.Millisecond
	loadFromMemory = 810 * time.Millisecond
	unloadTime     = 100 * time.Millisecond
	reportLag      = 200 * time.Millisecond
	firstEvent     = 100 * time.Millisecond
	eventPause     = 40 * time.Millisecond
	slots          = 64
)

// worker is a stand-in of a model worker. Its process may end and start again under the same id, at the
// same address.
type worker struct {
	rec                        *recorder
	store                      *store
	id, address, zone, service string

	mu sync.Mutex
	// life is cancelled when the process ends; nil while it does not run.
	life    context.CancelFunc
	ctx     context.Context
	server  *http.Server
	version string
	born    int64
	state   string
	seq     int64
	writes  int64
	busy    bool
	running int
	// models are held, onDisk were held in any life, inMemory in this one.
	models, onDisk, inMemory map[string]bool
	// crashing is set once a request crashes the worker, in this life.
	crashing bool
	// onCrash is called when a request crashes the worker.
	onCrash func()
	// states are the reports that could have been made, with their times.
	states []reportAt
}

type reportAt struct {
	at   time.Time
	body []byte
}

func newWorker(rec *recorder, s *store, id, zone, service string, models ...string) *worker {
	w := &worker{rec: rec, store: s, id: id, address: freeAddress("127.0.0.1"), zone: zone, service: service, onDisk: map[string]bool{}}
	w.models = map[string]bool{}
	for _, m := range models {
		w.models[m], w.onDisk[m] = true, true
	}
	return w
}

// start starts a life of the worker. A worker that starts again holds no models.
func (w *worker) start(version string, models ...string) {
	var l net.Listener
	for range 100 {
		var err error
		if l, err = net.Listen("tcp", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if l == nil {
		panic("address of " + w.id + " is taken")
	}
	w.mu.Lock()
	w.ctx, w.life = context.WithCancel(context.Background())
	ctx := w.ctx
	w.version, w.born, w.state = version, time.Now().UnixMilli(), "ready"
	w.seq, w.busy, w.running, w.states, w.crashing = 0, false, 0, nil, false
	w.models, w.inMemory = map[string]bool{}, map[string]bool{}
	for _, m := range models {
		w.models[m], w.inMemory[m], w.onDisk[m] = true, true, true
	}
	w.server = &http.Server{Handler: w, BaseContext: func(net.Listener) context.Context { return ctx }}
	server := w.server
	w.keepState()
	w.mu.Unlock()
	w.rec.printf("worker %s starts: version %s, born %d, models %v", w.id, version, w.born, models)
	go func() { _ = server.Serve(resetListener{l}) }()
	w.writeEntry()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				w.writeEntry()
			}
		}
	}()
}

// crash ends the worker's process: its port closes and its connections are reset.
func (w *worker) crash() {
	w.mu.Lock()
	server, end := w.server, w.life
	w.mu.Unlock()
	w.rec.printf("worker %s ends", w.id)
	end()
	server.Close()
}

// runs returns how many requests the worker runs.
func (w *worker) runs() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// resetListener accepts connections that are reset when they are closed.
type resetListener struct{ net.Listener }

// Accept implements net.Listener.
func (l resetListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	return c, err
}

func (w *worker) held() []map[string]any {
	out := []map[string]any{}
	for _, m := range slices.Sorted(maps.Keys(w.models)) {
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return out
}

func (w *worker) writeEntry() {
	w.mu.Lock()
	if w.ctx.Err() != nil {
		w.mu.Unlock()
		return
	}
	w.writes++
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": slots, "state": w.state,
		"coldMs": 0, "stage": "colocated", "models": w.held(), "seq": w.writes, "born": w.born,
	}
	w.mu.Unlock()
	w.store.write(entryKind, w.id, entry)
}

// keepState keeps the report that could be made now; mu must be held.
func (w *worker) keepState() {
	names := func(m map[string]bool) []string { return append([]string{}, slices.Sorted(maps.Keys(m))...) }
	body, err := json.Marshal(map[string]any{
		"stage": "colocated", "born": w.born, "models": w.held(), "busy": w.busy, "seq": w.seq, "waiting": 0, "running": w.running,
		"kvUsed": 0, "kvTotal": 119473, "handles": 0, "coming": []string{},
		"atHand": map[string]any{"inMemory": names(w.inMemory), "onDisk": names(w.onDisk)},
	})
	if err != nil {
		panic(err)
	}
	w.states = append(w.states, reportAt{at: time.Now(), body: body})
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	body := w.states[0].body
	for _, s := range w.states {
		if time.Since(s.at) >= reportLag {
			body = s.body
		}
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_, _ = rw.Write(body)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/eiderspring/report":
		w.report(rw)
	case "/eiderspring/order":
		w.order(rw, r)
	default:
		w.request(rw, r)
	}
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		ExpectedCount                     *int64
		FencingToken                      int64
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.printf("order at %s: %s %s by %s with fence %d", w.id, o.Operation, o.Model, o.Holder, o.FencingToken)
	w.rec.order(w.id, o.Holder, o.FencingToken)
	switch {
	case w.busy || o.ExpectedCount != nil && *o.ExpectedCount != w.seq:
		rw.WriteHeader(http.StatusConflict)
		return
	case o.Operation == "load" && w.models[o.Model]:
		rw.WriteHeader(http.StatusOK)
		return
	}
	w.seq++
	w.busy = true
	takes := unloadTime
	if o.Operation == "load" {
		switch {
		case w.inMemory[o.Model]:
			takes = loadFromMemory
		case w.onDisk[o.Model]:
			takes = loadFromDisk
		default:
			takes = loadFromStore
		}
	}
	w.keepState()
	ctx := w.ctx
	time.AfterFunc(takes, func() { w.ordered(ctx, o.Operation, o.Model) })
	rw.WriteHeader(http.StatusAccepted)
}

func (w *worker) ordered(ctx context.Context, operation, model string) {
	w.mu.Lock()
	if ctx.Err() != nil || w.ctx != ctx {
		w.mu.Unlock()
		return
	}
	w.busy = false
	if operation == "load" {
		w.models[model], w.inMemory[model], w.onDisk[model] = true, true, true
	} else {
		delete(w.models, model)
	}
	w.keepState()
	w.mu.Unlock()
	w.rec.printf("worker %s: %s of %s done", w.id, operation, model)
	w.writeEntry()
}

func (w *worker) request(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, model := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Model")
	rw.Header().Set("X-Attempt-Id", id)
	w.mu.Lock()
	missing, full := model != "" && !w.models[model], w.running >= slots
	version := w.version
	if !missing && !full {
		w.running++
	}
	w.mu.Unlock()
	if missing || full {
		rw.Header().Set("X-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if missing {
			status = http.StatusMisdirectedRequest
		}
		rw.WriteHeader(status)
		return
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.running = max(w.running-1, 0)
	}()
	w.rec.run(run{Attempt: id, Worker: w.id, Version: version, Service: w.service, After: r.Header.Get("Last-Event-Id"), At: time.Now()})
	rw.Header().Set("X-Server-Seal", "seal-"+w.id)
	if model == "" {
		select {
		case <-time.After(60 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "%s %s by %s: %s", r.Method, r.RequestURI, w.id, body)
		return
	}
	w.stream(rw, r, id, version)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, version string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Weight-Versions", "1")
	next := 0
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = n + 1
	}
	_, outText, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	out, _ := strconv.Atoi(outText)
	pause := firstEvent
	for ; next < max(out/2, 1); next++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		pause = eventPause
		_, _ = io.WriteString(rw, eventText(next, version, w.id))
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		if w.onCrash != nil && strings.Contains(r.Header.Get("X-Prompt-Prefix"), crashPart) {
			w.crashBy(id)
			panic(http.ErrAbortHandler)
		}
	}
}

// crashBy ends the worker's process because of a request, and starts it again after crashedFor.
func (w *worker) crashBy(id string) {
	w.mu.Lock()
	ctx, version, first := w.ctx, w.version, !w.crashing
	w.crashing = true
	w.mu.Unlock()
	if !first {
		<-ctx.Done()
		return
	}
	// What has been written of the answer leaves the machine.
	time.Sleep(5 * time.Millisecond)
	w.rec.printf("%s crashes worker %s", id, w.id)
	w.onCrash()
	go func() {
		w.crash()
		time.Sleep(crashedFor)
		w.start(version)
	}()
	<-ctx.Done()
}

// eventText returns event n of a stream, which names the version and the worker that wrote it.
func eventText(n int, version, id string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s piece %d\n\n", n, version, id, n)
}
