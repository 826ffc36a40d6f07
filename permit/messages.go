package permit

import (
	"math"
	"strings"
	"time"
)

// LimitReport is the last limit that an endpoint reported, as instances exchange it.
type LimitReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	// PerSecond is the limit; Ended is set instead where there is no limit any more.
	PerSecond float64
	Ended     bool
	// AgeMS is the time since the endpoint reported the limit, in milliseconds.
	AgeMS int64
}

// Request requests permits from the issuer of an endpoint.
type Request struct {
	_      struct{} `cbor:",toarray"`
	Report LimitReport
	// Seq identifies the request in its grant.
	Seq uint64
	// Rank is the number of issuers that precede this one.
	Rank int
	// N is the number of permits requested.
	N int64
}

// Grant answers a Request.
type Grant struct {
	_      struct{} `cbor:",toarray"`
	Report LimitReport
	Seq    uint64
	// N is the number of permits issued.
	N int64
}

const (
	// maxNameBytes bounds the name of an endpoint in a report, in bytes.
	maxNameBytes = 128
	// reportHeadBytes bounds the encoding of a report without the name, in bytes.
	reportHeadBytes = 4 + 4*9
	// reportSends is how often a report is sent. Datagrams are lost now and then; an instance
	// that misses them all learns the limit from the endpoint itself.
	reportSends = 3
)

// EncodedSize returns an upper bound of the encoded size of the report, in bytes.
func (r LimitReport) EncodedSize() int { return reportHeadBytes + len(r.Endpoint) }

// key returns the key of the reported limit.
func (r LimitReport) key() LimitKey {
	name, cold := strings.CutSuffix(r.Endpoint, coldSuffix)
	return LimitKey{Name: name, StartedAtMS: r.StartedAtMS, Cold: cold}
}

// valid reports whether all values are within their ranges.
func (r LimitReport) valid() bool {
	return len(r.Endpoint) <= maxNameBytes && r.AgeMS >= 0 && r.PerSecond >= 0 && !math.IsInf(r.PerSecond, 0)
}

// report returns the report of the limit.
func (k *limit) report(now time.Time, e LimitKey) LimitReport {
	return LimitReport{
		Endpoint: e.text(), StartedAtMS: e.StartedAtMS, PerSecond: k.perSecond, Ended: k.ended,
		AgeMS: max(now.Sub(k.reportedAt), 0).Milliseconds(),
	}
}

// ReceiveReports applies the reports of another instance, and returns those that are new here.
func (l *Limiter) ReceiveReports(now time.Time, reports []LimitReport) (fresh []LimitReport) {
	if l == nil || len(reports) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		if l.receive(now, r) {
			fresh = append(fresh, r)
		}
	}
	return fresh
}

// receive applies a report unless a newer one is known.
func (l *Limiter) receive(now time.Time, r LimitReport) bool {
	if !r.valid() {
		return false
	}
	if e := r.key(); e.Cold {
		return l.receiveCold(now, e, r)
	}
	reportedAt := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
	known := l.limits[r.key()]
	if known != nil && known.supersedes(r, reportedAt) {
		return false
	}
	return l.record(reportedAt, now, r.key(), r.PerSecond, r.Ended)
}

// duplicateTolerance is by how much later a copy of a known report may seem to be made: its
// age does not include the time in transit. Without the tolerance a report would seem newer
// each time that it is passed on.
const duplicateTolerance = 50 * time.Millisecond

// supersedes reports whether a report made at reportedAt changes nothing of what is known.
func (k *limit) supersedes(r LimitReport, reportedAt time.Time) bool {
	same := k.ended == r.Ended && k.perSecond == r.PerSecond
	return !reportedAt.After(k.reportedAt) || same && reportedAt.Sub(k.reportedAt) < duplicateTolerance
}

// PendingReports returns reports to send to the other instances, of at most room bytes.
func (l *Limiter) PendingReports(now time.Time, room int) []LimitReport {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var reports []LimitReport
	for e, k := range l.limits {
		r := k.report(now, e)
		if k.sendsLeft == 0 || e.Cold || r.EncodedSize() > room {
			continue
		}
		k.sendsLeft--
		room -= r.EncodedSize()
		reports = append(reports, r)
	}
	return reports
}
