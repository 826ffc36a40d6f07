package credit

import "time"

// judgeInterval is the time between two looks at which requests cannot start in time.
const judgeInterval = 20 * time.Millisecond

// judge refuses the requests that cannot start in their time; waiting are those that get no
// place now, in order.
func (l *Lender) judge(now time.Time, d *lending, waiting []candidate) {
	for _, b := range d.list {
		b.refusals = b.refusals[:0]
	}
	rate, observed := d.freed.PerSecond()
	if !observed || rate <= 0 {
		return
	}
	d.slots.SetRate(rate)
	ahead := 0.0
	for _, c := range waiting {
		patience := time.Duration(c.PatienceMS)*time.Millisecond - now.Sub(c.borrower.askedAt)
		wait, least := d.slots.Wait(now, ahead+1)
		// A request that was expected to start is refused only if that is unlikely by now.
		starts := wait <= patience || c.borrower.accepted[c.ID] && least <= patience
		if starts || len(c.borrower.refusals) >= maxRefusals {
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
