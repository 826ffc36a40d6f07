package pipeline

import (
	"sync"
	"sync/atomic"
)

// RetryLimits bound the retries of one instance to one pool, so that retries do not
// multiply the load on failing endpoints.
type RetryLimits struct {
	// Ratio is the number of retries that each first attempt adds to the budget.
	Ratio float64
	// Burst is the largest number of retries that the budget holds.
	Burst float64
	// Initial is the budget with which a pool starts.
	Initial float64
}

// DefaultRetryLimits are the limits of the product's own deployments.
var DefaultRetryLimits = RetryLimits{Ratio: 0.2, Burst: 50, Initial: 50}

// RetryBudgets holds the retry budget of each pool.
//
// In any span of time an instance makes at most Burst retries, and Ratio more for each
// first attempt in it. The total over all instances has the same form, so the instances
// keep to a common bound without communication.
type RetryBudgets struct {
	limits atomic.Pointer[RetryLimits]
	pools  sync.Map
}

// NewRetryBudgets returns budgets with the given limits.
func NewRetryBudgets(l RetryLimits) *RetryBudgets {
	b := &RetryBudgets{}
	b.SetLimits(l)
	return b
}

// SetLimits replaces the limits; credit beyond the new burst is lost.
func (b *RetryBudgets) SetLimits(l RetryLimits) { b.limits.Store(&l) }

// Limits returns the current limits.
func (b *RetryBudgets) Limits() RetryLimits { return *b.limits.Load() }

// creditsPerRetry is the number of credits that one retry costs.
const creditsPerRetry = 1000

func (b *RetryBudgets) pool(name string) *atomic.Int64 {
	if credit, known := b.pools.Load(name); known {
		return credit.(*atomic.Int64)
	}
	initial := new(atomic.Int64)
	initial.Store(int64(b.limits.Load().Initial * creditsPerRetry))
	credit, _ := b.pools.LoadOrStore(name, initial)
	return credit.(*atomic.Int64)
}

// Deposit records a first attempt.
func (b *RetryBudgets) Deposit(pool string) {
	l := b.limits.Load()
	credit := b.pool(pool)
	for {
		n := credit.Load()
		next := min(n+int64(l.Ratio*creditsPerRetry), int64(l.Burst*creditsPerRetry))
		if credit.CompareAndSwap(n, next) {
			return
		}
	}
}

// CanRetry reports whether the budget allows a retry.
func (b *RetryBudgets) CanRetry(pool string) bool { return b.pool(pool).Load() >= creditsPerRetry }

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudgets) TryWithdraw(pool string) bool {
	credit := b.pool(pool)
	for {
		n := credit.Load()
		if n < creditsPerRetry {
			return false
		}
		if credit.CompareAndSwap(n, n-creditsPerRetry) {
			return true
		}
	}
}
