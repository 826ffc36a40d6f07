package credit

import (
	"cmp"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/admission"
)

// want is a waiting request and the endpoints that it is wanted at.
type want struct {
	Want
	// recordedAt is when AgeMS and PatienceMS were true.
	recordedAt time.Time
	at         map[Key]*wantedAt
	// refused is set once a verdict has been returned.
	refused bool
}

// wantedAt is what is known of a want at one endpoint.
type wantedAt struct {
	recordedAt time.Time
	// refusedUntil is until when a refusal of the issuer counts, and retryAt when the issuer
	// reserves a place for the request; zero if it does not.
	refusedUntil, retryAt time.Time
}

const (
	// wantLifetime is how long a recorded want counts; waiting requests repeat it more often.
	wantLifetime = 500 * time.Millisecond
	// refusalLifetime is how long a refusal counts. Issuers repeat it with each grant.
	refusalLifetime = 500 * time.Millisecond
	// defaultWeight is the weight of an account without one, in hundredths.
	defaultWeight = 100
)

// RecordWant records that a request would be sent to the endpoint if there were a credit. It
// counts for wantLifetime; waiting requests repeat it more often.
func (l *Lender) RecordWant(now time.Time, e Key, w Want) {
	if l == nil {
		return
	}
	l.mu.Lock()
	signal := l.recordWant(now, e, w)
	l.mu.Unlock()
	l.signal(signal)
}

// recordWant reports whether the want changes what the issuer is to know.
func (l *Lender) recordWant(now time.Time, e Key, w Want) (changed bool) {
	b := l.borrowingOf(now, e)
	if b == nil {
		return false
	}
	b.contend(now)
	known := l.wants[w.ID]
	if known == nil {
		if len(l.wants) >= maxWaiting {
			return false
		}
		known = &want{at: map[Key]*wantedAt{}}
		l.wants[w.ID] = known
	}
	if w.Weight <= 0 {
		w.Weight = defaultWeight
	}
	changed = known.Late != w.Late || known.Priority != w.Priority
	known.Want, known.recordedAt = w, now
	if known.at[e] == nil {
		known.at[e] = &wantedAt{}
		b.wants[w.ID] = known
		changed = true
	}
	known.at[e].recordedAt = now
	if changed {
		b.asks.wantsDue = true
	}
	return changed
}

// Withdraw ends the wants of a request that waits no longer.
func (l *Lender) Withdraw(id uint64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	w := l.wants[id]
	if w != nil {
		for e := range w.at {
			l.endWant(w, e)
		}
	}
	l.mu.Unlock()
	l.signal(w != nil)
}

// endWant ends a want at one endpoint.
func (l *Lender) endWant(w *want, e Key) {
	delete(w.at, e)
	if len(w.at) == 0 {
		delete(l.wants, w.ID)
	}
	if b := l.borrowed[e]; b != nil {
		delete(b.wants, w.ID)
		if b.taken > 0 {
			b.taken--
			return
		}
		b.asks.wantsDue = true
	}
}

// expireWants ends wants that have not been repeated.
func (l *Lender) expireWants(now time.Time) {
	for _, w := range l.wants {
		for e, at := range w.at {
			if now.Sub(at.recordedAt) >= wantLifetime {
				l.endWant(w, e)
			}
		}
	}
}

// current returns the want as of now.
func (w *want) current(now time.Time) Want {
	c, passed := w.Want, now.Sub(w.recordedAt).Milliseconds()
	c.AgeMS, c.PatienceMS = clampMS(c.AgeMS+passed), clampMS(c.PatienceMS-passed)
	if c.ReturnMS > 0 {
		c.ReturnMS = max(c.ReturnMS-passed, 1)
	}
	c.Endpoints = int64(len(w.at))
	return c
}

func clampMS(ms int64) int64 { return min(max(ms, 0), maxCount) }

// level is the priority of a want, raised as it ages, and lower by one for a request that can no
// longer meet its target.
func (w Want) level() int64 {
	level := w.Priority + w.AgeMS/admission.AgingStep.Milliseconds()
	if w.Late {
		level--
	}
	return level
}

// firstWants returns the wants of an endpoint in the order in which the issuer is to know them.
// Accounts take turns, so that one with many requests leaves room for the others.
func (b *borrowing) firstWants(now time.Time) []Want {
	wants := make([]Want, 0, len(b.wants))
	for _, w := range b.wants {
		wants = append(wants, w.current(now))
	}
	slices.SortFunc(wants, func(a, b Want) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.ID, b.ID))
	})
	if len(wants) <= maxWants {
		return wants
	}
	turn, turns := map[uint32]int{}, make(map[uint64]int, len(wants))
	for _, w := range wants {
		turns[w.ID] = turn[w.Account]
		turn[w.Account]++
	}
	slices.SortStableFunc(wants, func(a, b Want) int {
		return cmp.Or(compareClass(a, b), cmp.Compare(turns[a.ID], turns[b.ID]))
	})
	return wants[:maxWants]
}

// compareClass orders wants by what goes before the accounts' use.
func compareClass(a, b Want) int { return cmp.Compare(b.level(), a.level()) }

// Verdict is that a waiting request cannot start in its time at any endpoint that it was wanted
// at.
type Verdict struct {
	ID uint64
	// RetryAfter is after how long a place is reserved for the request; 0 if none is.
	RetryAfter time.Duration
	Account    uint32
	// Endpoint is where a place is reserved for the request, and Issuer the instance that
	// reserves it.
	Endpoint, Issuer string
}

// recordRefusals applies the refusals in a grant.
func (b *borrowing) recordRefusals(now time.Time, refusals []Refusal) {
	for _, r := range refusals {
		w := b.wants[r.ID]
		if w == nil {
			continue
		}
		at := w.at[b.key]
		at.refusedUntil = now.Add(refusalLifetime)
		at.retryAt = time.Time{}
		if r.RetryAfterMS > 0 {
			at.retryAt = now.Add(time.Duration(r.RetryAfterMS) * time.Millisecond)
		}
	}
}

// verdicts returns the verdicts that have not been returned yet.
func (l *Lender) verdicts(now time.Time) (verdicts []Verdict) {
	if !l.refusalsDue {
		return nil
	}
	l.refusalsDue = false
	for _, w := range l.wants {
		if w.refused {
			continue
		}
		if v, refused := l.verdict(now, w); refused {
			w.refused = true
			verdicts = append(verdicts, v)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return cmp.Compare(a.ID, b.ID) })
	return verdicts
}

// verdict reports whether all endpoints of a want have refused it.
func (l *Lender) verdict(now time.Time, w *want) (v Verdict, refused bool) {
	v = Verdict{ID: w.ID, Account: w.Account}
	var retryAt time.Time
	for e, at := range w.at {
		b := l.borrowed[e]
		if !now.Before(at.refusedUntil) || b == nil || !b.contended(now) || b.available(now) > 0 {
			return Verdict{}, false
		}
		if v.Endpoint == "" || returnsBefore(at.retryAt, retryAt) || at.retryAt.Equal(retryAt) && e.Name < v.Endpoint {
			retryAt, v.Endpoint, v.Issuer = at.retryAt, e.Name, b.asks.issuer
		}
	}
	if !retryAt.IsZero() {
		v.RetryAfter = max(retryAt.Sub(now), time.Millisecond)
	}
	return v, len(w.at) > 0
}

// returnsBefore reports whether a reserved place comes before another; a zero time is none.
func returnsBefore(a, b time.Time) bool {
	return !a.IsZero() && (b.IsZero() || a.Before(b))
}
