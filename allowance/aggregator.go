package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/settings"
)

// Aggregator aggregates what all instances admit. It is not safe for concurrent use.
type Aggregator struct {
	// startedAt is when aggregation started. Nothing is known of what was admitted before, so
	// that each account starts with an empty bucket.
	startedAt time.Time
	tolerance Tolerance
	// debts is by how much accounts had exceeded their limits, by the last shares of the
	// previous aggregator.
	debts    map[AccountHash]float64
	limits   Limits
	accounts map[AccountHash]*aggregatedAccount
	// lastContact is when each instance last reported.
	lastContact map[string]time.Time
}

// aggregatedAccount is an account's token bucket, and the instances that draw from it.
type aggregatedAccount struct {
	// level is what may be admitted at once, as of at. It is negative where too much was
	// admitted.
	level float64
	at    time.Time
	// offered is the requested rate per second, as of at, averaged over offeredTime.
	offered     float64
	offeredTime time.Duration
	// instances holds what each instance has reported.
	instances map[string]*instanceUsage
}

// instanceUsage is what one instance has reported of an account.
type instanceUsage struct {
	process string
	usage   Usage
	// lastContact is when the process last reported anything, rate what it admitted per second
	// at that time. Since it fell silent, estimated has been charged for it, up to
	// chargedUntil.
	lastContact, chargedUntil time.Time
	rate, estimated           float64
	// level is that of the account, and fraction the fraction of all admissions that the
	// instance made, as of the last shares sent after a report of the process; reported is
	// set by its next report.
	level, fraction float64
	reported        bool
}

const (
	// minOfferedTime and maxOfferedTime bound the time over which the requested rate is
	// averaged: short compared to the seconds of a window, and long compared to the time
	// between two announcements of shares.
	minOfferedTime = 500 * time.Millisecond
	maxOfferedTime = 3 * time.Second
	// levelTime is the time in which the level is to be brought back to zero.
	levelTime = 500 * time.Millisecond
	// silentAfter is how long after its last report an instance is charged with its fraction of
	// the limit, until silentFor after that report: by then it has relinquished the fraction.
	silentAfter = 600 * time.Millisecond
	silentFor   = shareLifetime + fallbackTime
	// majorityWindow is the time within which half of the instances that reported within
	// recentWindow must have reported again: several times the interval between two packets of
	// one instance. An aggregator that is cut off for longer than recentWindow takes itself for
	// the only instance.
	majorityWindow = 400 * time.Millisecond
	recentWindow   = 12 * time.Second
	// forgetAfter is how long after its last report the usage of an instance is dropped.
	forgetAfter = 30 * time.Second
)

// NewAggregator returns an aggregator that has received no reports.
func NewAggregator(now time.Time, t Tolerance) *Aggregator {
	return &Aggregator{startedAt: now, tolerance: t, accounts: map[AccountHash]*aggregatedAccount{}, lastContact: map[string]time.Time{}}
}

// CarryOverDebts takes over by how much accounts have exceeded their limits, from the last
// shares of the previous aggregator.
func (g *Aggregator) CarryOverDebts(shares []Share) {
	g.debts = make(map[AccountHash]float64, len(shares))
	for _, s := range shares {
		g.debts[s.Account] = float64(max(-s.Level, 0))
	}
}

// SetLimits replaces the limits. It cuts levels that exceed a new burst.
func (g *Aggregator) SetLimits(limits Limits) {
	g.limits = limits
	for hash, a := range g.accounts {
		limit, known := limits[hash]
		if !known {
			delete(g.accounts, hash)
			continue
		}
		a.level = min(a.level, g.tolerance.burst(limit))
	}
}

func (g *Aggregator) account(now time.Time, hash AccountHash, limit settings.Allowance) *aggregatedAccount {
	a := g.accounts[hash]
	if a == nil {
		level := min(limit.PerSecond*now.Sub(g.startedAt).Seconds(), g.tolerance.burst(limit)) - g.debts[hash]
		a = &aggregatedAccount{level: level, at: now, offeredTime: offeredTime(limit, g.tolerance), instances: map[string]*instanceUsage{}}
		g.accounts[hash] = a
	}
	return a
}

// RecordUsage applies the usage report of a process of an instance.
func (g *Aggregator) RecordUsage(now time.Time, instance, process string, usage []Usage) {
	g.lastContact[instance] = now
	for _, u := range usage {
		limit, limited := g.limits[u.Account]
		if !limited {
			continue
		}
		a := g.account(now, u.Account, limit)
		a.advance(now, limit, g.tolerance)
		t := a.instances[instance]
		if t == nil || t.process != process {
			t = &instanceUsage{process: process, lastContact: now, chargedUntil: now}
			a.instances[instance] = t
		}
		a.charge(now, t, u)
	}
	for _, a := range g.accounts {
		if t := a.instances[instance]; t != nil && t.process == process {
			t.decay(now)
			t.lastContact, t.chargedUntil, t.reported = now, now, true
		}
	}
}

// charge counts what was requested from a process and what it admitted since its last report.
func (a *aggregatedAccount) charge(now time.Time, t *instanceUsage, u Usage) {
	admitted := float64(u.Admitted - t.usage.Admitted)
	offered := float64(max(u.Offered-t.usage.Offered, 0))
	// What was charged while it was silent is not charged twice.
	a.level -= admitted - t.estimated
	t.estimated = 0
	a.offered += offered / a.offeredTime.Seconds()
	t.decay(now)
	t.lastContact, t.chargedUntil = now, now
	t.rate += max(admitted, 0) / rateWindow.Seconds()
	t.usage = u
}

// decay updates the rate of a reporting process to now.
func (t *instanceUsage) decay(now time.Time) {
	t.rate *= math.Exp(-max(now.Sub(t.lastContact), 0).Seconds() / rateWindow.Seconds())
}

// advance updates an account to now.
func (a *aggregatedAccount) advance(now time.Time, limit settings.Allowance, tolerance Tolerance) {
	since := max(now.Sub(a.at), 0).Seconds()
	a.at = now
	a.offeredTime = offeredTime(limit, tolerance)
	a.level = min(a.level+limit.PerSecond*since, tolerance.burst(limit))
	a.offered *= math.Exp(-since / a.offeredTime.Seconds())
	maps.DeleteFunc(a.instances, func(_ string, t *instanceUsage) bool { return now.Sub(t.lastContact) >= forgetAfter })
	for _, t := range a.instances {
		a.level -= t.chargeSilence(now, limit.PerSecond)
	}
}

// silentFraction returns the fraction of the limit that silent instances may use.
func (a *aggregatedAccount) silentFraction() float64 {
	sum := 0.0
	for _, t := range a.instances {
		if t.estimated > 0 && a.at.Before(t.lastContact.Add(silentFor)) {
			sum += t.fraction
		}
	}
	return min(sum, 1)
}

// rate returns what all instances admit per second.
func (a *aggregatedAccount) rate() float64 {
	sum := 0.0
	for _, t := range a.instances {
		sum += t.rate
	}
	return sum
}

// offeredTime returns the time over which the requested rate is averaged: as long as the
// tolerance permits, because the few large requests of a small account arrive in bursts.
func offeredTime(limit settings.Allowance, tolerance Tolerance) time.Duration {
	permitted := time.Duration(tolerance.excess(limit) / limit.PerSecond / 2 * float64(time.Second))
	return min(max(permitted, minOfferedTime), maxOfferedTime)
}

// chargeSilence returns what is to be charged for a silent process for the time since the last
// charge: the process may continue with its fraction of the level and of the limit.
func (t *instanceUsage) chargeSilence(now time.Time, perSecond float64) float64 {
	until := now
	if end := t.lastContact.Add(silentFor); until.After(end) {
		until = end
	}
	if now.Sub(t.lastContact) < silentAfter || !until.After(t.chargedUntil) {
		return 0
	}
	charge := 0.0
	if t.estimated == 0 {
		charge = t.fraction * max(t.level, 0)
	}
	charge += t.fraction * perSecond * until.Sub(t.chargedUntil).Seconds()
	t.chargedUntil = until
	t.estimated += charge
	return charge
}

// Shares returns the share of each account that was reported. It returns false if fewer than
// half of the recently reporting instances still report: another instance may then aggregate
// for the others.
func (g *Aggregator) Shares(now time.Time) (shares []Share, majority bool) {
	maps.DeleteFunc(g.lastContact, func(_ string, at time.Time) bool { return now.Sub(at) >= recentWindow })
	reporting := 0
	for _, at := range g.lastContact {
		if now.Sub(at) < majorityWindow {
			reporting++
		}
	}
	if 2*reporting < len(g.lastContact) {
		return nil, false
	}
	shares = make([]Share, 0, len(g.accounts))
	for hash, a := range g.accounts {
		limit := g.limits[hash]
		a.advance(now, limit, g.tolerance)
		shares = append(shares, a.announce(hash, limit, g.tolerance))
	}
	slices.SortFunc(shares, func(a, b Share) int { return cmp.Compare(a.Account, b.Account) })
	return shares, true
}

// announce returns the share of the account, and records what instances will go by that
// receive no later share.
func (a *aggregatedAccount) announce(hash AccountHash, limit settings.Allowance, tolerance Tolerance) Share {
	rate := a.rate()
	for _, t := range a.instances {
		if t.reported {
			t.fraction, t.level, t.reported = t.rate/max(rate, 1), a.level, false
		}
	}
	return Share{Account: hash, Permille: a.permille(limit, tolerance), Level: int64(a.level), Rate: int64(rate)}
}

// permille returns the whole share while half of the burst is left, and otherwise the share
// of the requested rate that brings the level to zero within levelTime.
func (a *aggregatedAccount) permille(limit settings.Allowance, tolerance Tolerance) int64 {
	if a.level >= tolerance.burst(limit)/2 {
		return wholeShare
	}
	room := limit.PerSecond*(1-a.silentFraction()) + a.level/levelTime.Seconds()
	if room >= a.offered {
		return wholeShare
	}
	return int64(wholeShare * max(room, 0) / a.offered)
}
