package pipeline

import "sync"

// outputWork is how many tokens of a prompt cost about as much as one that is
// generated: generating takes a step of its own for each token, shared by all
// requests that run together.
const outputWork = 10

// Demand counts what is asked of each unit. The zero value is ready; a nil
// Demand counts nothing.
type Demand struct {
	mu   sync.Mutex
	work map[string]float64
	// fresh holds the units that were asked for since the last Take.
	fresh map[string]bool
}

// asked counts a request.
func (d *Demand) asked(x *Exchange) {
	if d == nil || x.Target.Unit == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.work == nil {
		d.work, d.fresh = map[string]float64{}, map[string]bool{}
	}
	d.work[x.Target.Unit] += 1 + float64(x.Call.PromptTokens+outputWork*x.Call.OutputTokens)
	d.fresh[x.Target.Unit] = true
}

// Take returns the work asked of each unit since the process began, for the
// units that were asked for since the last call and for those in also.
func (d *Demand) Take(also map[string]int) map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]float64, len(d.fresh)+len(also))
	for unit := range d.fresh {
		out[unit] = d.work[unit]
	}
	for unit := range also {
		out[unit] = d.work[unit]
	}
	clear(d.fresh)
	return out
}
