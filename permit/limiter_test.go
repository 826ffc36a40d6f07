package permit

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is the time at which the tests start.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newLimiter() *Limiter { return NewLimiter("i1", 0, func() {}) }

func TestLimitBeginsChangesAndEnds(t *testing.T) {
	l, e := newLimiter(), LimitKey{Name: "e1"}
	require.True(t, l.Ready(at(0), e))
	require.True(t, l.RecordLimit(at(0), e, 1.1))
	require.False(t, l.Ready(at(0), e), "a permit is needed")
	require.False(t, l.RecordLimit(at(time.Second), e, 1.1), "the same limit again")
	require.True(t, l.RecordLimit(at(2*time.Second), e, 2))
	require.Equal(t, 2.0, l.Stats(start, 10).Limits["e1"].PerSecond)
	require.True(t, l.Ready(at(0), LimitKey{Name: "e1", StartedAtMS: 7}), "another incarnation")

	require.False(t, l.RecordNoLimit(at(3*time.Second), e, start), "an answer to a request from before the limit")
	require.True(t, l.RecordNoLimit(at(3*time.Second), e, at(time.Second)))
	require.False(t, l.RecordNoLimit(at(4*time.Second), e, at(2*time.Second)), "it has ended")
	require.True(t, l.Ready(at(4*time.Second), e))
	require.False(t, l.AnyLimit())
	require.True(t, l.RecordLimit(at(5*time.Second), e, 2), "it starts again")
}

func TestNilLimiterHasNoLimits(t *testing.T) {
	var l *Limiter
	e := LimitKey{Name: "e1"}
	require.False(t, l.RecordLimit(start, e, 1))
	require.False(t, l.RecordNoLimit(start, e, start))
	require.True(t, l.Ready(start, e))
	require.True(t, l.Take(start, e))
	require.Empty(t, l.ReceiveReports(start, []LimitReport{{Endpoint: "e1"}}))
	require.Empty(t, l.PendingReports(start, 1000))
}

// TestOnlyNewerReportsCount guards against a report that is delayed, duplicated or reordered
// in transit replacing newer knowledge.
func TestOnlyNewerReportsCount(t *testing.T) {
	l, e := newLimiter(), LimitKey{Name: "e1", StartedAtMS: 5}
	report := func(perSecond float64, ended bool, age time.Duration) []LimitReport {
		return []LimitReport{{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, PerSecond: perSecond, Ended: ended, AgeMS: age.Milliseconds()}}
	}
	require.Empty(t, l.ReceiveReports(at(time.Second), report(0, true, 0)), "the end of an unknown limit")
	require.Len(t, l.ReceiveReports(at(time.Second), report(3, false, 100*time.Millisecond)), 1)
	require.Empty(t, l.ReceiveReports(at(time.Second), report(3, false, 100*time.Millisecond)), "duplicate")
	require.Empty(t, l.ReceiveReports(at(2*time.Second), report(9, false, 1500*time.Millisecond)), "from before")
	require.Len(t, l.ReceiveReports(at(2*time.Second), report(0, true, 0)), 1)
	require.Empty(t, l.ReceiveReports(at(3*time.Second), report(3, false, 1500*time.Millisecond)), "from before its end")
	require.True(t, l.Ready(at(3*time.Second), e))
}

// TestForwardedReportKeepsItsAge has two instances exchange the same report many times. It
// guards against a report gaining time with each transfer, which would make a newer report
// look old.
func TestForwardedReportKeepsItsAge(t *testing.T) {
	a, b, e := newLimiter(), newLimiter(), LimitKey{Name: "e1"}
	a.RecordLimit(start, e, 3)
	now := start
	for range 500 {
		for _, pair := range [][2]*Limiter{{a, b}, {b, a}} {
			known := pair[0].limits[e]
			if known == nil {
				continue
			}
			sent := known.report(now, e)
			now = now.Add(4 * time.Millisecond)
			pair[1].ReceiveReports(now, []LimitReport{sent})
		}
	}
	ended := LimitReport{Endpoint: e.Name, Ended: true, AgeMS: now.Sub(at(200 * time.Millisecond)).Milliseconds()}
	require.Len(t, a.ReceiveReports(now, []LimitReport{ended}), 1)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	l := newLimiter()
	for name, r := range map[string]LimitReport{
		"negative": {Endpoint: "e1", PerSecond: -1}, "not a number": {Endpoint: "e1", PerSecond: math.NaN()},
		"infinite": {Endpoint: "e1", PerSecond: math.Inf(1)}, "from the future": {Endpoint: "e1", AgeMS: -5},
		"long name": {Endpoint: strings.Repeat("e", 300)},
	} {
		require.Empty(t, l.ReceiveReports(start, []LimitReport{r}), name)
	}
	require.False(t, l.AnyLimit())
	for _, r := range []Request{{Report: LimitReport{Endpoint: "e1", PerSecond: 1}, Rank: -1}, {Report: LimitReport{Endpoint: "e1", PerSecond: 1}, Rank: maxIssuers}} {
		_, answered := l.HandleRequest(start, r)
		require.False(t, answered)
	}
}

// TestLimitsAreBounded guards against unbounded memory when more limits are recorded than can
// be kept.
func TestLimitsAreBounded(t *testing.T) {
	l := newLimiter()
	for i := range 2 * maxLimits {
		l.RecordLimit(start, LimitKey{Name: "e", StartedAtMS: int64(i)}, 1)
	}
	require.Len(t, l.limits, maxLimits)
	l.ForgetUnlisted(at(time.Second), func(LimitKey) bool { return false })
	require.Len(t, l.limits, maxLimits, "they may still be listed")
	l.ForgetUnlisted(at(forgetAfter), func(e LimitKey) bool { return e.StartedAtMS == 3 })
	require.Len(t, l.limits, 1)
	require.Equal(t, int64(1), l.activeLimits.Load())
}

// TestPermitsExpire guards against the use of a permit after its lifetime.
func TestPermitsExpire(t *testing.T) {
	l, e := newLimiter(), LimitKey{Name: "e1"}
	l.RecordLimit(start, e, 10)
	l.RecordDemand(start, e)
	_, issued := l.PendingRequests(start)
	require.False(t, issued, "a bucket starts empty")
	l.RecordDemand(at(time.Second), e)
	_, issued = l.PendingRequests(at(time.Second))
	require.True(t, issued)
	require.True(t, l.Ready(at(time.Second+permitLifetime-1), e))
	require.False(t, l.Ready(at(time.Second+permitLifetime), e))
	l.RecordDemand(at(3*time.Second), e)
	_, issued = l.PendingRequests(at(3 * time.Second))
	require.True(t, issued)
	require.True(t, l.Take(at(3*time.Second), e))
	require.False(t, l.Take(at(3*time.Second), e), "used")
}

// TestLateGrantsCount covers a slow issuer whose grants arrive after their timeout. The
// permits count, once, until they expire.
func TestLateGrantsCount(t *testing.T) {
	l, e := newLimiter(), LimitKey{Name: "e1"}
	l.RecordLimit(start, e, 10)
	l.SetFleet(Fleet{Members: []string{"other"}, KnownCount: 1})
	var requests []OutgoingRequest
	for i := range 3 {
		now := at(time.Duration(i) * grantTimeout)
		l.RecordDemand(now, e)
		more, _ := l.PendingRequests(now)
		require.Len(t, more, 1)
		requests = append(requests, more...)
	}
	grant := func(r OutgoingRequest) Grant { return Grant{Report: r.Request.Report, Seq: r.Request.Seq, N: 1} }
	now := at(3 * grantTimeout)
	require.False(t, l.ReceiveGrant(now, "third", grant(requests[1])), "it received no request")
	require.True(t, l.ReceiveGrant(now, "other", grant(requests[1])))
	require.False(t, l.ReceiveGrant(now, "other", grant(requests[1])), "duplicate")
	require.True(t, l.ReceiveGrant(now, "other", grant(requests[0])), "reordered")
	require.True(t, l.Take(now, e))
	require.True(t, l.Take(now, e))
	require.False(t, l.Take(now, e))
	l.ReceiveGrant(at(permitLifetime+2*grantTimeout), "other", grant(requests[2]))
	require.False(t, l.Ready(at(permitLifetime+2*grantTimeout), e), "expired")
}

// TestNegativeRequestAddsNoPermits guards against a permit request with a negative count
// filling the issuer's bucket.
func TestNegativeRequestAddsNoPermits(t *testing.T) {
	l := newLimiter()
	report := LimitReport{Endpoint: "e1", PerSecond: 1}
	g, answered := l.HandleRequest(start, Request{Report: report, N: -1000})
	require.True(t, answered)
	require.Zero(t, g.N)
	g, _ = l.HandleRequest(start, Request{Report: report, N: 1000})
	require.Zero(t, g.N)
}

// TestGrantReportsThatALimitHasEnded requests permits from an issuer that already knows that
// the limit has ended.
func TestGrantReportsThatALimitHasEnded(t *testing.T) {
	requester, issuing, e := newLimiter(), newLimiter(), LimitKey{Name: "e1"}
	for _, l := range []*Limiter{requester, issuing} {
		l.RecordLimit(start, e, 10)
	}
	require.True(t, issuing.RecordNoLimit(at(time.Second), e, at(500*time.Millisecond)))
	requester.SetFleet(Fleet{Members: []string{"other"}, KnownCount: 1})
	requester.RecordDemand(at(2*time.Second), e)
	requests, _ := requester.PendingRequests(at(2 * time.Second))
	require.Len(t, requests, 1)
	g, answered := issuing.HandleRequest(at(2*time.Second), requests[0].Request)
	require.True(t, answered)
	require.True(t, requester.ReceiveGrant(at(2*time.Second), "other", g))
	require.True(t, requester.Ready(at(2*time.Second), e))
}
