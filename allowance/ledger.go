package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/settings"
)

// Aggregator adds up what all instances admit. One goroutine uses it at a time.
type Aggregator struct {
	// began is when it began to add up: nothing is known of what was admitted before, so
	// that each account begins with nothing.
	began     time.Time
	tolerance Tolerance
	// owed is by how much accounts had exceeded their limits by the words of the process that
	// added up before.
	owed     map[AccountHash]float64
	limits   Limits
	accounts map[AccountHash]*ledgerAccount
	// heardAt is when each instance was last heard.
	heardAt map[string]time.Time
}

// ledgerAccount is an account's token bucket, and who draws from it.
type ledgerAccount struct {
	// level is what may be admitted at once, below 0 where too much was, as of at.
	level float64
	at    time.Time
	// offered is what is asked for a second, as of at, averaged over offeredTime.
	offered     float64
	offeredTime time.Duration
	// by holds what each instance has told.
	by map[string]*teller
}

// teller is what one instance has told of an account.
type teller struct {
	process string
	usage   Usage
	// heardAt is when the process was last heard at all, rate what it admitted a second
	// then, charged up to when it has been counted since it fell silent, as expected.
	heardAt, charged time.Time
	rate, expected   float64
	// level is that of the account, and part the part of all that was admitted there, as of
	// the last words before which the process was heard; heard is set once it is again.
	level, part float64
	heard       bool
}

const (
	// leastOfferedTime and mostOfferedTime bound the time over which what is asked for is
	// averaged: short beside the seconds of a window, and long beside the time between two
	// words.
	leastOfferedTime = 500 * time.Millisecond
	mostOfferedTime  = 3 * time.Second
	// levelTime is how soon the level is to be brought back to empty.
	levelTime = 500 * time.Millisecond
	// silentAfter is when an instance that is not heard is counted with its part of the
	// limit, up to silentFor: by then it has given that up.
	silentAfter = 600 * time.Millisecond
	silentFor   = wordTime + ownTime
	// majorityTime is within which half of the instances must be heard that were heard
	// lately: several times as long as between two packets of one. An adder that is cut off
	// for longer than lately takes itself for the only instance.
	majorityTime = 400 * time.Millisecond
	lately       = 12 * time.Second
	// quietAfter is when an instance that is not heard is forgotten.
	quietAfter = 30 * time.Second
)

// NewAggregator returns a ledger that has heard nothing.
func NewAggregator(now time.Time, t Tolerance) *Aggregator {
	return &Aggregator{began: now, tolerance: t, accounts: map[AccountHash]*ledgerAccount{}, heardAt: map[string]time.Time{}}
}

// CarryOverDebts takes over what accounts have exceeded their limits by, from the last words of the
// process that added up before.
func (l *Aggregator) CarryOverDebts(words []Share) {
	l.owed = make(map[AccountHash]float64, len(words))
	for _, w := range words {
		l.owed[w.Account] = float64(max(-w.Level, 0))
	}
}

// SetLimits replaces the limits: a level above a new burst is lost.
func (l *Aggregator) SetLimits(limits Limits) {
	l.limits = limits
	for mark, a := range l.accounts {
		limit, known := limits[mark]
		if !known {
			delete(l.accounts, mark)
			continue
		}
		a.level = min(a.level, l.tolerance.burst(limit))
	}
}

func (l *Aggregator) account(now time.Time, mark AccountHash, limit settings.Allowance) *ledgerAccount {
	a := l.accounts[mark]
	if a == nil {
		level := min(limit.PerSecond*now.Sub(l.began).Seconds(), l.tolerance.burst(limit)) - l.owed[mark]
		a = &ledgerAccount{level: level, at: now, offeredTime: offeredTime(limit, l.tolerance), by: map[string]*teller{}}
		l.accounts[mark] = a
	}
	return a
}

// RecordUsage takes what an instance tells.
func (l *Aggregator) RecordUsage(now time.Time, instance, process string, usage []Usage) {
	l.heardAt[instance] = now
	for _, u := range usage {
		limit, limited := l.limits[u.Account]
		if !limited {
			continue
		}
		a := l.account(now, u.Account, limit)
		a.pass(now, limit, l.tolerance)
		t := a.by[instance]
		if t == nil || t.process != process {
			t = &teller{process: process, heardAt: now, charged: now}
			a.by[instance] = t
		}
		a.draw(now, t, u)
	}
	for _, a := range l.accounts {
		if t := a.by[instance]; t != nil && t.process == process {
			t.decay(now)
			t.heardAt, t.charged, t.heard = now, now, true
		}
	}
}

// draw counts what a process has been asked for and has admitted since it last told.
func (a *ledgerAccount) draw(now time.Time, t *teller, u Usage) {
	admitted := float64(u.Admitted - t.usage.Admitted)
	offered := float64(max(u.Offered-t.usage.Offered, 0))
	// What was counted for it while it was silent is not counted twice.
	a.level -= admitted - t.expected
	t.expected = 0
	a.offered += offered / a.offeredTime.Seconds()
	t.decay(now)
	t.heardAt, t.charged = now, now
	t.rate += max(admitted, 0) / rateTime.Seconds()
	t.usage = u
}

// decay brings the rate of a process that is heard to now.
func (t *teller) decay(now time.Time) {
	t.rate *= math.Exp(-max(now.Sub(t.heardAt), 0).Seconds() / rateTime.Seconds())
}

// pass brings an account to now.
func (a *ledgerAccount) pass(now time.Time, limit settings.Allowance, tolerance Tolerance) {
	since := max(now.Sub(a.at), 0).Seconds()
	a.at = now
	a.offeredTime = offeredTime(limit, tolerance)
	a.level = min(a.level+limit.PerSecond*since, tolerance.burst(limit))
	a.offered *= math.Exp(-since / a.offeredTime.Seconds())
	maps.DeleteFunc(a.by, func(_ string, t *teller) bool { return now.Sub(t.heardAt) >= quietAfter })
	for _, t := range a.by {
		a.level -= t.silence(now, limit.PerSecond)
	}
}

// silentPart is the part of the limit that instances may use which are not heard.
func (a *ledgerAccount) silentPart() float64 {
	sum := 0.0
	for _, t := range a.by {
		if t.expected > 0 && a.at.Before(t.heardAt.Add(silentFor)) {
			sum += t.part
		}
	}
	return min(sum, 1)
}

// rate is what all instances admit a second.
func (a *ledgerAccount) rate() float64 {
	sum := 0.0
	for _, t := range a.by {
		sum += t.rate
	}
	return sum
}

// offeredTime is the time over which what is asked for is averaged: as long as the tolerance
// bears, as the few large requests of a small account come in clumps.
func offeredTime(limit settings.Allowance, tolerance Tolerance) time.Duration {
	bears := time.Duration(tolerance.all(limit) / limit.PerSecond / 2 * float64(time.Second))
	return min(max(bears, leastOfferedTime), mostOfferedTime)
}

// silence is what is to be counted for a process that is not heard: it may go on with its
// part of the level and of the limit.
func (t *teller) silence(now time.Time, perSecond float64) float64 {
	until := now
	if end := t.heardAt.Add(silentFor); until.After(end) {
		until = end
	}
	if now.Sub(t.heardAt) < silentAfter || !until.After(t.charged) {
		return 0
	}
	more := 0.0
	if t.expected == 0 {
		more = t.part * max(t.level, 0)
	}
	more += t.part * perSecond * until.Sub(t.charged).Seconds()
	t.charged = until
	t.expected += more
	return more
}

// Shares tells the share of each account that was heard of. Where fewer than half of those
// are heard that were lately, others may add up elsewhere: then it reports false.
func (l *Aggregator) Shares(now time.Time) (words []Share, told bool) {
	maps.DeleteFunc(l.heardAt, func(_ string, at time.Time) bool { return now.Sub(at) >= lately })
	heard := 0
	for _, at := range l.heardAt {
		if now.Sub(at) < majorityTime {
			heard++
		}
	}
	if 2*heard < len(l.heardAt) {
		return nil, false
	}
	words = make([]Share, 0, len(l.accounts))
	for mark, a := range l.accounts {
		limit := l.limits[mark]
		a.pass(now, limit, l.tolerance)
		words = append(words, a.word(mark, limit, l.tolerance))
	}
	slices.SortFunc(words, func(a, b Share) int { return cmp.Compare(a.Account, b.Account) })
	return words, true
}

// word tells how the account stands, and notes what those will go by who hear nothing more.
func (a *ledgerAccount) word(mark AccountHash, limit settings.Allowance, tolerance Tolerance) Share {
	rate := a.rate()
	for _, t := range a.by {
		if t.heard {
			t.part, t.level, t.heard = t.rate/max(rate, 1), a.level, false
		}
	}
	return Share{Account: mark, Permille: a.share(limit, tolerance), Level: int64(a.level), Rate: int64(rate)}
}

// share is all while half of the burst is left, and else the part of what is asked that
// brings the level to empty within levelTime.
func (a *ledgerAccount) share(limit settings.Allowance, tolerance Tolerance) int64 {
	if a.level >= tolerance.burst(limit)/2 {
		return wholeShare
	}
	room := limit.PerSecond*(1-a.silentPart()) + a.level/levelTime.Seconds()
	if room >= a.offered {
		return wholeShare
	}
	return int64(wholeShare * max(room, 0) / a.offered)
}
