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
	// A decoding step takes StepBase, and StepPerSequence for each running sequence.
	StepBase, StepPerSequence time.Duration
	// PrefillPerToken is the time to process one prompt token that is not in the
	// prefix cache.
	PrefillPerToken time.Duration
	// MaxWaiting bounds the engine's own queue.
	MaxWaiting int
	// LoadLag is the age at which the cached load report is renewed.
	LoadLag time.Duration
}

// EngineCounts are the counts by which the work of an engine is checked.
type EngineCounts struct {
	Started, Finished, Cancelled, Resumed, OverMemory, LeavingLate, Refused, Loads, Unloads atomic.Int64
}

// residentUnit is one unit that is loaded or being loaded.
type residentUnit struct {
	memoryMB int64
	ready    bool
	// draining is set while an unload waits for running sequences.
	draining bool
	running  int
}

// Engine is a model engine with continuous batching and memory accounting.
type Engine struct {
	Counts EngineCounts

	cfg EngineConfig
	mux *http.ServeMux
	// breakEvery is the number of tokens after which each stream is cut; 0 disables
	// it.
	breakEvery atomic.Int64

	mu          sync.Mutex
	incarnation string
	epoch       int64
	units       map[string]*residentUnit
	orders      map[string]orderRecord
	// orderLog holds the ids of orders, oldest first, so that the oldest can be
	// evicted from orders.
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

// NewEngine returns an engine on which the given units are loaded; resident maps
// their names to their sizes in MB.
func NewEngine(cfg EngineConfig, incarnation string, resident map[string]int64) *Engine {
	e := &Engine{
		cfg: cfg, mux: http.NewServeMux(), incarnation: incarnation,
		units: map[string]*residentUnit{}, orders: map[string]orderRecord{}, byID: map[string]*sequence{},
		prefixes: newPrefixCache(), wake: make(chan struct{}, 1),
	}
	for unit, mb := range resident {
		e.units[unit] = &residentUnit{memoryMB: mb, ready: true}
	}
	e.report = e.snapshot(time.Now())
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.resume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", e.cancel)
	e.mux.HandleFunc("POST /v1/orders", e.order)
	e.mux.HandleFunc("GET /v1/load", e.load)
	e.mux.HandleFunc("GET /v1/inventory", e.inventory)
	e.mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	go e.decodeLoop()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Close stops the decoding loop and ends every sequence before its last token.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, s := range append(e.running, e.waiting...) {
		s.ended = true
		s.signal()
	}
	e.running, e.waiting = nil, nil
	e.wakeDecoder()
}

// BreakStreams makes the engine cut the connection of each stream after every
// n tokens; 0 disables it.
func (e *Engine) BreakStreams(n int64) { e.breakEvery.Store(n) }

// Leave marks the engine as leaving. Work that starts more than leavingGrace after
// now is counted in EngineCounts.LeavingLate.
func (e *Engine) Leave(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leavingAt = now
}

// leavingGrace is how long after Leave new work is tolerated: the lag of the
// platform's list, plus the 2 s within which the system must react.
const leavingGrace = 3 * time.Second

func (e *Engine) countIfLate(now time.Time) {
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

// loadReport is the load and the inventory that the engine reports.
type loadReport struct {
	Incarnation string                 `json:"incarnation"`
	Epoch       int64                  `json:"epoch"`
	ObservedAt  time.Time              `json:"observedAt"`
	Running     int                    `json:"running"`
	Waiting     int                    `json:"waiting"`
	CapacityMB  int64                  `json:"capacityMB"`
	UsedMB      int64                  `json:"usedMB"`
	Units       []unitReport           `json:"units"`
	Orders      map[string]orderStatus `json:"orders,omitempty"`
}

type unitReport struct {
	Name     string `json:"name"`
	MemoryMB int64  `json:"memoryMB"`
	Ready    bool   `json:"ready"`
	Running  int    `json:"running"`
}

// snapshot must be called with mu held, or before the engine is shared.
func (e *Engine) snapshot(now time.Time) loadReport {
	r := loadReport{
		Incarnation: e.incarnation, Epoch: e.epoch, ObservedAt: now, Running: len(e.running),
		Waiting: len(e.waiting), CapacityMB: e.cfg.MemoryMB, UsedMB: e.usedMB(),
	}
	for name, u := range e.units {
		r.Units = append(r.Units, unitReport{Name: name, MemoryMB: u.memoryMB, Ready: u.ready && !u.draining, Running: u.running})
	}
	return r
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	if now := time.Now(); now.Sub(e.report.ObservedAt) >= e.cfg.LoadLag {
		e.report = e.snapshot(now)
	}
	report := e.report
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

// ordersReported is how many of the latest orders an inventory lists.
// ordersRemembered is how many order ids are kept to recognize duplicates.
const (
	ordersReported   = 8
	ordersRemembered = 1024
)

func (e *Engine) inventory(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.snapshot(time.Now())
	report.Orders = make(map[string]orderStatus, ordersReported)
	for _, id := range e.orderLog[max(0, len(e.orderLog)-ordersReported):] {
		report.Orders[id] = e.orders[id].status
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

func (e *Engine) wakeDecoder() {
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

// ReadyUnits returns the sorted names of the units that accept requests.
func (e *Engine) ReadyUnits() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ready []string
	for _, name := range sortedNames(e.units) {
		if u := e.units[name]; u.ready && !u.draining {
			ready = append(ready, name)
		}
	}
	return ready
}
