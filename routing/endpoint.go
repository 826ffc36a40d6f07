package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/permit"
)

// Load is the last that is known of an endpoint's load.
type Load struct {
	// At is when the endpoint observed it, on this instance's clock.
	At time.Time
	// Running and Waiting are the requests at the endpoint, of all instances.
	Running, Waiting int
	// OwnAtReport is how many of them were this instance's.
	OwnAtReport int64
}

// Endpoint is one endpoint as this instance sees it. The identity fields never
// change; the rest is updated by atomics, without a lock.
type Endpoint struct {
	Name          string
	Address       string
	Pool          string
	FailureDomain string
	// Region is that of the failure domain; empty where none is known.
	Region      string
	Incarnation string
	// StartedAtMS is when the endpoint was started, in Unix milliseconds of its own
	// clock; 0 where it does not tell.
	StartedAtMS int64
	// Concurrency is how many requests the endpoint runs at once.
	Concurrency int

	own atomic.Int64
	// ownPrompt is the work, in nanoseconds, of reading the prompts of this
	// instance's attempts that have had no answer yet.
	ownPrompt atomic.Int64
	// gap is the mean time between events of streams; nil for none yet.
	gap atomic.Pointer[gapMean]
	// others is what the other instances tell that they have here.
	others   atomic.Pointer[PeerLoad]
	load     atomic.Pointer[Load]
	failures atomic.Int64
	// retryAt is the Unix time in nanoseconds before which an endpoint that
	// failed is avoided.
	retryAt atomic.Int64
	// failedAt is when it failed last, in the same form.
	failedAt atomic.Int64
	leaving  atomic.Bool
	// replaced is set once another incarnation has answered at the address.
	replaced atomic.Bool
	// unreachedUntil and fullUntil are, in the same form, until when an endpoint is
	// not asked to which no connection could be opened, or that said it was full.
	unreachedUntil, fullUntil atomic.Int64
	// limitUnreadable is set once the endpoint has named a limit that cannot be read.
	limitUnreadable atomic.Bool
	// missing holds until when, in Unix nanoseconds, each unit that the endpoint
	// said it does not hold is not asked for there.
	missing sync.Map
}

// PermitKey identifies this start of the endpoint in what it says of itself.
func (e *Endpoint) PermitKey() permit.LimitKey {
	return permit.LimitKey{Name: e.Name, StartedAtMS: e.StartedAtMS}
}

// ColdPermitKey identifies this start of the endpoint in what it takes while it is cold.
func (e *Endpoint) ColdPermitKey() permit.LimitKey {
	return permit.LimitKey{Name: e.Name, StartedAtMS: e.StartedAtMS, Cold: true}
}

// MarkLimitInvalid records that the endpoint has named a limit that cannot be read, and
// reports whether it is the first one.
func (e *Endpoint) MarkLimitInvalid() bool { return !e.limitUnreadable.Swap(true) }

// PeerLoad is what the other instances have under way at an endpoint.
type PeerLoad struct {
	// Running is requests, Prompt the work of reading the prompts of those that
	// have had no answer.
	Running    int64
	PromptWork time.Duration
	// At is when they were told, on this instance's clock.
	At time.Time
}

// SetPeerLoad records what the other instances tell.
func (e *Endpoint) SetPeerLoad(o PeerLoad) { e.others.Store(&o) }

// PeerLoad returns what the other instances told last.
func (e *Endpoint) PeerLoad() PeerLoad {
	if o := e.others.Load(); o != nil {
		return *o
	}
	return PeerLoad{}
}

// PeerLoadAge is how old at now what the other instances told is; 0 where they
// have told nothing.
func (e *Endpoint) PeerLoadAge(now time.Time) time.Duration {
	o := e.others.Load()
	if o == nil || o.At.IsZero() {
		return 0
	}
	return now.Sub(o.At)
}

// OwnPromptWork returns the work of reading the prompts of this instance's attempts
// here that have had no answer yet.
func (e *Endpoint) OwnPromptWork() time.Duration { return time.Duration(e.ownPrompt.Load()) }

// OwnInFlight returns the number of attempts of this instance at the endpoint.
func (e *Endpoint) OwnInFlight() int64 { return e.own.Load() }

// ReportedLoad returns the last load report, or a zero Load.
func (e *Endpoint) ReportedLoad() Load {
	if l := e.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

// SetReportedLoad records a load report.
func (e *Endpoint) SetReportedLoad(l Load) { e.load.Store(&l) }

// SetLeaving marks the endpoint as leaving, or not.
func (e *Endpoint) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Leaving tells whether the endpoint takes no new work.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() }

// SetReplaced records that another incarnation has answered at the endpoint's
// address; the endpoint itself is gone for good.
func (e *Endpoint) SetReplaced() { e.replaced.Store(true) }

// Replaced tells whether another incarnation has answered at its address.
func (e *Endpoint) Replaced() bool { return e.replaced.Load() }

// missingTime is for how long an endpoint that does not hold a unit is not asked
// for it again: it answers such requests at once, so it would seem the least
// loaded of all. By then the instance that places units has told what it holds.
const missingTime = 400 * time.Millisecond

// MarkNotResident records that the endpoint has said that it does not hold the unit.
func (e *Endpoint) MarkNotResident(unit string, now time.Time) {
	e.missing.Store(unit, now.Add(missingTime).UnixNano())
}

// lacked tells whether the endpoint has said so lately.
func (e *Endpoint) lacked(unit string, now time.Time) bool {
	until, told := e.missing.Load(unit)
	return told && now.UnixNano() < until.(int64)
}

// unreachedTime is for how long an endpoint is not asked to which no connection could
// be opened: the others have heard by then, and the instance that places units knows
// whether its process is gone. A request that waits meanwhile is not sent there again
// and again.
const unreachedTime = 500 * time.Millisecond

// MarkUnreachable records that no connection to the endpoint could be opened.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.unreachedUntil.Store(now.Add(unreachedTime).UnixNano())
}

func (e *Endpoint) unreached(now time.Time) bool { return now.UnixNano() < e.unreachedUntil.Load() }

// fullTime is for how long an endpoint that said it is full is not asked: a place
// comes free at an engine of 16 to 48 places each 30 to 100 ms, as a stream takes
// about 1.5 s.
const fullTime = 50 * time.Millisecond

// MarkFull records that the endpoint refused a request for lack of room.
func (e *Endpoint) MarkFull(now time.Time) { e.fullUntil.Store(now.Add(fullTime).UnixNano()) }

func (e *Endpoint) saidFull(now time.Time) bool { return now.UnixNano() < e.fullUntil.Load() }

// Estimate is the load that the endpoint has now: what it reported, less what
// was this instance's then, plus what is this instance's now.
func (e *Endpoint) Estimate() int64 {
	l := e.ReportedLoad()
	others := int64(l.Running+l.Waiting) - l.OwnAtReport
	return max(others, 0) + e.own.Load()
}

// Bounds of the time for which an endpoint that failed is avoided.
const (
	ejectBase = 250 * time.Millisecond
	ejectMax  = 10 * time.Second
)

// RecordFailure records that the endpoint could not be reached or broke an answer.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.failedAt.Store(now.UnixNano())
	n := min(e.failures.Add(1), 8)
	pause := min(ejectBase<<(n-1), ejectMax)
	e.retryAt.Store(now.Add(pause).UnixNano())
}

// FailedSince tells whether the endpoint has failed since t.
func (e *Endpoint) FailedSince(t time.Time) bool { return e.failedAt.Load() > t.UnixNano() }

// RecordSuccess records a whole answer.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.retryAt.Store(0)
	}
}

// Ejected tells whether the endpoint is avoided for its recent failures.
func (e *Endpoint) Ejected(now time.Time) bool { return now.UnixNano() < e.retryAt.Load() }
