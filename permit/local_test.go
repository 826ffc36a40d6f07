package permit

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// start is when the tests' time begins.
var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func newLocal() *Limiter { return NewLimiter("i1", 0, func() {}) }

func TestWhatAnEndpointSays(t *testing.T) {
	l, e := newLocal(), LimitKey{Name: "e1"}
	require.True(t, l.Ready(at(0), e))
	require.True(t, l.RecordLimit(at(0), e, 1.1))
	require.False(t, l.Ready(at(0), e), "a permit is needed")
	require.False(t, l.RecordLimit(at(time.Second), e, 1.1), "the same again")
	require.True(t, l.RecordLimit(at(2*time.Second), e, 2))
	require.Equal(t, 2.0, l.Stats(start, 10).Limits["e1"].PerSecond)
	require.True(t, l.Ready(at(0), LimitKey{Name: "e1", StartedAtMS: 7}), "another start of it")

	require.False(t, l.RecordNoLimit(at(3*time.Second), e, start), "an answer to a request from before the limit")
	require.True(t, l.RecordNoLimit(at(3*time.Second), e, at(time.Second)))
	require.False(t, l.RecordNoLimit(at(4*time.Second), e, at(2*time.Second)), "it has ended")
	require.True(t, l.Ready(at(4*time.Second), e))
	require.False(t, l.AnyLimit())
	require.True(t, l.RecordLimit(at(5*time.Second), e, 2), "it begins again")
}

func TestLocalThatKnowsNothing(t *testing.T) {
	var l *Limiter
	e := LimitKey{Name: "e1"}
	require.False(t, l.RecordLimit(start, e, 1))
	require.False(t, l.RecordNoLimit(start, e, start))
	require.True(t, l.Ready(start, e))
	require.True(t, l.Take(start, e))
	require.Empty(t, l.ReceiveReports(start, []LimitReport{{Endpoint: "e1"}}))
	require.Empty(t, l.PendingReports(start, 1000))
}

// TestOnlyNewerWordsCount hears words that were lost on their way for a while, doubled, or
// in another order.
func TestOnlyNewerWordsCount(t *testing.T) {
	l, e := newLocal(), LimitKey{Name: "e1", StartedAtMS: 5}
	word := func(perSecond float64, ended bool, age time.Duration) []LimitReport {
		return []LimitReport{{Endpoint: e.Name, StartedAtMS: e.StartedAtMS, PerSecond: perSecond, Ended: ended, AgeMS: age.Milliseconds()}}
	}
	require.Empty(t, l.ReceiveReports(at(time.Second), word(0, true, 0)), "the end of a limit that nobody knows")
	require.Len(t, l.ReceiveReports(at(time.Second), word(3, false, 100*time.Millisecond)), 1)
	require.Empty(t, l.ReceiveReports(at(time.Second), word(3, false, 100*time.Millisecond)), "doubled")
	require.Empty(t, l.ReceiveReports(at(2*time.Second), word(9, false, 1500*time.Millisecond)), "from before")
	require.Len(t, l.ReceiveReports(at(2*time.Second), word(0, true, 0)), 1)
	require.Empty(t, l.ReceiveReports(at(3*time.Second), word(3, false, 1500*time.Millisecond)), "from before its end")
	require.True(t, l.Ready(at(3*time.Second), e))
}

// TestWordSeemsNoNewerOnItsWay has two instances tell each other the same word again and
// again: it stays as old as it is, so that a newer one is believed.
func TestWordSeemsNoNewerOnItsWay(t *testing.T) {
	a, b, e := newLocal(), newLocal(), LimitKey{Name: "e1"}
	a.RecordLimit(start, e, 3)
	now := start
	for range 500 {
		for _, pair := range [][2]*Limiter{{a, b}, {b, a}} {
			word := pair[0].limits[e]
			if word == nil {
				continue
			}
			told := word.word(now, e)
			now = now.Add(4 * time.Millisecond)
			pair[1].ReceiveReports(now, []LimitReport{told})
		}
	}
	ended := LimitReport{Endpoint: e.Name, Ended: true, AgeMS: now.Sub(at(200 * time.Millisecond)).Milliseconds()}
	require.Len(t, a.ReceiveReports(now, []LimitReport{ended}), 1)
}

func TestUnsoundWords(t *testing.T) {
	l := newLocal()
	for name, w := range map[string]LimitReport{
		"negative": {Endpoint: "e1", PerSecond: -1}, "no number": {Endpoint: "e1", PerSecond: math.NaN()},
		"without end": {Endpoint: "e1", PerSecond: math.Inf(1)}, "from the future": {Endpoint: "e1", AgeMS: -5},
		"long name": {Endpoint: strings.Repeat("e", 300)},
	} {
		require.Empty(t, l.ReceiveReports(start, []LimitReport{w}), name)
	}
	require.False(t, l.AnyLimit())
	for _, a := range []Request{{Report: LimitReport{Endpoint: "e1", PerSecond: 1}, Rank: -1}, {Report: LimitReport{Endpoint: "e1", PerSecond: 1}, Rank: mostIssuers}} {
		_, answered := l.HandleRequest(start, a)
		require.False(t, answered)
	}
}

// TestLimitsAreBounded lets one instance tell of more endpoints than there can be.
func TestLimitsAreBounded(t *testing.T) {
	l := newLocal()
	for i := range 2 * maxLimits {
		l.RecordLimit(start, LimitKey{Name: "e", StartedAtMS: int64(i)}, 1)
	}
	require.Len(t, l.limits, maxLimits)
	l.ForgetUnlisted(at(time.Second), func(LimitKey) bool { return false })
	require.Len(t, l.limits, maxLimits, "they may be listed yet")
	l.ForgetUnlisted(at(forgetAfter), func(e LimitKey) bool { return e.StartedAtMS == 3 })
	require.Len(t, l.limits, 1)
	require.Equal(t, int64(1), l.limited.Load())
}

// TestPermitsAreVoidAfterAWhile gets a permit and uses it too late.
func TestPermitsAreVoidAfterAWhile(t *testing.T) {
	l, e := newLocal(), LimitKey{Name: "e1"}
	l.RecordLimit(start, e, 10)
	l.RecordDemand(start, e)
	_, got := l.PendingRequests(start)
	require.False(t, got, "a bucket begins empty")
	l.RecordDemand(at(time.Second), e)
	_, got = l.PendingRequests(at(time.Second))
	require.True(t, got)
	require.True(t, l.Ready(at(time.Second+permitTime-1), e))
	require.False(t, l.Ready(at(time.Second+permitTime), e))
	l.RecordDemand(at(3*time.Second), e)
	_, got = l.PendingRequests(at(3 * time.Second))
	require.True(t, got)
	require.True(t, l.Take(at(3*time.Second), e))
	require.False(t, l.Take(at(3*time.Second), e), "used")
}

// TestLateAnswers has an issuer that answers late, as one does that is slow: what it issued
// counts, once, until it is void.
func TestLateAnswers(t *testing.T) {
	l, e := newLocal(), LimitKey{Name: "e1"}
	l.RecordLimit(start, e, 10)
	l.SetFleet(Fleet{Members: []string{"other"}, KnownCount: 1})
	var asks []OutgoingRequest
	for i := range 3 {
		now := at(time.Duration(i) * answerTime)
		l.RecordDemand(now, e)
		more, _ := l.PendingRequests(now)
		require.Len(t, more, 1)
		asks = append(asks, more...)
	}
	grant := func(a OutgoingRequest) Grant { return Grant{Word: a.Ask.Report, Seq: a.Ask.Seq, N: 1} }
	now := at(3 * answerTime)
	require.False(t, l.ReceiveGrant(now, "third", grant(asks[1])), "nobody asked it")
	require.True(t, l.ReceiveGrant(now, "other", grant(asks[1])))
	require.False(t, l.ReceiveGrant(now, "other", grant(asks[1])), "doubled")
	require.True(t, l.ReceiveGrant(now, "other", grant(asks[0])), "in another order")
	require.True(t, l.Take(now, e))
	require.True(t, l.Take(now, e))
	require.False(t, l.Take(now, e))
	l.ReceiveGrant(at(permitTime+2*answerTime), "other", grant(asks[2]))
	require.False(t, l.Ready(at(permitTime+2*answerTime), e), "void")
}

// TestNobodyIsAskedForLessThanNothing has an ask that would fill the bucket.
func TestNobodyIsAskedForLessThanNothing(t *testing.T) {
	l := newLocal()
	word := LimitReport{Endpoint: "e1", PerSecond: 1}
	g, answered := l.HandleRequest(start, Request{Report: word, N: -1000})
	require.True(t, answered)
	require.Zero(t, g.N)
	g, _ = l.HandleRequest(start, Request{Report: word, N: 1000})
	require.Zero(t, g.N)
}

// TestAnswerTellsThatALimitHasEnded asks an issuer that knows more.
func TestAnswerTellsThatALimitHasEnded(t *testing.T) {
	asking, issuing, e := newLocal(), newLocal(), LimitKey{Name: "e1"}
	for _, l := range []*Limiter{asking, issuing} {
		l.RecordLimit(start, e, 10)
	}
	require.True(t, issuing.RecordNoLimit(at(time.Second), e, at(500*time.Millisecond)))
	asking.SetFleet(Fleet{Members: []string{"other"}, KnownCount: 1})
	asking.RecordDemand(at(2*time.Second), e)
	asks, _ := asking.PendingRequests(at(2 * time.Second))
	require.Len(t, asks, 1)
	g, answered := issuing.HandleRequest(at(2*time.Second), asks[0].Ask)
	require.True(t, answered)
	require.True(t, asking.ReceiveGrant(at(2*time.Second), "other", g))
	require.True(t, asking.Ready(at(2*time.Second), e))
}
