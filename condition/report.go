package condition

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Report is what an instance reports of an endpoint, or the coordinator of the whole fleet.
// Counts are in hundredths.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	// Attempts and Failures count ended attempts, Speeds observations of speed, Good and Bad
	// trials.
	Attempts, Failures, Speeds, Good, Bad int64
	// LogSpeed is the mean natural logarithm of the speed, in thousandths.
	LogSpeed int64
}

// ReportBytes is an upper bound of the encoded size of a report apart from the name of its
// endpoint: the head of the array and of the name, a start time and six small integers.
const ReportBytes = 1 + 2 + 9 + 6*5

// EncodedSize returns an upper bound of the report's size in a packet, in bytes.
func (r Report) EncodedSize() int { return ReportBytes + len(r.Endpoint) }

const (
	countUnit    = 100
	logSpeedUnit = 1000
	// maxReportedCount bounds each count of a report, in observations.
	maxReportedCount = 10_000
	// maxLogSpeed bounds the logarithm of an observed speed.
	maxLogSpeed = 1.61
)

func toReport(k Key, e evidence) Report {
	count := func(v float64) int64 { return int64(math.Round(min(v, maxReportedCount) * countUnit)) }
	r := Report{
		Endpoint: k.Name, StartedAtMS: k.StartedAtMS, Attempts: count(e.attempts), Failures: count(e.failures),
		Speeds: count(e.speeds), Good: count(e.good), Bad: count(e.bad),
	}
	if e.speeds > 0 {
		r.LogSpeed = int64(math.Round(e.logSpeed / e.speeds * logSpeedUnit))
	}
	return r
}

// valid reports whether all values are within the ranges that an instance reports.
func (r Report) valid() bool {
	for _, v := range []int64{r.Attempts, r.Failures, r.Speeds, r.Good, r.Bad} {
		if v < 0 || v > maxReportedCount*countUnit {
			return false
		}
	}
	return r.Failures <= r.Attempts+1 && math.Abs(float64(r.LogSpeed)) <= 2*maxLogSpeed*logSpeedUnit
}

func (r Report) evidence(now time.Time, engine bool) evidence {
	count := func(v int64) float64 { return float64(v) / countUnit }
	return evidence{
		at: now, engine: engine, attempts: count(r.Attempts), failures: count(r.Failures), good: count(r.Good), bad: count(r.Bad),
		speeds: count(r.Speeds), logSpeed: count(r.Speeds) * float64(r.LogSpeed) / logSpeedUnit,
	}
}

// ReceiveReport records what another instance has seen itself.
func (t *Tracker) ReceiveReport(now time.Time, from string, r Report) {
	e := t.receiver(r)
	if e == nil || from == t.instance {
		return
	}
	if e.told == nil {
		e.told = map[string]evidence{}
	}
	e.told[from] = r.evidence(now, e.own.engine)
}

// ReceiveTotal records what the coordinator has gathered from all instances, this one included.
func (t *Tracker) ReceiveTotal(now time.Time, r Report) {
	if e := t.receiver(r); e != nil {
		e.total = r.evidence(now, e.own.engine)
	}
}

// receiver returns the endpoint of a report; nil if it is not listed here, or the report is
// invalid.
func (t *Tracker) receiver(r Report) *endpoint {
	if !r.valid() {
		return nil
	}
	return t.endpoints[Key{Name: r.Endpoint, StartedAtMS: r.StartedAtMS}]
}

// resendAfter is when a report is sent again.
const resendAfter = 200 * time.Millisecond

// Reports returns what to report of this instance's own attempts: of endpoints that are not
// usual here or by what others report, the most important first, in at most bytes.
func (t *Tracker) Reports(now time.Time, bytes int) []Report {
	return t.choose(now, bytes, func(e *endpoint) (evidence, *sentReport) { return e.own.decayed(now), &e.reported })
}

// Totals returns what to announce of all instances' attempts, as Reports does.
func (t *Tracker) Totals(now time.Time, bytes int) []Report {
	return t.choose(now, bytes, func(e *endpoint) (evidence, *sentReport) {
		return e.others(now).plus(now, e.own.capped()), &e.announced
	})
}

// sentReport is what was sent last of an endpoint.
type sentReport struct{ evidence }

// candidate is a report that is due.
type candidate struct {
	Report
	evidence evidence
	sent     *sentReport
	// tried is set if the endpoint has been tried since the last report.
	tried    bool
	priority float64
}

// compareTried orders reports of new trials before all others: they are few, and an endpoint that is left
// out gets no requests until all instances know of them.
func compareTried(a, b candidate) int {
	switch {
	case a.tried == b.tried:
		return 0
	case a.tried:
		return -1
	default:
		return 1
	}
}

func (t *Tracker) choose(now time.Time, bytes int, of func(*endpoint) (evidence, *sentReport)) []Report {
	var due []candidate
	for k, e := range t.endpoints {
		known, sent := of(e)
		if e.unremarkable(now, known) || known.size() < minReported && sent.decayed(now).size() < minReported {
			continue
		}
		age, before := now.Sub(sent.at), sent.decayed(now)
		failed, trials := known.failures-before.failures, known.trials()-before.trials()
		if age < resendAfter && failed < remarkableFailures && trials < remarkableTrials {
			continue
		}
		c := candidate{Report: toReport(k, known), evidence: known, sent: sent}
		c.tried = trials >= remarkableTrials
		c.priority = min(age, time.Second).Seconds() * (1 + urgentFailures*max(failed, 0) + known.size())
		due = append(due, c)
	}
	slices.SortFunc(due, func(a, b candidate) int {
		return cmp.Or(compareTried(a, b), cmp.Compare(b.priority, a.priority), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	var out []Report
	for _, c := range due {
		if bytes -= c.EncodedSize(); bytes < 0 {
			break
		}
		c.sent.evidence = c.evidence
		out = append(out, c.Report)
	}
	return out
}

const (
	// minReported is the evidence, in observations, below which nothing is reported.
	minReported = 0.1
	// urgentFailures is how many other observations a new failure counts as when reports
	// compete for room.
	urgentFailures = 10
	// remarkableTrials is the part of a new trial, as older ones decay, that is reported.
	remarkableTrials = 0.5
)
