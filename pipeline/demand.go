package pipeline

import (
	"maps"
	"sync"
)

// outputTokenCost is the cost of a generated token in prompt tokens, approximately: each
// generated token takes a step of its own, which all running requests share.
const outputTokenCost = 10

// Demand accumulates the work requested of each unit. The zero value is ready for use; a
// nil Demand counts nothing.
type Demand struct {
	mu   sync.Mutex
	work map[string]float64
	// requested holds the units requested since the last Take.
	requested map[string]bool
	// running is the number of attempts at endpoints, by unit.
	running map[string]int
}

// add counts a request.
func (d *Demand) add(x *Exchange) {
	if d == nil || x.Target.Unit == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.work == nil {
		d.work, d.requested = map[string]float64{}, map[string]bool{}
	}
	d.work[x.Target.Unit] += 1 + float64(x.Call.PromptTokens+outputTokenCost*x.Call.OutputTokens)
	d.requested[x.Target.Unit] = true
}

// started counts an attempt at an endpoint until ended.
func (d *Demand) started(unit string) {
	if d == nil || unit == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running == nil {
		d.running = map[string]int{}
	}
	d.running[unit]++
}

// ended ends an attempt that started has counted.
func (d *Demand) ended(unit string) {
	if d == nil || unit == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[unit]--; d.running[unit] <= 0 {
		delete(d.running, unit)
	}
}

// Running returns the number of attempts at endpoints, by unit.
func (d *Demand) Running() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.running)
}

// Take returns the work requested of each unit since the process started, for the units
// requested since the last call and for those in also.
func (d *Demand) Take(also map[string]int) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]float64, len(d.requested)+len(also))
	for unit := range d.requested {
		out[unit] = d.work[unit]
	}
	for unit := range also {
		out[unit] = d.work[unit]
	}
	clear(d.requested)
	return out
}

// Work returns the work requested of a unit since the process started.
func (d *Demand) Work(unit string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.work[unit]
}
