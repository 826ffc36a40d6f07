package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// EngineConfig describes one model engine.
type EngineConfig struct {
	Name          string
	MemoryMB      int64
	Concurrency   int
	ChecksFencing bool
	Weights       Weights
	// StepBase and StepPerSequence make up the time of one decoding step.
	StepBase, StepPerSequence time.Duration
	// PrefillPerToken is the time to read one prompt token not in the cache.
	PrefillPerToken time.Duration
	// MaxWaiting bounds the engine's own queue.
	MaxWaiting int
	// LoadLag is the age of the load report that is given out.
	LoadLag time.Duration
}

// EngineCounts is what an engine saw, for the judge.
type EngineCounts struct {
	Started, Finished, Cancelled, Resumed, OverMemory, LeavingLate, Refused, Loads, Unloads atomic.Int64
}

// residency is one unit held in memory.
type residency struct {
	memoryMB int64
	ready    bool
	// leaving is set while an unload waits for running sequences.
	leaving bool
	running int
}

// Engine is a model engine with continuous batching and a memory account.
type Engine struct {
	Counts EngineCounts

	cfg EngineConfig
	mux *http.ServeMux
	// breakEvery cuts each stream after so many tokens; 0 never does.
	breakEvery atomic.Int64

	mu          sync.Mutex
	incarnation string
	epoch       int64
	units       map[string]*residency
	orders      map[string]orderState
	// orderLog holds the ids of orders, oldest first, to bound orders.
	orderLog   []string
	running    []*sequence
	waiting    []*sequence
	byID       map[string]*sequence
	prefixes   prefixCache
	leavingAt  time.Time
	ordersMode OrdersMode
	report     loadReport
	wake       chan struct{}
	closed     bool
}

// NewEngine returns an engine that already holds the given units.
func NewEngine(cfg EngineConfig, incarnation string, resident map[string]int64) *Engine {
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), incarnation: incarnation,
		units: map[string]*residency{}, orders: map[string]orderState{}, byID: map[string]*sequence{},
		prefixes: newPrefixCache(), wake: make(chan struct{}, 1),
	}
	for unit, mb := range resident {
		e.units[unit] = &residency{memoryMB: mb, ready: true}
	}
	e.report = e.observe(time.Now())
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/inventory", e.inventory)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	go e.decode()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the decoding loop and ends every sequence without its end.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range append(e.running, e.waiting...) {
		s.ended = true
		s.signal()
	}
	e.running, e.waiting = nil, nil
	e.signal()
}

// BreakStreams makes the engine cut the connection of each stream after every
// n tokens; 0 stops that.
func (e *Engine) BreakStreams(n int64) { e.breakEvery.Store(n) }

// Leave marks the engine as leaving: work that starts after the grace period
// is counted against the system.
func (e *Engine) Leave(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingAt = now
}

// leavingGrace is how long after Leave new work is still tolerated: the lag of
// the platform's list and the 2 s that the system is given.
const leavingGrace = 3 * time.Second

func (e *Engine) countIfLeaving(now time.Time) {
	if !e.leavingAt.IsZero() && now.Sub(e.leavingAt) > leavingGrace {
		e.Counts.LeavingLate.Add(1)
	}
}

func (e *Engine) usedMB() int64 {
	var used int64
	for _, u := range e.units {
		used += u.memoryMB
	}
	return used
}

// loadReport is what the engine tells of itself.
type loadReport struct {
	Incarnation string           `json:"incarnation"`
	Epoch       int64            `json:"epoch"`
	ObservedAt  time.Time        `json:"observedAt"`
	Running     int              `json:"running"`
	Waiting     int              `json:"waiting"`
	CapacityMB  int64            `json:"capacityMB"`
	UsedMB      int64            `json:"usedMB"`
	Units       []unitReport     `json:"units"`
	Orders      map[string]state `json:"orders,omitempty"`
}

type unitReport struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memoryMB"`
	Ready    bool   `json:"ready"`
	Running  int    `json:"running"`
}

// observe must be called with mu held, or before the engine is shared.
func (e *Engine) observe(now time.Time) loadReport {
	r := loadReport{
		Incarnation: e.incarnation, Epoch: e.epoch, ObservedAt: now, Running: len(e.running),
		Waiting: len(e.waiting), CapacityMB: e.cfg.MemoryMB, UsedMB: e.usedMB(),
	}
	for name, u := range e.units {
		r.Units = append(r.Units, unitReport{Name: name, MemoryMB: u.memoryMB, Ready: u.ready && !u.leaving, Running: u.running})
	}
	return r
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.report.ObservedAt) >= e.cfg.LoadLag {
		e.report = e.observe(now)
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// ordersShown is how many orders an inventory tells of; ordersKept is how many
// are known by their id when they come again.
const (
	ordersShown = 8
	ordersKept  = 1024
)

func (e *Engine) inventory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.observe(time.Now())
	report.Orders = make(map[string]state, ordersShown)
	for _, id := range e.orderLog[max(0, len(e.orderLog)-ordersShown):] {
		report.Orders[id] = e.orders[id].state
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	events := e.prefixes.events()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}

// errorBody is an error in the OpenAI API's form.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: message}})
}

// ReadyUnits returns the units that requests can run on.
func (e *Engine) ReadyUnits() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ready []string
	for _, name := range sortedNames(e.units) {
		if u := e.units[name]; u.ready && !u.leaving {
			ready = append(ready, name)
		}
	}
	return ready
}
