package quarantine

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits define when a request is held back, and for how long.
type Limits struct {
	// Terminations is how many endpoints must have terminated under a request for it to be
	// held; with 0, none is held. A low number also holds requests that merely ran at the same
	// time as another.
	Terminations int
	// Hold is the minimum time of the first hold. Each further termination doubles the hold, at
	// most maxDoublings times.
	Hold time.Duration
}

// DefaultLimits hold a request for two to three minutes after its third termination. That is
// long compared to the seconds in which an endpoint restarts, so that a request that
// terminates every endpoint costs one endpoint in that time and fewer later, and short for a
// caller whose request was held wrongly.
var DefaultLimits = Limits{Terminations: 3, Hold: 2 * time.Minute}

const (
	// maxDoublings bounds the growth of a hold, and maxTerminations the terminations kept for a
	// request.
	maxDoublings    = 4
	maxTerminations = 8
	// retentionDoublings is how often the first hold is doubled to give the time for which a
	// termination counts.
	retentionDoublings = 7
	// maxRecords bounds the number of records, of some 400 bytes each. An endpoint runs 64
	// requests at once, so that 64 terminations within the retention fit. The oldest records of
	// requests that are not held are evicted first.
	maxRecords = 4096
	// differenceLifetime is how long a differing digest of another instance counts, longer than
	// the half second between two hints (peer.Hint). In that time all reports are sent again,
	// each once in resendInterval and up to maxResent in a packet. So an instance that has just
	// started, or was cut off, knows all within seconds.
	differenceLifetime = 1200 * time.Millisecond
	resendInterval     = time.Second
	maxResent          = 8
)

// Tracker tracks which endpoints have terminated under which suspects: requests, and the parts of
// prompts that requests share.
//
// Invariants: a termination counts once, however often and in whichever order it is reported;
// a termination before the last success of the suspect does not count.
type Tracker struct {
	limits  Limits
	records map[Fingerprint]*record
	// answers are the parts that were answered here recently.
	answers recentAnswers
	// pending is what is to be reported, oldest first.
	pending []Fingerprint
	// order holds every known request in the order of creation, and resendIndex is the index of
	// the one that was last sent again.
	order       []Fingerprint
	resendIndex int
	// differedAt is when a differing digest of another instance was last received.
	differedAt time.Time
	// digest is that of the terminations as of the last change. It is valid until digestUntil,
	// when the first of them expires; zero if it must be computed.
	digest      uint64
	digestUntil time.Time
}

// NewTracker returns a tracker without records.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, records: map[Fingerprint]*record{}} }

// IncarnationHash returns the hash of an incarnation of an endpoint, from its name and start
// time in milliseconds.
func IncarnationHash(name string, startedAtMS int64) uint64 {
	return xxhash.Sum64String(name + "@" + strconv.FormatInt(startedAtMS, 10))
}

// SetLimits replaces the limits. Limits that hold no request drop all records, which releases
// all requests.
func (t *Tracker) SetLimits(limits Limits) {
	t.limits = limits
	t.invalidateDigest()
	if limits.Terminations == 0 {
		clear(t.records)
		t.answers = recentAnswers{}
		t.pending, t.order = nil, nil
	}
}

// retention returns how long a termination counts: as long as six of the longest holds, so
// that a request that terminates an endpoint with every retry is still held for about the
// longest time.
func (t *Tracker) retention() time.Duration { return t.limits.Retention() }

// RecordTermination records that an endpoint has terminated under a request, and schedules the
// report to be sent the given number of times. It returns the number of terminations.
func (t *Tracker) RecordTermination(now time.Time, f Fingerprint, incarnation uint64, sends int) int {
	if t.limits.Terminations == 0 {
		return 0
	}
	return t.recordOwn(now, f, t.record(now, f), termination{incarnation: incarnation, at: now}, sends)
}

// recordOwn adds a termination that this instance has observed. It returns the number of
// terminations.
func (t *Tracker) recordOwn(now time.Time, f Fingerprint, r *record, e termination, sends int) int {
	r.own = true
	added := r.add(e) == terminationAdded
	if t.applyRecentAnswer(now, f, r) || added {
		t.changed(f, r, sends)
	}
	return len(r.terminations)
}

// RecordSuccess records that a request was answered successfully and completely, and schedules
// the report to be sent the given number of times. A success shows that the request does not
// terminate endpoints. It returns false if the request has no terminations.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint, sends int) bool {
	r := t.records[f]
	if r == nil || len(r.terminations) == 0 {
		return false
	}
	r.recordSuccess(now)
	t.changed(f, r, sends)
	return true
}

// ReceiveReport applies a report of another instance, and schedules it to be sent the given
// number of times if it is new. It returns false for an invalid report.
func (t *Tracker) ReceiveReport(now time.Time, report Report, sends int) bool {
	if t.limits.Terminations == 0 {
		return true
	}
	if !report.valid(t.retention()) {
		return false
	}
	f := Fingerprint(report.Fingerprint)
	r := t.record(now, f)
	r.shared = r.shared || report.Shared
	result := r.merge(now, report)
	if t.applyRecentAnswer(now, f, r) {
		sends = max(sends, ownReportSends)
		result = terminationAdded
	}
	if result == terminationAdded {
		t.changed(f, r, sends)
	}
	if result == terminationMadeOlder {
		t.invalidateDigest()
	}
	return true
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// record returns the record of a request, and creates it if there is none.
func (t *Tracker) record(now time.Time, f Fingerprint) *record {
	r := t.records[f]
	if r == nil {
		t.evict(now)
		r = &record{}
		t.records[f] = r
		t.order = append(t.order, f)
	}
	if len(r.terminations) > 0 && now.Sub(r.terminations[0].at) >= t.retention() {
		r.terminations = slices.DeleteFunc(r.terminations, func(e termination) bool { return now.Sub(e.at) >= t.retention() })
		t.invalidateDigest()
	}
	if len(r.terminations) == 0 {
		r.trials = [maxTrials]time.Time{}
	}
	return r
}

// evict drops expired records if the table is full and, if that is not enough, an eighth of
// the rest: the oldest of requests that are not held, or else of all.
func (t *Tracker) evict(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	t.drop(func(f Fingerprint) bool { return now.Sub(t.records[f].lastEvent()) >= t.retention() })
	if len(t.records) < maxRecords {
		return
	}
	oldest := slices.Clone(t.order)
	slices.SortStableFunc(oldest, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(t.heldRank(a), t.heldRank(b)), t.records[a].lastEvent().Compare(t.records[b].lastEvent()))
	})
	for _, f := range oldest[:maxRecords/8] {
		delete(t.records, f)
	}
	t.drop(func(Fingerprint) bool { return false })
}

// heldRank returns 1 for a suspect that enough endpoints have terminated under to hold it, 0
// for others.
func (t *Tracker) heldRank(f Fingerprint) int {
	if len(t.records[f].terminations) >= t.limits.Terminations {
		return 1
	}
	return 0
}

// drop deletes the records that picks selects, and removes from order all requests without a
// record.
func (t *Tracker) drop(picks func(Fingerprint) bool) {
	t.invalidateDigest()
	t.order = slices.DeleteFunc(t.order, func(f Fingerprint) bool {
		if t.records[f] != nil && picks(f) {
			delete(t.records, f)
		}
		return t.records[f] == nil
	})
}

// Retention returns how long a termination counts.
func (l Limits) Retention() time.Duration { return l.Hold << retentionDoublings }

// TerminationCount returns how many endpoints have terminated under a request.
func (t *Tracker) TerminationCount(now time.Time, f Fingerprint) int {
	r := t.records[f]
	if r == nil || now.Sub(r.lastEvent()) >= t.retention() {
		return 0
	}
	return len(r.terminations)
}

// HoldRemaining returns how much longer a suspect is held back, of a part of prompts for the
// account that is held longest; 0 if it is not.
func (t *Tracker) HoldRemaining(now time.Time, f Fingerprint) time.Duration {
	r := t.records[f]
	switch {
	case r == nil || t.limits.Terminations == 0:
		return 0
	case r.shared:
		return t.longestSharedHold(now, f, r)
	case len(r.terminations) < t.limits.Terminations:
		return 0
	}
	return max(r.lastEvent().Add(t.holdTime(f, len(r.terminations))).Sub(now), 0)
}

// OneAtATime reports whether only one request with this fingerprint may be in flight, because
// one more termination would hold it, or hold it again: copies that are sent at the same time
// would terminate an endpoint each.
func (t *Tracker) OneAtATime(now time.Time, f Fingerprint) bool {
	return t.limits.Terminations > 0 && t.TerminationCount(now, f) >= max(t.limits.Terminations-1, 1)
}

// holdTime returns how long a request is held after so many terminations. It is extended by up
// to a half, depending on the fingerprint: requests that were in flight together when
// endpoints terminated are retried one by one, so that the innocent ones among them succeed.
func (t *Tracker) holdTime(f Fingerprint, terminations int) time.Duration {
	return t.firstHold(f) << min(terminations-t.limits.Terminations, maxDoublings)
}

// firstHold returns the time of the first hold.
func (t *Tracker) firstHold(f Fingerprint) time.Duration {
	extension := float64(binary.BigEndian.Uint32(f[:4])) / math.MaxUint32
	return t.limits.Hold + time.Duration(float64(t.limits.Hold)/2*extension)
}

// HeldCount returns how many requests are held back.
func (t *Tracker) HeldCount(now time.Time) int {
	n := 0
	for _, f := range t.order {
		if t.HoldRemaining(now, f) > 0 {
			n++
		}
	}
	return n
}

// HeldReports returns the reports of the requests that are held back now.
func (t *Tracker) HeldReports(now time.Time) []Report {
	var reports []Report
	for _, f := range t.order {
		if t.HoldRemaining(now, f) > 0 {
			reports = append(reports, t.records[f].report(now, f))
		}
	}
	return reports
}

// Len returns the number of records.
func (t *Tracker) Len() int { return len(t.records) }

// Digest returns a digest of all terminations that count: instances with the same digest know
// the same terminations. It is 0 for none. It is cached until a change, as every packet that
// is sent or received needs it and computing it over 1,000 requests takes 48 us.
func (t *Tracker) Digest(now time.Time) uint64 {
	if !now.Before(t.digestUntil) {
		t.digest, t.digestUntil = t.computeDigest(now)
	}
	return t.digest
}

// invalidateDigest makes the next call of Digest compute it again.
func (t *Tracker) invalidateDigest() { t.digestUntil = time.Time{} }

// computeDigest computes the digest, and until when it is valid if nothing changes.
func (t *Tracker) computeDigest(now time.Time) (sum uint64, until time.Time) {
	until = now.Add(t.retention())
	for _, f := range t.order {
		for _, e := range t.records[f].terminations {
			expires := e.at.Add(t.retention())
			if !now.Before(expires) {
				continue
			}
			sum ^= (binary.BigEndian.Uint64(f[:8]) ^ bits.RotateLeft64(e.incarnation, 17)) * digestFactor
			if expires.Before(until) {
				until = expires
			}
		}
	}
	return sum, until
}

// digestFactor is odd, so that multiplication keeps different terminations different.
const digestFactor = 0x9E3779B97F4A7C15

// ReceiveDigest compares the digest of another instance, and reports whether that instance
// knows other terminations.
func (t *Tracker) ReceiveDigest(now time.Time, digest uint64) bool {
	if t.limits.Terminations == 0 || digest == t.Digest(now) {
		return false
	}
	t.differedAt = now
	return true
}

// Report returns the report of a request, and the zero Report if there is no record.
func (t *Tracker) Report(now time.Time, f Fingerprint) Report {
	if r := t.records[f]; r != nil {
		return r.report(now, f)
	}
	return Report{}
}
