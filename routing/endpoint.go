package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/permit"
)

// Load is the latest known load of an endpoint.
type Load struct {
	// At is when the endpoint observed it, on this instance's clock.
	At time.Time
	// Running and Waiting count the requests of all instances at the endpoint.
	Running, Waiting int
	// OwnAtReport is how many of these requests belonged to this instance.
	OwnAtReport int64
}

// Endpoint is an endpoint as this instance sees it. The identity fields never change; the
// others are updated atomically, without a lock.
type Endpoint struct {
	Name          string
	Address       string
	Pool          string
	FailureDomain string
	// Region is the region of the failure domain; empty if unknown.
	Region      string
	Incarnation string
	// SoftwareVersion is the version of the endpoint's software; empty if unknown.
	SoftwareVersion string
	// StartedAtMS is when the endpoint started, in Unix milliseconds of its own clock; 0
	// if the endpoint does not report it.
	StartedAtMS int64
	// Concurrency is how many requests the endpoint runs at once.
	Concurrency int
	// Engine is set for a model engine, which runs requests in a batch.
	Engine bool

	ownInFlight atomic.Int64
	// answeredAt is the Unix time in nanoseconds at which this instance last had a complete answer, or
	// sent a request while it had none there.
	answeredAt atomic.Int64
	// ownPromptWork is the estimated time, in nanoseconds, to process the prompts of this
	// instance's attempts that have had no answer yet.
	ownPromptWork atomic.Int64
	// eventGap is the mean time between events of streams; nil before the first
	// observation.
	eventGap atomic.Pointer[gapMean]
	// peerLoad is the load that the other instances reported for this endpoint.
	peerLoad atomic.Pointer[PeerLoad]
	load     atomic.Pointer[Load]
	failures atomic.Int64
	// retryAt is the Unix time in nanoseconds before which an endpoint that failed is
	// avoided.
	retryAt atomic.Int64
	// failedAt is the Unix time in nanoseconds of the last failure.
	failedAt atomic.Int64
	leaving  atomic.Bool
	// replaced is set once another incarnation has answered at the address.
	replaced atomic.Bool
	// unreachableUntil and fullUntil are the Unix times in nanoseconds until which the
	// endpoint is not selected, after no connection could be opened or after it reported
	// that it was full.
	unreachableUntil, fullUntil atomic.Int64
	// limitInvalid is set once the endpoint has sent a limit that cannot be parsed.
	limitInvalid atomic.Bool
	// notResidentUntil maps each unit that the endpoint reported as not resident to the
	// Unix time in nanoseconds until which the endpoint is not selected for it.
	notResidentUntil sync.Map
	// withheldUntil maps each unit that the endpoint withholds to the Unix time in nanoseconds
	// until which the endpoint is not selected for it.
	withheldUntil sync.Map
	condition     conditionState
	said          statementState
}

// PermitKey returns the key of the rate limit of this incarnation of the endpoint.
func (e *Endpoint) PermitKey() permit.LimitKey {
	return permit.LimitKey{Name: e.Name, StartedAtMS: e.StartedAtMS}
}

// ColdPermitKey returns the key of the rate limit that applies to this incarnation of the
// endpoint while it is cold.
func (e *Endpoint) ColdPermitKey() permit.LimitKey {
	return permit.LimitKey{Name: e.Name, StartedAtMS: e.StartedAtMS, Cold: true}
}

// MarkLimitInvalid records that the endpoint sent a limit that cannot be parsed, and
// reports whether it is the first one.
func (e *Endpoint) MarkLimitInvalid() bool { return !e.limitInvalid.Swap(true) }

// PeerLoad is what the other instances have in flight at an endpoint.
type PeerLoad struct {
	// Running is the number of requests, PromptWork the estimated time to process the
	// prompts of those that have had no answer yet.
	Running    int64
	PromptWork time.Duration
	// At is when the report was received, on this instance's clock.
	At time.Time
}

// SetPeerLoad records the load that the other instances reported.
func (e *Endpoint) SetPeerLoad(o PeerLoad) { e.peerLoad.Store(&o) }

// PeerLoad returns the load that the other instances reported last.
func (e *Endpoint) PeerLoad() PeerLoad {
	if o := e.peerLoad.Load(); o != nil {
		return *o
	}
	return PeerLoad{}
}

// PeerLoadAge returns the age at now of the peers' reported load; 0 if nothing was
// reported.
func (e *Endpoint) PeerLoadAge(now time.Time) time.Duration {
	o := e.peerLoad.Load()
	if o == nil || o.At.IsZero() {
		return 0
	}
	return now.Sub(o.At)
}

// othersNow returns how many requests of the other instances are expected at the endpoint: those
// reported last, less what it has served since if a request takes it the given time. While it
// answers nothing, it is not expected to have served any; nor if the time is 0.
func (e *Endpoint) othersNow(now time.Time, service time.Duration) int64 {
	o := e.PeerLoad()
	if service == 0 || o.At.IsZero() || e.stalled(now, service) {
		return o.Running
	}
	served := int64(now.Sub(o.At)) * int64(e.Concurrency) / max(int64(e.atSpeed(service)), 1)
	return max(o.Running-served, 0)
}

// stalledAfter is after how many times the usual service time without an answer an endpoint counts
// as stalled: as many rounds of requests as may queue there, twice.
const stalledAfter = 2 * plainRounds

// stalled reports whether requests of this instance have been at the endpoint for long without any
// answer.
func (e *Endpoint) stalled(now time.Time, service time.Duration) bool {
	since := time.Duration(now.UnixNano() - e.answeredAt.Load())
	return e.OwnInFlight() > 0 && since > stalledAfter*e.atSpeed(service)
}

// OwnPromptWork returns the estimated time to process the prompts of this instance's attempts
// here that have had no answer yet.
func (e *Endpoint) OwnPromptWork() time.Duration { return time.Duration(e.ownPromptWork.Load()) }

// OwnInFlight returns the number of this instance's attempts at the endpoint.
func (e *Endpoint) OwnInFlight() int64 { return e.ownInFlight.Load() }

// ReportedLoad returns the last load report, or a zero Load.
func (e *Endpoint) ReportedLoad() Load {
	if l := e.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

// SetReportedLoad records a load report.
func (e *Endpoint) SetReportedLoad(l Load) { e.load.Store(&l) }

// SetLeaving sets whether the endpoint is leaving.
func (e *Endpoint) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

// Leaving reports whether the endpoint takes no new work, by its entry or by its own answers.
func (e *Endpoint) Leaving() bool { return e.leaving.Load() || e.said.leaving.Load() }

// SetReplaced records that another incarnation has answered at the endpoint's address;
// this incarnation never comes back.
func (e *Endpoint) SetReplaced() { e.replaced.Store(true) }

// Replaced reports whether another incarnation has answered at the address.
func (e *Endpoint) Replaced() bool { return e.replaced.Load() }

// notResidentTime is how long an endpoint that does not hold a unit is not selected for
// it. Such an endpoint rejects requests at once and would therefore appear the least
// loaded. By the end of this time the instance that runs placement has published what the
// endpoint holds.
const notResidentTime = 400 * time.Millisecond

// MarkNotResident records that the endpoint reported that it does not hold the unit.
func (e *Endpoint) MarkNotResident(unit string, now time.Time) {
	e.notResidentUntil.Store(unit, now.Add(notResidentTime).UnixNano())
}

// notResident reports whether the endpoint recently reported that it does not hold the
// unit.
func (e *Endpoint) notResident(unit string, now time.Time) bool {
	until, found := e.notResidentUntil.Load(unit)
	return found && now.UnixNano() < until.(int64)
}

// unreachableTime is how long an endpoint is not selected after no connection to it could
// be opened. By the end of this time the other instances have been informed, and the
// instance that runs placement knows whether the process is gone. The pause also keeps a
// waiting request from being sent there again and again.
const unreachableTime = 500 * time.Millisecond

// MarkUnreachable records that no connection to the endpoint could be opened.
func (e *Endpoint) MarkUnreachable(now time.Time) {
	e.unreachableUntil.Store(now.Add(unreachableTime).UnixNano())
}

// Unreachable reports whether a connection to the endpoint could not be opened recently.
func (e *Endpoint) Unreachable(now time.Time) bool { return now.UnixNano() < e.unreachableUntil.Load() }

// fullTime is how long an endpoint that reported that it is full is not selected, unless it is brittle. An
// engine with 16 to 48 slots frees one every 30 to 100 ms, as a stream takes about 1.5 s.
const fullTime = 50 * time.Millisecond

// MarkFull records that the endpoint refused a request for lack of capacity.
func (e *Endpoint) MarkFull(now time.Time) { e.markFullFor(now, fullTime) }

func (e *Endpoint) markFullFor(now time.Time, pause time.Duration) {
	e.fullUntil.Store(now.Add(pause).UnixNano())
}

func (e *Endpoint) full(now time.Time) bool { return now.UnixNano() < e.fullUntil.Load() }

// Estimate returns the estimated current load: the reported load, less this instance's
// part of it at the time of the report, plus this instance's attempts now.
func (e *Endpoint) Estimate() int64 {
	l := e.ReportedLoad()
	others := int64(l.Running+l.Waiting) - l.OwnAtReport
	return max(others, 0) + e.ownInFlight.Load()
}

// Bounds of the time for which an endpoint that failed is avoided.
const (
	ejectBase = 250 * time.Millisecond
	ejectMax  = 10 * time.Second
)

// RecordFailure records that the endpoint could not be reached or broke off an answer.
func (e *Endpoint) RecordFailure(now time.Time) {
	e.failedAt.Store(now.UnixNano())
	n := min(e.failures.Add(1), 8)
	pause := min(ejectBase<<(n-1), ejectMax)
	e.retryAt.Store(now.Add(pause).UnixNano())
}

// FailedSince reports whether the endpoint has failed since t.
func (e *Endpoint) FailedSince(t time.Time) bool { return e.failedAt.Load() > t.UnixNano() }

// RecordSuccess records a complete answer.
func (e *Endpoint) RecordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.retryAt.Store(0)
	}
}

// Ejected reports whether the endpoint is avoided because of recent failures.
func (e *Endpoint) Ejected(now time.Time) bool { return now.UnixNano() < e.retryAt.Load() }
