package credit

import (
	"slices"
	"time"
)

// borrowing is what an instance has at an endpoint, and the credits that it holds for it.
type borrowing struct {
	key Key
	// running is the number of this instance's requests there, uses the same by account.
	running int64
	uses    map[uint32]int64
	// places is the number of requests that the endpoint runs at once; 0 while unknown. growth
	// tells by how many more requests run there than shortly before.
	places         int64
	growth         growth
	contendedUntil time.Time
	// touchedAt is when a request last concerned the endpoint, sampledAt when what runs there
	// was last looked at.
	touchedAt, sampledAt time.Time
	// rejected counts the requests that the endpoint has rejected while credits were needed.
	rejected int64
	wants    map[uint64]*want
	// unused is the number of credits held, valid until unusedUntil.
	unused      int64
	unusedUntil time.Time
	// taken is the number of requests sent since the last ask whose wants have not been
	// withdrawn: the issuer counts a want as served once it has granted a credit for it.
	taken int
	asks  asks
}

// contendedTime is how long an endpoint counts as contended after the last sign of it.
const contendedTime = 2 * time.Second

// borrowingOf returns the state of an endpoint, and nil if there are too many.
func (l *Lender) borrowingOf(now time.Time, e Key) *borrowing {
	b := l.borrowed[e]
	if b == nil {
		if len(l.borrowed) >= maxEndpoints || len(e.Name) > maxNameBytes {
			return nil
		}
		b = &borrowing{key: e, uses: map[uint32]int64{}, wants: map[uint64]*want{}, asks: asks{numbers: map[string]uint64{}}}
		l.borrowed[e] = b
		// It counts as contended only once its places are known.
		l.sampledAt = time.Time{}
		at, _ := slices.BinarySearchFunc(l.borrowedList, e, func(b *borrowing, e Key) int { return compareKeys(b.key, e) })
		l.borrowedList = slices.Insert(l.borrowedList, at, b)
	}
	b.touchedAt = now
	return b
}

// inUse reports whether the state is still of use.
func (b *borrowing) inUse(now time.Time) bool {
	return b.running > 0 || len(b.wants) > 0 || now.Sub(b.touchedAt) < forgetAfter
}

// contended reports whether a request needs a credit. Places that are unknown cannot be lent.
func (b *borrowing) contended(now time.Time) bool {
	return b.places > 0 && now.Before(b.contendedUntil)
}

// growth is by how much a number has grown in the last one to two periods of growthTime.
type growth struct {
	// least are the least numbers of the current period and the one before.
	least    [2]int64
	periodAt time.Time
}

// growthTime is the time in which as many requests as have come may come again before they are
// known.
const growthTime = 200 * time.Millisecond

// record records the number as of now, and returns by how much it has grown.
func (g *growth) record(now time.Time, n int64) int64 {
	if now.Sub(g.periodAt) >= growthTime {
		if now.Sub(g.periodAt) >= 2*growthTime {
			g.least[0] = n
		}
		g.least, g.periodAt = [2]int64{n, g.least[0]}, now
	}
	g.least[0] = min(g.least[0], n)
	return n - min(g.least[0], g.least[1])
}

// nearlyFull reports whether so many places are known to be in use that requests which are not
// known yet may take the rest: two thirds of them.
func nearlyFull(running, places int64) bool { return 3*running >= 2*places }

func (b *borrowing) contend(now time.Time) { b.contendedUntil = now.Add(contendedTime) }

func (b *borrowing) recordSample(now time.Time, running, places int64) {
	b.places = max(places, 0)
	known := max(running, b.running)
	if nearlyFull(known, places) || known+b.growth.record(now, known) >= places {
		b.contend(now)
	}
}

// available returns the number of credits that can be used.
func (b *borrowing) available(now time.Time) int64 {
	if !now.Before(b.unusedUntil) {
		return 0
	}
	return b.unused
}

// Ready reports whether one more request may be sent to the endpoint now: it is not contended,
// or a credit for it is held, or no issuer replies.
func (l *Lender) Ready(now time.Time, e Key) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowingOf(now, e)
	return b == nil || !b.contended(now) || b.available(now) > 0 || l.noIssuer(now, e)
}

// Decides reports whether a credit decides about requests to the endpoint: it is contended, and
// some issuer replies.
func (l *Lender) Decides(now time.Time, e Key) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowingOf(now, e)
	return b != nil && b.contended(now) && !l.noIssuer(now, e)
}

func (l *Lender) noIssuer(now time.Time, e Key) bool {
	name, _ := l.issuerOf(now, e)
	return name == ""
}

// Take counts a request of an account that is sent to the endpoint, and uses a credit if one is
// needed. It returns false if one is needed and none is held.
func (l *Lender) Take(now time.Time, e Key, account uint32) bool {
	if l == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.borrowingOf(now, e)
	if b == nil {
		return true
	}
	switch {
	case b.available(now) > 0:
		b.unused--
		b.taken++
	case !b.contended(now):
	case l.noIssuer(now, e):
		l.counts.fallbacks++
	default:
		return false
	}
	b.running++
	b.uses[account]++
	if b.places > 0 && nearlyFull(b.running, b.places) {
		b.contend(now)
	}
	return true
}

// Release counts the end of a request that Take has counted.
func (l *Lender) Release(now time.Time, e Key, account uint32) {
	if l == nil {
		return
	}
	l.mu.Lock()
	b := l.borrowed[e]
	if b == nil || b.running == 0 {
		l.mu.Unlock()
		return
	}
	b.touchedAt = now
	b.running--
	b.uses[account]--
	if b.uses[account] <= 0 {
		delete(b.uses, account)
	}
	signal := b.contended(now)
	if signal {
		b.asks.due = true
	}
	l.mu.Unlock()
	l.signal(signal)
}

// signal calls OnWant if there may be something to send.
func (l *Lender) signal(needed bool) {
	if needed && l.config.OnWant != nil {
		l.config.OnWant()
	}
}

// RecordRejection records that the endpoint has rejected a request for lack of places.
func (l *Lender) RecordRejection(now time.Time, e Key) {
	if l == nil {
		return
	}
	l.mu.Lock()
	b := l.borrowingOf(now, e)
	if b != nil {
		if b.contended(now) {
			b.rejected++
			b.asks.due = true
		}
		b.contend(now)
	}
	l.mu.Unlock()
	l.signal(b != nil)
}

// expireCredits drops credits that have expired, and those that no request waits for.
func (l *Lender) expireCredits(now time.Time, b *borrowing) {
	if b.unused == 0 {
		return
	}
	if !now.Before(b.unusedUntil) {
		l.counts.expired += b.unused
		b.unused, b.asks.due = 0, true
		return
	}
	if surplus := b.unused - int64(len(b.wants)); surplus > 0 {
		b.unused -= surplus
		b.asks.due = true
	}
}

// topUses returns the accounts of the running requests, those with the most first.
func (b *borrowing) topUses() []Use {
	uses := make([]Use, 0, len(b.uses))
	for account, n := range b.uses {
		uses = append(uses, Use{Account: account, Running: n})
	}
	slices.SortFunc(uses, func(a, b Use) int {
		if a.Running != b.Running {
			return int(b.Running - a.Running)
		}
		return int(int64(a.Account) - int64(b.Account))
	})
	return uses[:min(len(uses), maxUses)]
}
