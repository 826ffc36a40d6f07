package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastRate is issued, in permits a second, where the limit is lower: without a
	// request nobody would hear that it has ended.
	leastRate = 0.2
	// burstTime is the time for which a bucket fills while nobody asks, and leastBurst how
	// far it fills at any rate: one that held a single permit would lose what comes until
	// somebody asks again.
	burstTime  = 100 * time.Millisecond
	leastBurst = 2
	// mostIssuers is how many instances may be asked for one endpoint, one after another.
	mostIssuers = 3
	// evenPart is the part of its even share by which an instance goes on that no issuer
	// answers.
	evenPart = 0.5
)

// rankPart is the part of the rate that is issued by who stands so far behind the first
// issuer: together half of it, as the first may be there for others.
var rankPart = [mostIssuers]float64{1, 0.4, 0.1}

// rate is what may be issued a second for a limit.
func (k *limit) rate() float64 { return max(k.perSecond*float64(k.warmth()), leastRate) }

// bucket is a token bucket that begins empty when it is first asked.
type bucket struct {
	level  float64
	at     time.Time
	issued int64
}

// fill brings the bucket to now.
func (b *bucket) fill(now time.Time, perSecond float64) {
	if b.at.IsZero() {
		b.at = now
	}
	most := max(leastBurst, perSecond*burstTime.Seconds())
	b.level = min(b.level+perSecond*max(now.Sub(b.at), 0).Seconds(), most)
	b.at = now
}

// take takes up to n whole permits.
func (b *bucket) take(n int64) int64 {
	n = max(min(n, int64(b.level)), 0)
	b.level -= float64(n)
	b.issued += n
	return n
}

// issue issues up to n permits as the issuer of a rank.
func (l *Limiter) issue(now time.Time, k *limit, rank int, n int64) int64 {
	b := &k.buckets[rank]
	b.fill(now, k.rate()*rankPart[rank]*l.fleet.part())
	n = b.take(n)
	l.issued += n
	return n
}

// issued is how many permits this instance has issued for the endpoint.
func (k *limit) issued() int64 {
	sum := int64(0)
	for _, b := range k.buckets {
		sum += b.issued
	}
	return sum
}

// HandleRequest answers an ask of another instance. The word in the answer tells the other what
// is known here.
func (l *Limiter) HandleRequest(now time.Time, a Request) (g Grant, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hear(now, a.Report)
	e := a.Report.start()
	known := l.limits[e]
	if known == nil || a.Rank < 0 || a.Rank >= mostIssuers {
		return Grant{}, false
	}
	known.touchedAt = now
	g = Grant{Word: known.word(now, e), Seq: a.Seq}
	if !known.ended {
		g.N = l.issue(now, known, a.Rank, a.N)
	}
	return g, true
}

// issuer is what is known of another instance that was asked.
type issuer struct {
	// missed is how many asks in a row it has not answered.
	missed int
	// passedUntil is until when it is not asked.
	passedUntil time.Time
}

const (
	// answerTime is for how long an answer is awaited.
	answerTime = 100 * time.Millisecond
	// mostMissed is how many asks in a row may go unanswered before an issuer is passed
	// over, for passTime: datagrams are lost now and then.
	mostMissed = 3
	passTime   = 5 * time.Second
)

// missed records that an issuer has not answered.
func (l *Limiter) missed(now time.Time, name string) {
	i := l.issuers[name]
	if i == nil {
		i = &issuer{}
		l.issuers[name] = i
	}
	i.missed++
	if i.missed >= mostMissed {
		*i = issuer{passedUntil: now.Add(passTime)}
	}
}

// issuerOf returns who issues permits for the endpoint, and its rank; empty for nobody.
func (l *Limiter) issuerOf(now time.Time, e LimitKey) (name string, rank int) {
	for rank, name := range l.ranked(e) {
		i := l.issuers[name]
		if i == nil || !now.Before(i.passedUntil) {
			return name, rank
		}
	}
	return "", 0
}

// ranked returns the issuers of the endpoint, the first one first.
func (l *Limiter) ranked(e LimitKey) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	best := make([]candidate, 0, mostIssuers+1)
	for _, name := range l.fleet.Members {
		c := candidate{name, xxhash.Sum64String(name + "\x00" + e.text())}
		at := len(best)
		for at > 0 && (best[at-1].weight < c.weight || best[at-1].weight == c.weight && best[at-1].name > c.name) {
			at--
		}
		if at == mostIssuers {
			continue
		}
		best = append(best[:at], append([]candidate{c}, best[at:]...)...)
		best = best[:min(len(best), mostIssuers)]
	}
	names := make([]string, len(best))
	for i, c := range best {
		names[i] = c.name
	}
	return names
}
