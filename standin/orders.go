package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// OrdersMode is a mode of delivering orders to an engine.
type OrdersMode string

// Modes of order delivery.
const (
	OrdersPrompt OrdersMode = "prompt"
	// OrdersLost drops about half of the orders and aborts their connections.
	OrdersLost OrdersMode = "lost"
	// OrdersLate aborts the connection of every order and applies it after
	// orderDelay.
	OrdersLate OrdersMode = "late"
)

const orderDelay = 2 * time.Second

type orderStatus string

const (
	orderRunning orderStatus = "running"
	orderDone    orderStatus = "done"
	orderRefused orderStatus = "refused"
)

type orderRecord struct {
	status orderStatus
}

type orderRequest struct {
	ID       string `json:"id"`
	Epoch    int64  `json:"epoch"`
	Op       string `json:"op"`
	Unit     string `json:"unit"`
	MemoryMB int64  `json:"memoryMB"`
}

// SetOrdersMode changes how orders are delivered.
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
	if len(e.orderLog) > ordersRemembered {
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
		e.orders[req.ID] = orderRecord{status: orderDone}
		return
	}
	if e.usedMB()+req.MemoryMB > e.cfg.MemoryMB {
		// A real device would fail here, so the load is counted and refused.
		e.Counts.OverMemory.Add(1)
		e.orders[req.ID] = orderRecord{status: orderRefused}
		return
	}
	u := &residentUnit{memoryMB: req.MemoryMB}
	e.units[req.Unit] = u
	e.orders[req.ID] = orderRecord{status: orderRunning}
	e.Counts.Loads.Add(1)
	go e.loadWeights(req, u)
}

// loadWeights waits for the weights of a unit and marks the unit as ready.
func (e *Engine) loadWeights(req orderRequest, u *residentUnit) {
	total, done := e.cfg.Weights.Begin(time.Now())
	time.Sleep(total)
	done()
	e.mu.Lock()
	defer e.mu.Unlock()
	u.ready = true
	e.orders[req.ID] = orderRecord{status: orderDone}
	e.unloadIfIdle(req.Unit, u)
}

func (e *Engine) startUnload(req orderRequest) {
	e.orders[req.ID] = orderRecord{status: orderDone}
	u := e.units[req.Unit]
	if u == nil || u.draining {
		return
	}
	e.Counts.Unloads.Add(1)
	u.draining = true
	e.unloadIfIdle(req.Unit, u)
}

// unloadIfIdle frees a draining unit once it is loaded and no sequence runs on it.
func (e *Engine) unloadIfIdle(name string, u *residentUnit) {
	if u.draining && u.ready && u.running == 0 {
		delete(e.units, name)
	}
}
