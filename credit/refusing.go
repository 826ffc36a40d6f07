package credit

import (
	"math"
	"time"
)

// freedRate measures how fast places become free while all are lent: it tells how long those
// who wait for one will wait.
type freedRate struct {
	// returned is the number of places that were given back since the last advance.
	returned int64
	// seconds and count are the time in which all places were lent and the places given back in
	// it, with older ones counting less.
	seconds, count float64
	at             time.Time
	full           bool
}

const (
	// rateMemory is the time in which what was measured comes to count for less than half.
	rateMemory = 2 * time.Second
	// leastObserved is how long places must have been observed before anything is refused.
	leastObserved = time.Second
)

// advance records that all places are lent from now on, or not.
func (f *freedRate) advance(now time.Time, full bool) {
	if passed := now.Sub(f.at).Seconds(); !f.at.IsZero() && passed > 0 {
		decay := math.Exp(-passed / rateMemory.Seconds())
		f.seconds, f.count = f.seconds*decay, f.count*decay
		if f.full {
			f.seconds += passed
		}
	}
	if f.full {
		f.count += float64(f.returned)
	}
	f.returned, f.at, f.full = 0, now, full
}

// perSecond returns how many places become free in a second, and false if that was not observed
// for long enough.
func (f *freedRate) perSecond() (rate float64, observed bool) {
	if f.seconds < leastObserved.Seconds() {
		return 0, false
	}
	return f.count / f.seconds, true
}

// judgeInterval is the time between two looks at which requests cannot start in time.
const judgeInterval = 20 * time.Millisecond

// judge refuses the requests that cannot start in their time; waiting are those that get no
// place now, in order.
func (l *Lender) judge(now time.Time, d *lending, waiting []candidate) {
	for _, b := range d.list {
		b.refusals = b.refusals[:0]
	}
	rate, observed := d.freed.perSecond()
	if !observed || rate <= 0 {
		return
	}
	d.slots.SetRate(rate)
	ahead := 0.0
	for _, c := range waiting {
		patience := time.Duration(c.PatienceMS)*time.Millisecond - now.Sub(c.borrower.askedAt)
		wait, _ := d.slots.Wait(now, ahead+1)
		least := wait
		if c.borrower.accepted[c.ID] {
			// A request that was expected to start is refused only if that is unlikely by now:
			// places that become free at random need this much less or more.
			least -= time.Duration(math.Sqrt(wait.Seconds()*rate) / rate * float64(time.Second))
		}
		if least <= patience || len(c.borrower.refusals) >= maxRefusals {
			c.borrower.accepted[c.ID] = true
			// A request that is wanted at several endpoints is served by the first of them.
			ahead += 1 / float64(c.Endpoints)
			continue
		}
		l.refuse(now, d, c, wait)
	}
}

// refuse refuses a request, which is to return when its turn would come, after the given wait, if
// a place can be promised to it then and it has so much time.
func (l *Lender) refuse(now time.Time, d *lending, c candidate, wait time.Duration) {
	b := c.borrower
	at, known := b.returns[c.ID]
	if !known {
		var ok bool
		at, ok = d.slots.Reserve(now, now.Add(wait), c.borrower.askedAt.Add(time.Duration(c.ReturnMS)*time.Millisecond))
		if !ok {
			at = time.Time{}
		}
		b.returns[c.ID], b.news = at, true
		l.counts.refused++
	}
	b.refusals = append(b.refusals, refusal{id: c.ID, at: at})
}

// currentRefusals returns the refusals to tell a borrower.
func (b *borrower) currentRefusals(now time.Time) (refusals []Refusal) {
	for _, r := range b.refusals {
		refused := Refusal{ID: r.id}
		if !r.at.IsZero() {
			refused.RetryAfterMS = max(clampMS(r.at.Sub(now).Milliseconds()), 1)
		}
		refusals = append(refusals, refused)
	}
	return refusals
}
