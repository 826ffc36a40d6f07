package permit

import (
	"time"

	"github.com/eiderspring/eiderspring/issuing"
)

const (
	// minRate is the lowest rate that is issued, in permits a second, also where the limit is
	// lower: without any request no instance would learn that the limit has ended.
	minRate = 0.2
	// burstTime is the time for which a bucket fills while nobody requests permits, and
	// minBurst its capacity at any rate: a bucket with room for a single permit would lose what
	// accrues until the next request.
	burstTime = 100 * time.Millisecond
	minBurst  = 2
	// maxIssuers is how many instances may issue permits for one endpoint; they are tried in
	// turn.
	maxIssuers = issuing.MaxIssuers
)

// issueRate returns the rate at which permits are issued for a limit, per second.
func (k *limit) issueRate() float64 { return max(k.perSecond*float64(k.warmUpFactor()), minRate) }

// bucket is a token bucket that is empty when it is first filled.
type bucket struct {
	level  float64
	at     time.Time
	issued int64
}

// fill adds the tokens that have accrued up to now.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if b.at.IsZero() {
		b.at = now
	}
	capacity := max(minBurst, perSecond*burstTime.Seconds())
	b.level = min(b.level+perSecond*max(now.Sub(b.at), 0).Seconds(), capacity)
	b.at = now
}

// take takes up to n whole permits.
func (b *bucket) take(n int64) int64 {
	n = max(min(n, int64(b.level)), 0)
	b.level -= float64(n)
	b.issued += n
	return n
}

// issue issues up to n permits as the issuer of the given rank.
func (l *Limiter) issue(now time.Time, k *limit, rank int, n int64) int64 {
	b := &k.buckets[rank]
	b.fill(now, k.issueRate()*issuing.RankFraction(rank)*l.fleet.IssueFraction())
	n = b.take(n)
	l.issued += n
	return n
}

// issued returns how many permits this instance has issued for the endpoint.
func (k *limit) issued() int64 {
	sum := int64(0)
	for _, b := range k.buckets {
		sum += b.issued
	}
	return sum
}

// HandleRequest answers a permit request of another instance. The report in the grant carries
// what is known here.
func (l *Limiter) HandleRequest(now time.Time, r Request) (g Grant, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receive(now, r.Report)
	e := r.Report.key()
	known := l.limits[e]
	if known == nil || r.Rank < 0 || r.Rank >= maxIssuers {
		return Grant{}, false
	}
	known.touchedAt = now
	g = Grant{Report: known.report(now, e), Seq: r.Seq}
	if !known.ended {
		g.N = l.issue(now, known, r.Rank, r.N)
	}
	return g, true
}

// grantTimeout is how long a grant is awaited.
const grantTimeout = 100 * time.Millisecond

// issuerOf returns the instance that issues permits for the endpoint, and its rank. The name
// is empty if all issuers are skipped.
func (l *Limiter) issuerOf(now time.Time, e LimitKey) (name string, rank int) {
	return l.replies.First(now, l.rankedIssuers(e))
}

// rankedIssuers returns the issuers of the endpoint in the order of their rank.
func (l *Limiter) rankedIssuers(e LimitKey) []string { return l.fleet.Ranked(e.text()) }
