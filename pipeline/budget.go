package pipeline

import (
	"sync"
	"sync/atomic"
)

// RetryLimits bound the retries of one instance to one pool, so that a failing
// fleet is not met with a multiple of its load.
type RetryLimits struct {
	// Ratio is the retries that each first try earns.
	Ratio float64
	// Burst is the most retries that can be saved up.
	Burst float64
	// Initial is what a pool begins with.
	Initial float64
}

// DefaultRetryLimits are those of the product's own deployments.
var DefaultRetryLimits = RetryLimits{Ratio: 0.2, Burst: 50, Initial: 50}

// RetryBudgets holds the budget of each pool.
//
// In any span of time an instance makes at most Burst retries and Ratio more
// for each first try in it. The sum over all instances has the same form, so
// the fleet keeps to a common bound without a word between instances.
type RetryBudgets struct {
	limits atomic.Pointer[RetryLimits]
	pools  sync.Map
}

// NewRetryBudgets returns budgets under the given limits.
func NewRetryBudgets(l RetryLimits) *RetryBudgets {
	b := &RetryBudgets{}
	b.SetLimits(l)
	return b
}

// SetLimits replaces the limits; what was saved beyond the new burst is lost.
func (b *RetryBudgets) SetLimits(l RetryLimits) { b.limits.Store(&l) }

// Limits returns the limits in force.
func (b *RetryBudgets) Limits() RetryLimits { return *b.limits.Load() }

// credits are counted in thousandths of a retry.
const creditCost = 1000

func (b *RetryBudgets) pool(name string) *atomic.Int64 {
	if credit, known := b.pools.Load(name); known {
		return credit.(*atomic.Int64)
	}
	initial := new(atomic.Int64)
	initial.Store(int64(b.limits.Load().Initial * creditCost))
	credit, _ := b.pools.LoadOrStore(name, initial)
	return credit.(*atomic.Int64)
}

// Deposit records a first try.
func (b *RetryBudgets) Deposit(pool string) {
	l := b.limits.Load()
	credit := b.pool(pool)
	for {
		n := credit.Load()
		next := min(n+int64(l.Ratio*creditCost), int64(l.Burst*creditCost))
		if credit.CompareAndSwap(n, next) {
			return
		}
	}
}

// CanRetry tells whether a retry can be paid for.
func (b *RetryBudgets) CanRetry(pool string) bool { return b.pool(pool).Load() >= creditCost }

// TryWithdraw takes one retry; it reports whether there was one.
func (b *RetryBudgets) TryWithdraw(pool string) bool {
	credit := b.pool(pool)
	for {
		n := credit.Load()
		if n < creditCost {
			return false
		}
		if credit.CompareAndSwap(n, n-creditCost) {
			return true
		}
	}
}
