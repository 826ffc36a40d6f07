package daemon

import (
	"context"
	"expvar"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/condition"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// conditions feeds the tracker of endpoints' conditions with this instance's attempts and with
// what other instances report, and gives its decisions to routing. It implements
// pipeline.Conditions. A nil value receives and reports nothing.
type conditions struct {
	router *routing.Router
	// instances returns the names of the listed instances.
	instances func() []string
	// engines returns the names of the pools of engines.
	engines func() map[string]bool
	vars    *expvar.Map
	log     logr.Logger
	now     func() time.Time
	// changed holds at most one signal that there is news that may not wait for the next tick.
	changed chan struct{}

	mu       sync.Mutex
	tracker  *condition.Tracker
	withheld condition.Withheld
	// view is the view by which the tracker knows the endpoints.
	view *routing.View
	// slots holds the last time slot in which this instance was allowed a trial, by endpoint.
	slots map[condition.Key]int64
}

var _ pipeline.Conditions = (*conditions)(nil)

const (
	// conditionTick is the time between two decisions, and longer in proportion above
	// endpointsPerTick endpoints: a decision about each takes about half a microsecond.
	conditionTick    = 100 * time.Millisecond
	endpointsPerTick = 1000
	// maxConditionsShown bounds the endpoints listed in the metrics.
	maxConditionsShown = 100
)

func newConditions(instance string, router *routing.Router, vars *expvar.Map, log logr.Logger, now func() time.Time) *conditions {
	return &conditions{
		router: router, instances: func() []string { return nil }, engines: func() map[string]bool { return nil }, vars: vars, log: log, now: now, changed: make(chan struct{}, 1),
		tracker: condition.NewTracker(instance), slots: map[condition.Key]int64{},
	}
}

func conditionKey(e *routing.Endpoint) condition.Key {
	return condition.Key{Name: e.Name, StartedAtMS: e.StartedAtMS}
}

// Ended implements pipeline.Conditions.
func (c *conditions) Ended(e *routing.Endpoint, failed, trial bool) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Observe(now, conditionKey(e), condition.Result{Failed: failed, Trial: trial})
	if trial {
		c.vars.Add("endpoint_trials", 1)
		c.log.Info("endpoint tried", "endpoint", e.Name, "failed", failed)
	}
	if failed {
		c.vars.Add("endpoint_failures", 1)
	}
}

// Took implements pipeline.Conditions.
func (c *conditions) Took(e *routing.Endpoint, t pipeline.Timing) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ObserveTime(now, conditionKey(e), condition.Measure{Kind: string(t.Kind), Pool: e.Pool, Model: t.Model, Crowd: t.Crowd}, t.Took)
}

// Slowdown implements pipeline.Conditions.
func (c *conditions) Slowdown(e *routing.Endpoint, slowdown float64) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ObserveHint(now, conditionKey(e), slowdown)
}

// Withheld implements pipeline.Conditions.
func (c *conditions) Withheld(e *routing.Endpoint, unit string) {
	now := c.now()
	c.mu.Lock()
	until := c.withheld.Record(now, conditionKey(e), unit)
	c.mu.Unlock()
	e.MarkWithheld(unit, until)
	c.vars.Add("units_withheld", 1)
	c.log.Info("endpoint withholds a unit", "endpoint", e.Name, "unit", unit, "avoided_ms", until.Sub(now).Milliseconds())
}

// Served implements pipeline.Conditions.
func (c *conditions) Served(e *routing.Endpoint, unit string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withheld.Known() > 0 {
		c.withheld.Served(conditionKey(e), unit)
	}
}

// run decides periodically, and in between at once when the coordinator has announced something.
func (c *conditions) run(ctx context.Context) {
	for ctx.Err() == nil {
		timer := time.NewTimer(conditionTick * time.Duration(1+len(c.router.View().ByName)/endpointsPerTick))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-c.changed:
		}
		timer.Stop()
		c.decide()
	}
}

// decide judges the endpoints and gives the result to routing.
func (c *conditions) decide() {
	now, view := c.now(), c.router.View()
	c.mu.Lock()
	defer c.mu.Unlock()
	if view != c.view {
		c.view = view
		c.tracker.SetEndpoints(conditionPools(view), c.engines())
	}
	for _, change := range c.tracker.Decide(now) {
		c.logChange(change)
	}
	for _, pool := range view.Pools {
		for _, e := range pool {
			k := conditionKey(e)
			decided := c.tracker.Condition(k)
			if e.Speed() != decided.Speed || e.LeftOut() != decided.LeftOut {
				e.SetCondition(routing.Condition{Speed: decided.Speed, LeftOut: decided.LeftOut})
			}
			if decided.LeftOut {
				c.allowTrial(now, k, e)
			}
		}
	}
}

// conditionPools returns the endpoints of each pool that take work.
func conditionPools(v *routing.View) map[string][]condition.Key {
	pools := make(map[string][]condition.Key, len(v.Pools))
	for name, endpoints := range v.Pools {
		for _, e := range endpoints {
			if !e.Leaving() && !e.Replaced() {
				pools[name] = append(pools[name], conditionKey(e))
			}
		}
	}
	return pools
}

// allowTrial allows a trial if this instance is the one of the current time slot.
func (c *conditions) allowTrial(now time.Time, k condition.Key, e *routing.Endpoint) {
	slot := condition.SlotAt(now)
	if c.slots[k] == slot {
		return
	}
	c.slots[k] = slot
	if c.tracker.Tries(now, k, c.instances()) {
		e.AllowTrial(time.Unix(0, (slot+1)*int64(condition.TrialSlot)))
	}
}

// logChange logs and counts a change of an endpoint's state.
func (c *conditions) logChange(change condition.Change) {
	if change.From == condition.LeftOut {
		delete(c.slots, change.Key)
		c.vars.Add("endpoints_brought_back", 1)
	}
	if change.To == condition.LeftOut {
		c.vars.Add("endpoints_left_out", 1)
	}
	c.log.Info("endpoint condition", "endpoint", change.Name, "pool", change.Pool, "state", change.To, "before", change.From, "speed", hundredths(change.Speed),
		"failure_share", hundredths(change.FailureShare), "attempts", hundredths(change.Attempts), "speeds", hundredths(change.Speeds),
		"good_trials", hundredths(change.GoodTrials), "bad_trials", hundredths(change.BadTrials), "left_out_ms", change.LeftOutFor.Milliseconds())
}

// hundredths rounds a value for the log.
func hundredths(v float64) float64 { return math.Round(v*100) / 100 }

// speed returns the speed of an endpoint relative to the usual of its pool; false if it is not
// listed. It is exactly 1 unless the speed is clearly another.
func (c *conditions) speed(endpoint string) (speed float64, listed bool) {
	e := c.router.View().ByName[endpoint]
	if e == nil {
		return 1, false
	}
	return e.Speed(), true
}

// enginePools returns the names of the pools of engines.
func (n *Node) enginePools() map[string]bool {
	engines := map[string]bool{}
	if c := n.catalog.Load(); c != nil {
		for name, pool := range c.Tree.Pools {
			engines[name] = pool.Kind == settings.KindEngine
		}
	}
	return engines
}

// conditionStats is what operators see of the conditions of endpoints.
type conditionStats struct {
	// Endpoints holds the endpoints that are not usual, at most maxConditionsShown.
	Endpoints map[string]condition.Status `json:"endpoints"`
	// Withheld is the number of units that endpoints withhold.
	Withheld int `json:"withheld"`
}

func (c *conditions) stats() conditionStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := conditionStats{Endpoints: map[string]condition.Status{}, Withheld: c.withheld.Known()}
	for name, e := range c.router.View().ByName {
		if status, listed := c.tracker.Status(conditionKey(e)); listed && status.State != condition.Usual && len(s.Endpoints) < maxConditionsShown {
			s.Endpoints[name] = status
		}
	}
	return s
}
