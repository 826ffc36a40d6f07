package quarantine

import (
	"slices"
	"time"
)

// Rules for the parts of prompts, which requests share. They differ from those for requests as a
// part is at many endpoints at once, and as its hold concerns many callers.
const (
	// trustTime is how long the beginning of an answer speaks for a part. trustedExtra is how many
	// more terminations hold such a part; of these, those within simultaneity count as one, as
	// endpoints also terminate together, such as with their rack.
	trustTime    = 10 * time.Minute
	trustedExtra = 1
	simultaneity = 250 * time.Millisecond
	// minOrigins is how many different requests endpoints must have terminated under: a request
	// that terminates endpoints by itself says nothing about its parts.
	minOrigins = 2
	// maxTrials bounds how often all instances together try a held part again, trialDoublings is
	// how often each trial doubles the hold. Behind the last one the part is held until its
	// terminations no longer count.
	maxTrials      = 2
	trialDoublings = 3
)

// Origin is the request under which an endpoint has terminated, and its account: 32 bits of the hash
// of each. It is 0 if unknown.
type Origin uint64

// originOf returns the origin that is a request of an account.
func originOf(account uint32, request Fingerprint) Origin {
	return Origin(uint64(account)<<32 | uint64(request[0])<<24 | uint64(request[1])<<16 | uint64(request[2])<<8 | uint64(request[3]))
}

func (o Origin) account() uint32 { return uint32(o >> 32) }

// earlierOrigin returns which of two origins is kept for the same termination: the same at all
// instances, in whichever order they hear of both.
func earlierOrigin(a, b Origin) Origin {
	if a == 0 || b == 0 {
		return a | b
	}
	return min(a, b)
}

// Hold is whether and how long a part of prompts is held back.
type Hold struct {
	// Terminations is the number of endpoints that have terminated under it.
	Terminations int
	// Remaining is the remaining time; 0 if the part is not held.
	Remaining time.Duration
	// TrialDue is set if the time of the hold is over, but nothing has shown that the part is
	// sound: only one request may go on, of all instances together.
	TrialDue bool
}

// RecordSharedTermination records that an endpoint has terminated under a request with a part,
// before the answer to that request began, and schedules the report to be sent the given number of
// times. It returns the number of terminations.
func (t *Tracker) RecordSharedTermination(now time.Time, part Fingerprint, incarnation uint64, origin Origin, sends int) int {
	if t.limits.Terminations == 0 {
		return 0
	}
	r := t.record(now, part)
	r.shared = true
	return t.recordOwn(now, part, r, termination{incarnation: incarnation, at: now, origin: origin}, sends)
}

// RecordSharedSuccess records that the answer to a request with a part has begun, which shows that
// the part does not terminate endpoints, and schedules the report to be sent the given number of
// times. It returns false if the part has no terminations.
func (t *Tracker) RecordSharedSuccess(now time.Time, part Fingerprint, sends int) bool {
	if t.limits.Terminations == 0 {
		return false
	}
	t.answers.record(now, part)
	return t.RecordSuccess(now, part, sends)
}

// applyRecentAnswer applies what this instance has answered recently to a part with terminations. It reports
// whether the others need to know.
func (t *Tracker) applyRecentAnswer(now time.Time, part Fingerprint, r *record) bool {
	answeredAt, known := t.answers.at(part)
	if !r.shared || !known || now.Sub(answeredAt) >= trustTime {
		return false
	}
	trusted := r.trusted()
	return r.recordSuccess(answeredAt) || r.trusted() && !trusted
}

// trusted reports whether an answer to a request with the part had begun not long before the first
// termination.
func (r *record) trusted() bool {
	if r.succeededAt.IsZero() || len(r.terminations) == 0 {
		return false
	}
	return r.terminations[0].at.Sub(r.succeededAt) < trustTime
}

// evidence returns how many terminations count against a part for an account. Those under requests
// of one account count for that account alone, so that nobody can have the parts of others held.
func (r *record) evidence(account uint32) int {
	counted := r.terminations
	if !r.severalAccounts() {
		counted = slices.DeleteFunc(slices.Clone(counted), func(e termination) bool { return e.origin.account() != account })
	}
	if countOrigins(counted) < minOrigins {
		return 0
	}
	if r.trusted() {
		return countSpaced(counted)
	}
	return len(counted)
}

// severalAccounts reports whether endpoints have terminated under requests of several accounts.
func (r *record) severalAccounts() bool {
	return slices.ContainsFunc(r.terminations, func(e termination) bool { return e.origin.account() != r.terminations[0].origin.account() })
}

// countOrigins returns the number of different requests.
func countOrigins(terminations []termination) int {
	origins := make([]Origin, 0, maxTerminations)
	for _, e := range terminations {
		if !slices.Contains(origins, e.origin) {
			origins = append(origins, e.origin)
		}
	}
	return len(origins)
}

// countSpaced returns the number of terminations, of which those within simultaneity count as one.
func countSpaced(terminations []termination) int {
	n := 0
	var first time.Time
	for _, e := range terminations {
		if n == 0 || e.at.Sub(first) >= simultaneity {
			n++
			first = e.at
		}
	}
	return n
}

// EnoughEvidence reports whether enough endpoints have terminated under a part to hold it, also if it
// may be tried again.
func (t *Tracker) EnoughEvidence(part Fingerprint, account uint32) bool {
	r := t.records[part]
	if r == nil || t.limits.Terminations == 0 {
		return false
	}
	needed := t.limits.Terminations
	if r.trusted() {
		needed += trustedExtra
	}
	return r.evidence(account) >= needed
}

// SharedHold returns whether a part is held back for a request of an account whose prompt has the
// given parts. A part is not held whose terminations are all explained by held parts that this
// request does not have: such requests show which of the parts it was.
func (t *Tracker) SharedHold(now time.Time, part Fingerprint, account uint32, parts []Fingerprint) Hold {
	r := t.records[part]
	if r == nil {
		return Hold{}
	}
	// A neighbouring release forwards reports without telling what they are about.
	r.shared = true
	if !t.EnoughEvidence(part, account) || t.explainedWithout(r, parts) {
		return Hold{}
	}
	h := Hold{Terminations: len(r.terminations), Remaining: max(t.sharedHoldEnd(part, r).Sub(now), 0)}
	h.TrialDue = h.Remaining == 0 && r.trialCount() < maxTrials
	return h
}

// explainedWithout reports whether each termination under a part also counts against a held part that
// is not among the given ones.
func (t *Tracker) explainedWithout(r *record, parts []Fingerprint) bool {
	left := make([]uint64, len(r.terminations))
	for i, e := range r.terminations {
		left[i] = e.incarnation
	}
	for f, other := range t.records {
		if !other.shared || other == r || len(other.terminations) < t.limits.Terminations || slices.Contains(parts, f) || !t.heldForAny(f, other) {
			continue
		}
		left = slices.DeleteFunc(left, other.hasIncarnation)
	}
	return len(left) == 0
}

// heldForAny reports whether enough endpoints have terminated under a part to hold it for some account.
func (t *Tracker) heldForAny(part Fingerprint, r *record) bool {
	return slices.ContainsFunc(r.terminations, func(e termination) bool { return t.EnoughEvidence(part, e.origin.account()) })
}

// hasIncarnation reports whether an incarnation has terminated under the suspect.
func (r *record) hasIncarnation(incarnation uint64) bool {
	return slices.ContainsFunc(r.terminations, func(e termination) bool { return e.incarnation == incarnation })
}

// sharedHoldEnd returns when a held part may be tried again or, if it has been tried often enough,
// when it is forgotten.
func (t *Tracker) sharedHoldEnd(part Fingerprint, r *record) time.Time {
	last, trials := r.lastEvent(), r.trialCount()
	if trial := r.lastTrial(); trial.After(last) {
		last = trial
	}
	if trials == maxTrials {
		return last.Add(t.retention())
	}
	return last.Add(t.firstHold(part) << (trialDoublings * trials))
}

// longestSharedHold returns how much longer a part is held, for the account for which that is
// longest, whatever else may explain its terminations.
func (t *Tracker) longestSharedHold(now time.Time, part Fingerprint, r *record) time.Duration {
	if !t.heldForAny(part, r) {
		return 0
	}
	return max(t.sharedHoldEnd(part, r).Sub(now), 0)
}

// RecordTrial records that this instance has got the trial with the given index of a held part, and
// schedules the report to be sent the given number of times.
func (t *Tracker) RecordTrial(now time.Time, part Fingerprint, index, sends int) {
	if r := t.records[part]; r != nil && r.addTrial(index, now) {
		t.changed(part, r, sends)
	}
}

// trialCount returns the number of trials.
func (r *record) trialCount() int {
	n := 0
	for n < maxTrials && !r.trials[n].IsZero() {
		n++
	}
	return n
}

// lastTrial returns the time of the last trial; zero if there was none.
func (r *record) lastTrial() time.Time {
	if n := r.trialCount(); n > 0 {
		return r.trials[n-1]
	}
	return time.Time{}
}

// IsShared reports whether a suspect is a part of prompts.
func (t *Tracker) IsShared(f Fingerprint) bool { return t.records[f] != nil && t.records[f].shared }

// ObservedHere reports whether this instance has observed a termination under a suspect.
func (t *Tracker) ObservedHere(f Fingerprint) bool { return t.records[f] != nil && t.records[f].own }
