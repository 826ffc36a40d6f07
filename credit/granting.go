package credit

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/issuing"
)

// sendGrants returns the grants to send now. Those to this instance itself are applied at once.
func (l *Lender) sendGrants(now time.Time) (out []Outgoing) {
	for _, d := range l.lentList {
		if !d.due && now.Before(d.repeatAt) {
			continue
		}
		d.due, d.repeatAt = false, now.Add(TickInterval)
		out = append(out, l.notices(now, d)...)
		limits := l.decide(now, d)
		for _, b := range d.list {
			limit, changed := limits[b]
			if b.answered && !changed && !b.news && !b.unacknowledged(now) {
				continue
			}
			if !changed {
				limit = b.usable()
			}
			g := l.grant(now, d, b, limit)
			if b.process == l.config.Process {
				l.receiveGrant(now, b.instance, g)
				continue
			}
			out = append(out, Outgoing{To: b.instance, Grant: &g})
		}
	}
	return out
}

// maxNoticed is the largest fleet that is told at once that an endpoint is contended. In a larger
// one it is learned from sums and rejections.
const maxNoticed = 1024

// settleTime is the time in which instances that are told that an endpoint is contended state
// what they have running there.
const settleTime = 2 * TickInterval

// notices returns messages which tell that an endpoint is contended, when that begins: until the
// other instances know, each sends it as many requests as it has places.
func (l *Lender) notices(now time.Time, d *lending) (out []Outgoing) {
	if !d.noticeDue {
		return nil
	}
	d.noticeDue = false
	if len(l.fleet.Members) > maxNoticed {
		return nil
	}
	for _, name := range l.fleet.Members {
		asked := slices.ContainsFunc(d.list, func(b *borrower) bool { return b.instance == name })
		if name != l.config.Self && !asked {
			out = append(out, Outgoing{To: name, Grant: &Grant{Endpoint: d.key.Name, StartedAtMS: d.key.StartedAtMS}})
		}
	}
	if len(out) > 0 {
		d.settledAt = now.Add(settleTime)
	}
	return out
}

// grant returns a grant, and records that it is sent.
func (l *Lender) grant(now time.Time, d *lending, b *borrower, limit int64) Grant {
	// Borrowers ignore grants with lower numbers than one before, also one of an earlier process
	// of this instance.
	l.lastNumber = max(l.lastNumber+1, uint64(max(now.UnixMicro(), 0)))
	l.counts.granted += max(limit-b.reserved(), 0)
	b.recordGrant(now, l.lastNumber, limit)
	return Grant{
		Endpoint: d.key.Name, StartedAtMS: d.key.StartedAtMS, Process: b.process, Seq: b.ask.Seq, Number: l.lastNumber, Limit: limit,
		LifetimeMS: min(now.Sub(b.askedAt)+creditLifetime, grantLifetime).Milliseconds(), Refusals: b.currentRefusals(now),
	}
}

// decide returns the new limits of the borrowers that get places, and refuses requests that
// cannot start in their time.
func (l *Lender) decide(now time.Time, d *lending) (limits map[*borrower]int64) {
	if now.Before(d.settledAt) {
		return nil
	}
	r := d.room(now, l.ownRank(d.key), l.fleet.IssueFraction())
	d.freed.Advance(now, r.free <= 0)
	d.places.freedPerSecond, _ = d.freed.PerSecond()
	judging := r.free <= 0 && now.Sub(d.judgedAt) >= judgeInterval
	if r.free <= 0 && !judging {
		return nil
	}
	limits = map[*borrower]int64{}
	q := d.newQueue(now)
	var waiting []candidate
	for c, found := q.next(); found && (r.free > 0 || judging); c, found = q.next() {
		if !r.lends(c.borrower.rank) {
			waiting = append(waiting, c)
			continue
		}
		r.take(c.borrower.rank)
		if _, known := limits[c.borrower]; !known {
			limits[c.borrower] = c.borrower.reserved()
		}
		limits[c.borrower]++
	}
	d.freed.SetFull(r.free <= 0)
	if judging {
		d.judgedAt = now
		l.judge(now, d, waiting)
	}
	return limits
}

// ownRank returns the rank of this instance among the issuers of an endpoint, by the list of
// instances here.
func (l *Lender) ownRank(e Key) int {
	rank := slices.Index(l.issuers(e.Name), l.config.Self)
	if rank < 0 {
		return issuing.MaxIssuers - 1
	}
	return rank
}
