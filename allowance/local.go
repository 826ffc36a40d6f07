package allowance

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/settings"
)

// Limiter is one instance's part in the allowances. It is safe for concurrent use; a nil
// Limiter admits everything.
type Limiter struct {
	tolerance Tolerance
	// even is set where no instance adds up: each admits an even part of the limits.
	even bool
	// random returns a number in [0,1).
	random func() float64

	mu sync.Mutex
	// instances is how many there are.
	instances int
	limits    Limits
	accounts  map[AccountHash]*localAccount
	// adder is the process that adds up, heard at adderAt; 0 for none.
	adder   AggregatorID
	adderAt time.Time
	// next is the account that is told first the next time.
	next AccountHash
	// rejected counts requests that were not admitted.
	rejected int64
}

// localAccount is what one instance knows of an account.
type localAccount struct {
	// offered and admitted count since the process began, usage since the adder was first
	// heard.
	offered, admitted int64
	usage             Usage
	// tells is how often the usage is to be told still since it changed.
	tells int
	// word is the last that was heard, at heardAt; zero for none.
	word    Share
	heardAt time.Time
	// sinceWord is what was admitted since then, part which part of all that was admitted
	// lately was admitted here, as of then.
	sinceWord, part float64
	// rate is what was admitted a second, lately, as of rateAt.
	rate   float64
	rateAt time.Time
	// bucket is what may be admitted at once without a word, as of bucketAt; madeAt is when
	// it was made for a process that has heard none.
	bucket           float64
	bucketAt, madeAt time.Time
}

const (
	// usageTells is how often a usage is told: datagrams are lost now and then.
	usageTells = 3
	// wordTime is for how long a word counts: they come up to 400 ms apart, and one of them
	// may be lost.
	wordTime = 900 * time.Millisecond
	// freeTime is for how long a word that all can be admitted counts without a bound: with
	// a longer time an account that asks for four times its limit exceeded it by a fifth
	// when the adder ended (virtual time, 90 instances).
	freeTime = 350 * time.Millisecond
	// ownTime is for how long behind that an instance goes on with its part of the limit:
	// longer than it takes until another instance adds up.
	ownTime = 8 * time.Second
	// newPart is the part of an even share of the rate that a process goes by which has
	// heard no word: the others may go on with all of it.
	newPart = 0.5
	// rateTime is the time over which what is admitted is averaged.
	rateTime = 2 * time.Second
	// leastRetryAfter and mostRetryAfter bound when a caller beyond its allowance is told
	// to return, and unknownRetryAfter is for one whose allowance is not known here now.
	leastRetryAfter   = 250 * time.Millisecond
	mostRetryAfter    = 8 * time.Second
	unknownRetryAfter = 500 * time.Millisecond
)

// NewLimiter returns the part of an instance that has heard nothing.
func NewLimiter(t Tolerance, random func() float64) *Limiter {
	return &Limiter{tolerance: t, random: random, limits: Limits{}, accounts: map[AccountHash]*localAccount{}}
}

// NewEvenLimiter returns the part of an instance of a deployment in which none adds up. Such
// instances admit an even part of the limits each, and refuse callers within their limits
// where these come unevenly.
func NewEvenLimiter() *Limiter {
	l := NewLimiter(Tolerance{}, nil)
	l.even = true
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
	for mark := range l.accounts {
		if _, known := limits[mark]; !known {
			delete(l.accounts, mark)
		}
	}
}

// SetInstanceCount says how many instances there are.
func (l *Limiter) SetInstanceCount(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances = n
}

// Admit tells whether a request of an account that counts so much may run, and if not when
// to come again.
func (l *Limiter) Admit(now time.Time, account string, cost float64) (admitted bool, retryAfter time.Duration) {
	if l == nil {
		return true, 0
	}
	mark := HashAccount(account)
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, limited := l.limits[mark]
	if !limited {
		return true, 0
	}
	a := l.account(now, mark, limit)
	a.offered += int64(cost)
	a.usage.Offered += int64(cost)
	a.tells = usageTells
	if !l.admits(now, a, limit, cost) {
		l.rejected++
		return false, a.retryAfter(now, limit, cost)
	}
	a.take(now, cost)
	return true, 0
}

// Refund gives back what a request counted that was admitted and has not run.
func (l *Limiter) Refund(now time.Time, account string, cost float64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[HashAccount(account)]; a != nil {
		a.take(now, -cost)
	}
}

// account returns what is known of an account. A process that has heard no word begins
// with its even part of the tolerance.
func (l *Limiter) account(now time.Time, mark AccountHash, limit settings.Allowance) *localAccount {
	a := l.accounts[mark]
	if a == nil {
		a = &localAccount{usage: Usage{Account: mark}, rateAt: now, bucketAt: now, madeAt: now, bucket: l.atOnce(limit)}
		l.accounts[mark] = a
	}
	return a
}

func (l *Limiter) admits(now time.Time, a *localAccount, limit settings.Allowance, cost float64) bool {
	switch {
	case !a.hears(now) && l.adder != 0 && now.Sub(l.adderAt) < wordTime && !a.short(now):
		// The adder tells of accounts that have drawn on their allowance.
		a.word, a.heardAt, a.sinceWord = Share{Account: a.usage.Account, Permille: wholeShare, Level: int64(limit.Burst)}, now, 0
	case !a.hears(now):
		return l.withoutWord(now, a, limit, cost)
	}
	if a.word.Permille < wholeShare {
		return l.random() < float64(a.word.Permille)/wholeShare
	}
	age := now.Sub(a.heardAt)
	if age < freeTime {
		return true
	}
	// The next word may say that the limit is near.
	room := a.part * (float64(a.word.Level) + limit.PerSecond*age.Seconds())
	return a.sinceWord < room+l.tolerance.even(limit, l.instances)
}

// short tells whether the account was near its limit by the last word, of another process
// that added up.
func (a *localAccount) short(now time.Time) bool {
	return !a.heardAt.IsZero() && now.Sub(a.heardAt) < wordTime+ownTime && a.word.Permille < wholeShare
}

// hears tells whether a word counts.
func (a *localAccount) hears(now time.Time) bool {
	return !a.heardAt.IsZero() && now.Sub(a.heardAt) < wordTime
}

// atOnce is what this instance may admit at once that has heard no word.
func (l *Limiter) atOnce(limit settings.Allowance) float64 {
	if l.even {
		return limit.Burst / float64(max(l.instances, 1))
	}
	return l.tolerance.even(limit, l.instances)
}

// withoutWord tells whether a request may run while no word counts: a token bucket with
// this instance's part of the limit. All parts together are the limit, as the ledger counts
// on for instances that are silent.
func (l *Limiter) withoutWord(now time.Time, a *localAccount, limit settings.Allowance, cost float64) bool {
	most := l.atOnce(limit)
	rate := l.tolerance.evenRate(limit, l.instances)
	ended := a.heardAt.Add(wordTime)
	switch {
	case l.even:
		rate = limit.PerSecond / float64(max(l.instances, 1))
	case a.heardAt.IsZero() && now.Sub(a.madeAt) < ownTime:
		rate = newPart * limit.PerSecond / float64(max(l.instances, 1))
	case !a.heardAt.IsZero() && now.Sub(ended) < ownTime:
		rate = a.part * limit.PerSecond
		most += a.part * l.tolerance.burst(limit)
	}
	if !a.heardAt.IsZero() && a.bucketAt.Before(ended) {
		a.bucket = a.part*(float64(a.word.Level)+limit.PerSecond*wordTime.Seconds()) - a.sinceWord
		a.bucketAt = ended
	}
	a.bucket = min(a.bucket+rate*now.Sub(a.bucketAt).Seconds(), most)
	a.bucketAt = now
	if a.bucket < l.needed(cost, most) {
		return false
	}
	a.bucket -= cost
	return true
}

// needed is what a bucket must hold for a request to be admitted. An even part may be smaller
// than any request: one is admitted then when the part is whole, and paid for later.
func (l *Limiter) needed(cost, most float64) float64 {
	if l.even {
		return min(cost, most)
	}
	return cost
}

// take counts what is admitted, or given back.
func (a *localAccount) take(now time.Time, cost float64) {
	a.decay(now)
	a.rate = max(a.rate+cost/rateTime.Seconds(), 0)
	a.sinceWord = max(a.sinceWord+cost, 0)
	a.admitted += int64(cost)
	a.usage.Admitted += int64(cost)
	a.tells = usageTells
}

// decay brings the rate to now.
func (a *localAccount) decay(now time.Time) {
	a.rate *= math.Exp(-max(now.Sub(a.rateAt), 0).Seconds() / rateTime.Seconds())
	a.rateAt = now
}

// retryAfter is when there may be room again for a request that was not admitted.
func (a *localAccount) retryAfter(now time.Time, limit settings.Allowance, cost float64) time.Duration {
	if !a.hears(now) {
		return unknownRetryAfter
	}
	missing := max(cost-float64(a.word.Level), 0)
	after := time.Duration(missing / limit.PerSecond * float64(time.Second))
	if a.word.Permille > 0 {
		// On the average one of so many tries is admitted.
		after = max(after, leastRetryAfter*time.Duration(wholeShare/a.word.Permille))
	}
	return min(max(after, leastRetryAfter), mostRetryAfter)
}

// ReceiveShares takes the words of a process that adds up. While there are two, as for a moment
// when the lease changes hands, all go by the same one.
func (l *Limiter) ReceiveShares(now time.Time, adder AggregatorID, words []Share) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if adder != l.adder {
		if adder > l.adder && now.Sub(l.adderAt) < wordTime {
			return
		}
		l.begin(adder)
	}
	l.adderAt = now
	for _, w := range words {
		limit, limited := l.limits[w.Account]
		if !limited || w.Permille < 0 || w.Permille > wholeShare {
			continue
		}
		a := l.account(now, w.Account, limit)
		a.decay(now)
		a.word, a.heardAt, a.sinceWord = w, now, 0
		a.part = min(a.rate/max(float64(w.Rate), 1), 1)
	}
}

// begin counts anew for another process that adds up.
func (l *Limiter) begin(adder AggregatorID) {
	l.adder = adder
	for mark, a := range l.accounts {
		a.usage, a.tells = Usage{Account: mark}, 0
	}
}

// RelinquishShares gives up this instance's part of the limits, as its own ledger no longer hears the
// others: they go by the ledger of another one, which does not count this one.
func (l *Limiter) RelinquishShares(now time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	given := now.Add(-wordTime - ownTime)
	for mark, a := range l.accounts {
		if a.heardAt.After(given) {
			a.heardAt, a.bucketAt, a.part = given, now, 0
			a.bucket = l.tolerance.even(l.limits[mark], l.instances)
		}
	}
	l.adder = 0
}

// NoAggregator tells whether this process has never heard one that adds up.
func (l *Limiter) NoAggregator() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.adder == 0
}

// LastShares returns the last words, for the ledger of an instance that is to add up.
func (l *Limiter) LastShares(now time.Time) []Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	var words []Share
	for _, a := range l.accounts {
		if !a.heardAt.IsZero() && now.Sub(a.heardAt) < wordTime+ownTime {
			words = append(words, a.word)
		}
	}
	return words
}

// PendingUsage returns up to so many usages that have changed since they were told often enough,
// and the process that they are for.
func (l *Limiter) PendingUsage(most int) ([]Usage, AggregatorID) {
	if l == nil || most <= 0 {
		return nil, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.adder == 0 {
		return nil, 0
	}
	var changed []AccountHash
	for mark, a := range l.accounts {
		if a.tells > 0 {
			changed = append(changed, mark)
		}
	}
	// Those behind the last that was told go first.
	slices.SortFunc(changed, func(a, b AccountHash) int { return cmp.Compare(a-l.next, b-l.next) })
	changed = changed[:min(len(changed), most)]
	usage := make([]Usage, 0, len(changed))
	for _, mark := range changed {
		l.accounts[mark].tells--
		usage = append(usage, l.accounts[mark].usage)
		l.next = mark + 1
	}
	return usage, l.adder
}

// AccountStats is an account's state at one instance, for operators.
type AccountStats struct {
	Offered  int64 `json:"offered"`
	Admitted int64 `json:"admitted"`
	// ShareMille is the share that is admitted now, in thousandths; -1 where none is known.
	ShareMille int64 `json:"share_mille"`
}

// Stats returns the state of the given accounts, by name, and how many requests were not
// admitted.
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
		if a.hears(now) {
			s.ShareMille = a.word.Permille
		}
		accounts[name] = s
	}
	return accounts, l.rejected
}
