package quarantine

import (
	"slices"
	"time"
)

// termination is the termination of one endpoint under a suspect.
type termination struct {
	incarnation uint64
	at          time.Time
	origin      Origin
}

// record is what is known of a suspect: a request, or a part of prompts that requests share.
type record struct {
	// shared is set for a part of prompts.
	shared       bool
	terminations []termination
	// succeededAt is when a request was last answered completely, or when the answer to a request
	// with the part last began.
	succeededAt time.Time
	// trials are when a held part was tried again; zero for a trial that has not been made.
	trials [maxTrials]time.Time
	// own is set if this instance has observed a termination.
	own bool
	// sendsLeft is how many more times the report is to be sent, sentAt when it was last sent.
	sendsLeft int
	sentAt    time.Time
}

// merge merges the report of another instance. It returns terminationAdded if others need to know
// what is new in it, and otherwise whether a termination was made older.
func (r *record) merge(now time.Time, report Report) addResult {
	trusted := r.trusted()
	result := terminationIgnored
	if report.ServedMS > 0 && r.recordSuccess(now.Add(-milliseconds(report.ServedMS-1))) {
		result = terminationAdded
	}
	for i, incarnation := range report.Incarnations {
		e := termination{incarnation: incarnation, at: now.Add(-milliseconds(report.AgesMS[i]))}
		if len(report.Origins) > 0 {
			e.origin = Origin(report.Origins[i])
		}
		result = max(result, r.add(e))
	}
	for i, age := range report.TrialsMS {
		if r.addTrial(i, now.Add(-milliseconds(age))) {
			result = terminationAdded
		}
	}
	if r.shared && r.trusted() && !trusted {
		result = terminationAdded
	}
	return result
}

// addTrial adds the trial with the given index. It returns false if it is known or does not count.
func (r *record) addTrial(index int, at time.Time) bool {
	if index >= maxTrials || !at.After(r.succeededAt) || !r.trials[index].IsZero() {
		return false
	}
	r.trials[index] = at
	return true
}

// addResult is the result of adding terminations to a record, in the order of their weight.
type addResult int

// Results of adding terminations.
const (
	// terminationIgnored means that nothing changed: the termination is known, or does not count.
	terminationIgnored addResult = iota
	// terminationMadeOlder means that a known termination turned out to be older.
	terminationMadeOlder
	// terminationAdded means that the termination is new.
	terminationAdded
)

// add adds a termination.
func (r *record) add(e termination) addResult {
	if !e.at.After(r.succeededAt) {
		return terminationIgnored
	}
	if i := slices.IndexFunc(r.terminations, func(known termination) bool { return known.incarnation == e.incarnation }); i >= 0 {
		known := &r.terminations[i]
		known.origin = earlierOrigin(known.origin, e.origin)
		if !e.at.Before(known.at) {
			return terminationIgnored
		}
		// The time in transit of a report makes a termination seem later than it was: the
		// earliest time is the most accurate.
		known.at = e.at
		return terminationMadeOlder
	}
	r.terminations = append(r.terminations, e)
	slices.SortFunc(r.terminations, func(a, b termination) int { return a.at.Compare(b.at) })
	if len(r.terminations) > maxTerminations {
		r.terminations = slices.Delete(r.terminations, 0, 1)
	}
	return terminationAdded
}

// recordSuccess records a complete answer. It reports whether that cleared any termination.
func (r *record) recordSuccess(at time.Time) bool {
	if !at.After(r.succeededAt) {
		return false
	}
	r.succeededAt = at
	if !at.Before(r.lastTrial()) {
		r.trials = [maxTrials]time.Time{}
	}
	before := len(r.terminations)
	r.terminations = slices.DeleteFunc(r.terminations, func(e termination) bool { return !e.at.After(at) })
	return len(r.terminations) < before
}

// lastEvent returns the time of the last event of the suspect.
func (r *record) lastEvent() time.Time {
	if n := len(r.terminations); n > 0 {
		return r.terminations[n-1].at
	}
	return r.succeededAt
}

func (r *record) report(now time.Time, f Fingerprint) Report {
	report := Report{Fingerprint: slices.Clone(f[:]), Shared: r.shared}
	if !r.succeededAt.IsZero() {
		report.ServedMS = max(now.Sub(r.succeededAt).Milliseconds(), 0) + 1
	}
	for _, e := range r.terminations {
		report.Incarnations = append(report.Incarnations, e.incarnation)
		report.AgesMS = append(report.AgesMS, max(now.Sub(e.at).Milliseconds(), 0))
		if r.shared {
			report.Origins = append(report.Origins, uint64(e.origin))
		}
	}
	for _, trial := range r.trials[:r.trialCount()] {
		report.TrialsMS = append(report.TrialsMS, max(now.Sub(trial).Milliseconds(), 0))
	}
	return report
}
