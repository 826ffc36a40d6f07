package credit

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/internal/pace"
	"github.com/eiderspring/eiderspring/issuing"
	"github.com/eiderspring/eiderspring/returnslot"
)

// lending is the state of an endpoint whose places this instance lends.
type lending struct {
	key Key
	// borrowers are those that ask, by process, and list the same in a fixed order.
	borrowers map[string]*borrower
	list      []*borrower
	places    places
	outsiders outsiders
	freed     pace.Meter
	slots     returnslot.Book
	// due is set when places may be granted or an ask is to be answered, and repeatAt is when
	// grants that are not acknowledged are next to be repeated.
	due      bool
	repeatAt time.Time
	// noticeDue is set when the other instances are to be told that the endpoint is contended, and
	// settledAt is when those that have requests there are known.
	noticeDue bool
	settledAt time.Time
	// touchedAt is when an ask was last received, sampledAt when what runs at the endpoint was
	// last looked at, and judgedAt when refusals were last decided.
	touchedAt, sampledAt, judgedAt time.Time
}

// borrower is a process that has asked for places of an endpoint.
type borrower struct {
	instance, process string
	rank              int
	// ask is the last ask, received at askedAt, and answered once a grant has been sent since.
	ask      Ask
	askedAt  time.Time
	answered bool
	// grants are those sent and not acknowledged, the oldest first, and grantedAt when the last
	// one was sent.
	grants    []sentGrant
	grantedAt time.Time
	// held is the number of places reserved when last looked at.
	held int64
	// returns is when the refused requests are expected again, by ID; zero if in no slot. refusals are those that
	// were last decided, and news is set while they have not been sent.
	returns map[uint64]time.Time
	// accepted are the requests that are expected to start in their time.
	accepted map[uint64]bool
	refusals []refusal
	news     bool
}

// refusal is a refused request and when a place is reserved for it; zero if none is.
type refusal struct {
	id uint64
	at time.Time
}

type sentGrant struct {
	number uint64
	limit  int64
}

const (
	// creditLifetime is how long an unused credit is valid.
	creditLifetime = 500 * time.Millisecond
	// grantLifetime bounds for how long after an ask credits granted for it are valid, and leaves
	// the requests that use them the rest of borrowerLifetime.
	grantLifetime = time.Second
	// borrowerLifetime is how long places stay reserved for a borrower that no longer asks: it
	// has ended, or is cut off. It exceeds some renewals and the lifetime of a credit.
	borrowerLifetime = 2 * time.Second
	// grantTimeout is how long the acknowledgement of granted credits is awaited.
	grantTimeout = 30 * time.Millisecond
	// maxBorrowers bounds the processes whose asks are kept for an endpoint.
	maxBorrowers = 4096
	// maxGrants bounds the unacknowledged grants kept for a borrower; the oldest are merged.
	maxGrants = 16
)

// ReceiveAsk applies an ask of another instance's process.
func (l *Lender) ReceiveAsk(now time.Time, from, process string, a Ask) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.valid() || from == "" || process == "" || len(process) > maxNameBytes {
		l.counts.invalid++
		return
	}
	l.receiveAsk(now, from, process, a)
}

func (l *Lender) receiveAsk(now time.Time, from, process string, a Ask) {
	d := l.lendingOf(now, a.key())
	if d == nil {
		return
	}
	b := d.borrowers[process]
	if b == nil {
		if len(d.borrowers) >= maxBorrowers {
			return
		}
		b = &borrower{instance: from, process: process, returns: map[uint64]time.Time{}, accepted: map[uint64]bool{}}
		b.ask.Rejected = a.Rejected
		d.add(b)
	}
	if a.Seq <= b.ask.Seq {
		return
	}
	d.places.recordReport(a.Places)
	d.recordRejections(now, a.Rejected-b.ask.Rejected)
	d.places.recordRoundTrip(a.RoundTripMS)
	d.freed.Add(b.apply(now, a))
	d.due = true
}

// add adds a borrower.
func (d *lending) add(b *borrower) {
	d.borrowers[b.process] = b
	at, _ := slices.BinarySearchFunc(d.list, b.process, func(b *borrower, process string) int { return cmp.Compare(b.process, process) })
	d.list = slices.Insert(d.list, at, b)
}

// recordRejections records that requests were rejected. While it may be for requests without a
// credit, it doesn't show that the endpoint takes fewer.
func (d *lending) recordRejections(now time.Time, n int64) {
	if n <= 0 {
		return
	}
	d.places.block(now, n)
	if now.Sub(d.settledAt) >= sumDelay && d.outsiders.running() == 0 {
		d.places.recordRejection(now)
	}
}

// lendingOf returns the state of an endpoint, and nil if there are too many.
func (l *Lender) lendingOf(now time.Time, e Key) *lending {
	d := l.lent[e]
	if d == nil {
		if len(l.lent) >= maxEndpoints {
			return nil
		}
		d = &lending{key: e, borrowers: map[string]*borrower{}, places: newPlaces(now), noticeDue: true}
		l.lent[e] = d
		at, _ := slices.BinarySearchFunc(l.lentList, e, func(d *lending, e Key) int { return compareKeys(d.key, e) })
		l.lentList = slices.Insert(l.lentList, at, d)
	}
	if now.Sub(d.touchedAt) >= contendedTime {
		d.noticeDue = true
	}
	d.touchedAt = now
	return d
}

// apply replaces the last ask, and returns the number of places that it gives back.
func (b *borrower) apply(now time.Time, a Ask) (returned int64) {
	b.ask, b.askedAt, b.rank, b.answered = a, now, a.Rank, false
	b.grants = slices.DeleteFunc(b.grants, func(g sentGrant) bool { return g.number <= a.Ack })
	listed := func(id uint64) bool { return slices.ContainsFunc(a.Wants, func(w Want) bool { return w.ID == id }) }
	maps.DeleteFunc(b.returns, func(id uint64, _ time.Time) bool { return !listed(id) })
	maps.DeleteFunc(b.accepted, func(id uint64, _ bool) bool { return !listed(id) })
	before := b.held
	b.held = b.reserved()
	return max(before-b.held, 0)
}

// reserved returns the number of places that the borrower may have in use: those that it has
// stated, or those of a grant that it may have received since.
func (b *borrower) reserved() int64 {
	n := b.ask.Running + b.ask.Unused
	for _, g := range b.grants {
		n = max(n, g.limit)
	}
	return n
}

// usable returns how many of the reserved places the borrower can use: those that are in use, and
// one for each waiting request. An answer states no more. Credits that nobody wants any more would
// be renewed by each answer to the ask that returns them.
func (b *borrower) usable() int64 {
	return min(b.reserved(), b.ask.Running+max(b.ask.Unused, int64(len(b.ask.Wants))))
}

// recordGrant records a grant that is sent.
func (b *borrower) recordGrant(now time.Time, number uint64, limit int64) {
	b.grantedAt = now
	if len(b.grants) >= maxGrants {
		b.grants[1].limit = max(b.grants[0].limit, b.grants[1].limit)
		b.grants = b.grants[1:]
	}
	b.grants = append(b.grants, sentGrant{number: number, limit: limit})
	b.answered, b.news, b.held = true, false, b.reserved()
}

// unacknowledged reports whether credits were granted long enough ago for the borrower to have
// acknowledged them.
func (b *borrower) unacknowledged(now time.Time) bool {
	return b.held > b.ask.Running+b.ask.Unused && now.Sub(b.grantedAt) >= grantTimeout
}

// dropSilent drops borrowers that no longer ask.
func (d *lending) dropSilent(now time.Time) {
	d.list = slices.DeleteFunc(d.list, func(b *borrower) bool {
		silent := now.Sub(b.askedAt) >= borrowerLifetime
		if silent {
			delete(d.borrowers, b.process)
			d.due = true
		}
		return silent
	})
}

func (d *lending) recordSample(now time.Time, running, places int64) {
	d.places.recordReport(places)
	d.outsiders.recordSample(now, running, d.reserved())
	d.due = true
}

// reserved returns the number of places reserved for all borrowers.
func (d *lending) reserved() int64 {
	n := int64(0)
	for _, b := range d.list {
		n += b.reserved()
	}
	return n
}

// room is the number of places that may still be lent, in all and by the rank that this
// instance has for a borrower.
type room struct {
	free   int64
	byRank [issuing.MaxIssuers]int64
}

// room returns the places that may be lent now. ownRank is the rank by the list of instances
// here: who has another list may not be lent more than it allows.
func (d *lending) room(now time.Time, ownRank int, issueFraction float64) room {
	lendable := d.places.lendable(now)
	reserved := d.reserved()
	r := room{free: lendable - reserved - d.outsiders.running()}
	for rank := range r.byRank {
		fraction := issuing.RankFraction(max(rank, ownRank)) * issueFraction
		limit := lendable
		if fraction < 1 {
			limit = max(int64(float64(d.places.reported)*fraction), 1)
		}
		r.byRank[rank] = limit
	}
	for _, b := range d.list {
		r.byRank[b.rank] -= b.reserved()
	}
	return r
}

// lends reports whether a place may be lent to a borrower of a rank.
func (r *room) lends(rank int) bool { return r.free > 0 && r.byRank[rank] > 0 }

func (r *room) take(rank int) {
	r.free--
	r.byRank[rank]--
}
