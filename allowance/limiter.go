package allowance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/settings"
)

// Limiter admits requests at one instance within the allowances of their accounts. It is safe
// for concurrent use; a nil Limiter admits everything.
type Limiter struct {
	tolerance Tolerance
	// evenOnly is set in a deployment that has no aggregator at all: each instance admits an
	// even part of the limits.
	evenOnly bool
	// random returns a number in [0,1).
	random func() float64

	mu sync.Mutex
	// instances is the number of instances.
	instances int
	limits    Limits
	accounts  map[AccountHash]*localAccount
	// aggregator is the aggregator that this process follows, last received from at
	// aggregatorAt; 0 if it follows none (NoAggregator).
	aggregator   AggregatorID
	aggregatorAt time.Time
	// next is the first account of the next usage report.
	next AccountHash
	// rejected counts requests that were not admitted.
	rejected int64
}

// localAccount is what one instance knows of an account.
type localAccount struct {
	// offered and admitted count since the process started, usage since the first contact with
	// the aggregator.
	offered, admitted int64
	usage             Usage
	// sendsLeft is how many more times the usage is to be sent since it changed.
	sendsLeft int
	// share is the last one received, at receivedAt; zero for none.
	share      Share
	receivedAt time.Time
	// admittedSince is what was admitted since then, fraction the fraction of all recent
	// admissions that were made here, as of then.
	admittedSince, fraction float64
	// rate is what was recently admitted per second, as of rateAt.
	rate   float64
	rateAt time.Time
	// bucket is what may be admitted at once without a share, as of bucketAt; createdAt is when
	// it was created, for a process that has received none.
	bucket              float64
	bucketAt, createdAt time.Time
}

const (
	// usageSends is how often a usage is sent: datagrams are lost now and then.
	usageSends = 3
	// shareLifetime is how long a share is valid: shares arrive up to 400 ms apart, and one of
	// them may be lost.
	shareLifetime = 900 * time.Millisecond
	// unboundedTime is how long a whole share is valid without a bound on admissions. With a
	// longer time, an account that requests four times its limit exceeds it by a fifth when the
	// aggregator terminates (simulated with 90 instances).
	unboundedTime = 350 * time.Millisecond
	// fallbackTime is how long after that an instance continues with its fraction of the limit:
	// longer than it takes until another instance aggregates.
	fallbackTime = 8 * time.Second
	// newProcessFraction is the fraction of an even part of the rate that a process admits
	// before it has received a share: the others may continue with all of the rate.
	newProcessFraction = 0.5
	// rateWindow is the time over which the admitted rate is averaged.
	rateWindow = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay for a caller beyond its allowance,
	// and unknownRetryAfter applies while no valid share of its account is known here.
	minRetryAfter     = 250 * time.Millisecond
	maxRetryAfter     = 8 * time.Second
	unknownRetryAfter = 500 * time.Millisecond
)

// NewLimiter returns a limiter that has received no shares. The function random returns
// numbers in [0,1).
func NewLimiter(t Tolerance, random func() float64) *Limiter {
	return &Limiter{tolerance: t, random: random, limits: Limits{}, accounts: map[AccountHash]*localAccount{}}
}

// NewEvenLimiter returns the limiter of an instance in a deployment without an aggregator.
// Each such instance admits an even part of the limits, and refuses callers within their
// limits where these are spread unevenly over the instances.
func NewEvenLimiter() *Limiter {
	l := NewLimiter(Tolerance{}, nil)
	l.evenOnly = true
	return l
}

// SetLimits replaces the limits.
func (l *Limiter) SetLimits(limits Limits) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
	for hash := range l.accounts {
		if _, known := limits[hash]; !known {
			delete(l.accounts, hash)
		}
	}
}

// SetInstanceCount sets the number of instances.
func (l *Limiter) SetInstanceCount(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = n
}

// Admit reports whether a request of an account with the given cost may run, and if not,
// after what time to retry.
func (l *Limiter) Admit(now time.Time, account string, cost float64) (admitted bool, retryAfter time.Duration) {
	if l == nil {
		return true, 0
	}
	hash := HashAccount(account)
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[hash]
	if !limited {
		return true, 0
	}
	a := l.account(now, hash, limit)
	a.offered += int64(cost)
	a.usage.Offered += int64(cost)
	a.sendsLeft = usageSends
	if !l.admits(now, a, limit, cost) {
		l.rejected++
		return false, a.retryAfter(now, limit, cost)
	}
	a.charge(now, cost)
	return true, 0
}

// Refund returns the cost of a request that was admitted and has not run.
func (l *Limiter) Refund(now time.Time, account string, cost float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[HashAccount(account)]; a != nil {
		a.charge(now, -cost)
	}
}

// account returns the state of an account. A process that has received no share starts with
// its even part of the tolerance.
func (l *Limiter) account(now time.Time, hash AccountHash, limit settings.Allowance) *localAccount {
	a := l.accounts[hash]
	if a == nil {
		a = &localAccount{usage: Usage{Account: hash}, rateAt: now, bucketAt: now, createdAt: now, bucket: l.fallbackBurst(limit)}
		l.accounts[hash] = a
	}
	return a
}

func (l *Limiter) admits(now time.Time, a *localAccount, limit settings.Allowance, cost float64) bool {
	switch {
	case !a.hasShare(now) && l.aggregator != 0 && now.Sub(l.aggregatorAt) < shareLifetime && !a.nearLimit(now):
		// The aggregator announces only accounts that have used their allowance.
		a.share, a.receivedAt, a.admittedSince = Share{Account: a.usage.Account, Permille: wholeShare, Level: int64(limit.Burst)}, now, 0
	case !a.hasShare(now):
		return l.admitsWithoutShare(now, a, limit, cost)
	}
	if a.share.Permille < wholeShare {
		return l.random() < float64(a.share.Permille)/wholeShare
	}
	age := now.Sub(a.receivedAt)
	if age < unboundedTime {
		return true
	}
	// The next share may show that the limit is near.
	room := a.fraction * (float64(a.share.Level) + limit.PerSecond*age.Seconds())
	return a.admittedSince < room+l.tolerance.evenBurst(limit, l.instances)
}

// nearLimit reports whether the account was near its limit by its last share, which came from
// another aggregator.
func (a *localAccount) nearLimit(now time.Time) bool {
	return !a.receivedAt.IsZero() && now.Sub(a.receivedAt) < shareLifetime+fallbackTime && a.share.Permille < wholeShare
}

// hasShare reports whether the last share is still valid.
func (a *localAccount) hasShare(now time.Time) bool {
	return !a.receivedAt.IsZero() && now.Sub(a.receivedAt) < shareLifetime
}

// fallbackBurst returns what this instance may admit at once without a share.
func (l *Limiter) fallbackBurst(limit settings.Allowance) float64 {
	if l.evenOnly {
		return limit.Burst / float64(max(l.instances, 1))
	}
	return l.tolerance.evenBurst(limit, l.instances)
}

// admitsWithoutShare reports whether a request may run while no share is valid, by a token
// bucket with this instance's fraction of the limit. All fractions sum to the limit, which the
// aggregator relies on when it charges for silent instances.
func (l *Limiter) admitsWithoutShare(now time.Time, a *localAccount, limit settings.Allowance, cost float64) bool {
	burst := l.fallbackBurst(limit)
	rate := l.tolerance.evenRate(limit, l.instances)
	validUntil := a.receivedAt.Add(shareLifetime)
	switch {
	case l.evenOnly:
		rate = limit.PerSecond / float64(max(l.instances, 1))
	case a.receivedAt.IsZero() && now.Sub(a.createdAt) < fallbackTime:
		rate = newProcessFraction * limit.PerSecond / float64(max(l.instances, 1))
	case !a.receivedAt.IsZero() && now.Sub(validUntil) < fallbackTime:
		rate = a.fraction * limit.PerSecond
		burst += a.fraction * l.tolerance.burst(limit)
	}
	if !a.receivedAt.IsZero() && a.bucketAt.Before(validUntil) {
		a.bucket = a.fraction*(float64(a.share.Level)+limit.PerSecond*shareLifetime.Seconds()) - a.admittedSince
		a.bucketAt = validUntil
	}
	a.bucket = min(a.bucket+rate*now.Sub(a.bucketAt).Seconds(), burst)
	a.bucketAt = now
	if a.bucket < l.required(cost, burst) {
		return false
	}
	a.bucket -= cost
	return true
}

// required returns the level that a bucket must have for a request to be admitted. An even
// part may be smaller than any request: then one is admitted when the bucket is full, which
// leaves the bucket in debt.
func (l *Limiter) required(cost, burst float64) float64 {
	if l.evenOnly {
		return min(cost, burst)
	}
	return cost
}

// charge counts an admitted cost, or a refund where the cost is negative.
func (a *localAccount) charge(now time.Time, cost float64) {
	a.decay(now)
	a.rate = max(a.rate+cost/rateWindow.Seconds(), 0)
	a.admittedSince = max(a.admittedSince+cost, 0)
	a.admitted += int64(cost)
	a.usage.Admitted += int64(cost)
	a.sendsLeft = usageSends
}

// decay updates the rate to now.
func (a *localAccount) decay(now time.Time) {
	a.rate *= math.Exp(-max(now.Sub(a.rateAt), 0).Seconds() / rateWindow.Seconds())
	a.rateAt = now
}

// retryAfter returns the time after which a request that was not admitted may be admitted.
func (a *localAccount) retryAfter(now time.Time, limit settings.Allowance, cost float64) time.Duration {
	if !a.hasShare(now) {
		return unknownRetryAfter
	}
	missing := max(cost-float64(a.share.Level), 0)
	after := time.Duration(missing / limit.PerSecond * float64(time.Second))
	if a.share.Permille > 0 {
		// On average, one of wholeShare/Permille attempts is admitted.
		after = max(after, minRetryAfter*time.Duration(wholeShare/a.share.Permille))
	}
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// ReceiveShares applies the shares that an aggregator announces. While there are two, as
// briefly when another instance acquires the lease, all instances follow the one with the
// smaller ID.
func (l *Limiter) ReceiveShares(now time.Time, aggregator AggregatorID, shares []Share) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if aggregator != l.aggregator {
		if aggregator > l.aggregator && now.Sub(l.aggregatorAt) < shareLifetime {
			return
		}
		l.follow(aggregator)
	}
	l.aggregatorAt = now
	for _, s := range shares {
		limit, limited := l.limits[s.Account]
		if !limited || s.Permille < 0 || s.Permille > wholeShare {
			continue
		}
		a := l.account(now, s.Account, limit)
		a.decay(now)
		a.share, a.receivedAt, a.admittedSince = s, now, 0
		a.fraction = min(a.rate/max(float64(s.Rate), 1), 1)
	}
}

// follow switches to another aggregator, and restarts the usage counts for it.
func (l *Limiter) follow(aggregator AggregatorID) {
	l.aggregator = aggregator
	for hash, a := range l.accounts {
		a.usage, a.sendsLeft = Usage{Account: hash}, 0
	}
}

// RelinquishShares gives up this instance's fraction of the limits, because its own aggregator
// no longer gets reports of the others: they follow another aggregator, which does not charge
// for this instance.
func (l *Limiter) RelinquishShares(now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := now.Add(-shareLifetime - fallbackTime)
	for hash, a := range l.accounts {
		if a.receivedAt.After(expired) {
			a.receivedAt, a.bucketAt, a.fraction = expired, now, 0
			a.bucket = l.tolerance.evenBurst(l.limits[hash], l.instances)
		}
	}
	l.aggregator = 0
}

// NoAggregator reports whether this process follows no aggregator: it has received no
// announcement of one since it started, or since it relinquished its shares. It stays false when
// the aggregator falls silent: the process then continues with its fractions of the limits.
func (l *Limiter) NoAggregator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.aggregator == 0
}

// LastShares returns the last shares received, for an aggregator that starts at this instance.
func (l *Limiter) LastShares(now time.Time) []Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	var shares []Share
	for _, a := range l.accounts {
		if !a.receivedAt.IsZero() && now.Sub(a.receivedAt) < shareLifetime+fallbackTime {
			shares = append(shares, a.share)
		}
	}
	return shares
}

// PendingUsage returns up to maxUsages usages that have changed and have not yet been sent often
// enough, and the aggregator that they are for.
func (l *Limiter) PendingUsage(maxUsages int) ([]Usage, AggregatorID) {
	if l == nil || maxUsages <= 0 {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.aggregator == 0 {
		return nil, 0
	}
	var changed []AccountHash
	for hash, a := range l.accounts {
		if a.sendsLeft > 0 {
			changed = append(changed, hash)
		}
	}
	// Accounts after the last one sent go first.
	slices.SortFunc(changed, func(a, b AccountHash) int { return cmp.Compare(a-l.next, b-l.next) })
	changed = changed[:min(len(changed), maxUsages)]
	usage := make([]Usage, 0, len(changed))
	for _, hash := range changed {
		l.accounts[hash].sendsLeft--
		usage = append(usage, l.accounts[hash].usage)
		l.next = hash + 1
	}
	return usage, l.aggregator
}

// AccountStats is an account's state at one instance, for operators.
type AccountStats struct {
	Offered  int64 `json:"offered"`
	Admitted int64 `json:"admitted"`
	// ShareMille is the share that is admitted now, in thousandths; -1 if none is valid.
	ShareMille int64 `json:"share_mille"`
}

// Stats returns the state of the given accounts, by name, and the number of requests that were
// not admitted.
func (l *Limiter) Stats(now time.Time, names []string) (accounts map[string]AccountStats, rejected int64) {
	accounts = map[string]AccountStats{}
	if l == nil {
		return accounts, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, name := range names {
		a := l.accounts[HashAccount(name)]
		if a == nil {
			continue
		}
		s := AccountStats{Offered: a.offered, Admitted: a.admitted, ShareMille: -1}
		if a.hasShare(now) {
			s.ShareMille = a.share.Permille
		}
		accounts[name] = s
	}
	return accounts, l.rejected
}
