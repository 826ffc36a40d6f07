package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// OrdersMode is what happens to orders on their way to an engine.
type OrdersMode string

// Modes of order delivery.
const (
	OrdersPrompt OrdersMode = "prompt"
	// OrdersLost drops every second order.
	OrdersLost OrdersMode = "lost"
	// OrdersLate applies every order after a delay, though unanswered.
	OrdersLate OrdersMode = "late"
)

const orderDelay = 2 * time.Second

type state string

const (
	stateRunning state = "running"
	stateDone    state = "done"
	stateRefused state = "refused"
)

type orderState struct {
	state state
}

type orderRequest struct {
	ID       string `json:"id"`
	Epoch    int64  `json:"epoch"`
	Op       string `json:"op"`
	Unit     string `json:"unit"`
	MemoryMB int64  `json:"memoryMB"`
}

// SetOrdersMode changes how orders arrive.
func (e *Engine) SetOrdersMode(m OrdersMode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ordersMode = m
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var req orderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	e.mu.Lock()
	mode := e.ordersMode
	e.mu.Unlock()
	switch {
	case mode == OrdersLost && len(req.ID)%2 == int(time.Now().UnixNano()%2):
		panic(http.ErrAbortHandler)
	case mode == OrdersLate:
		time.AfterFunc(orderDelay, func() { e.apply(req) })
		panic(http.ErrAbortHandler)
	}
	code, reason := e.apply(req)
	if code != http.StatusAccepted {
		writeError(w, code, "order_refused", reason)
		return
	}
	writeJSON(w, code, map[string]string{"id": req.ID})
}

func (e *Engine) apply(req orderRequest) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && req.Epoch < e.epoch {
		return http.StatusPreconditionFailed, "old epoch"
	}
	if e.cfg.ChecksFencing {
		e.epoch = req.Epoch
	}
	if _, seen := e.orders[req.ID]; seen {
		return http.StatusAccepted, "known"
	}
	if req.Op == "fence" {
		return http.StatusAccepted, ""
	}
	e.orderLog = append(e.orderLog, req.ID)
	if len(e.orderLog) > ordersKept {
		delete(e.orders, e.orderLog[0])
		e.orderLog = e.orderLog[1:]
	}
	switch req.Op {
	case "load":
		e.startLoad(req)
	case "unload":
		e.startUnload(req)
	default:
		return http.StatusBadRequest, "unknown op " + req.Op
	}
	return http.StatusAccepted, ""
}

func (e *Engine) startLoad(req orderRequest) {
	if e.units[req.Unit] != nil {
		e.orders[req.ID] = orderState{state: stateDone}
		return
	}
	if e.usedMB()+req.MemoryMB > e.cfg.MemoryMB {
		// A real device would fail here; the judge counts it.
		e.Counts.OverMemory.Add(1)
		e.orders[req.ID] = orderState{state: stateRefused}
		return
	}
	u := &residency{memoryMB: req.MemoryMB}
	e.units[req.Unit] = u
	e.orders[req.ID] = orderState{state: stateRunning}
	e.Counts.Loads.Add(1)
	go e.fetch(req, u)
}

// fetch gets the weights and makes the unit ready.
func (e *Engine) fetch(req orderRequest, u *residency) {
	total, done := e.cfg.Weights.Begin(time.Now())
	time.Sleep(total)
	done()
	e.mu.Lock()
	defer e.mu.Unlock()
	u.ready = true
	e.orders[req.ID] = orderState{state: stateDone}
	e.unloadIfIdle(req.Unit, u)
}

func (e *Engine) startUnload(req orderRequest) {
	e.orders[req.ID] = orderState{state: stateDone}
	u := e.units[req.Unit]
	if u == nil || u.leaving {
		return
	}
	e.Counts.Unloads.Add(1)
	u.leaving = true
	e.unloadIfIdle(req.Unit, u)
}

// unloadIfIdle frees a leaving unit once nothing runs on it.
func (e *Engine) unloadIfIdle(name string, u *residency) {
	if u.leaving && u.ready && u.running == 0 {
		delete(e.units, name)
	}
}
