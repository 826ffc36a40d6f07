package pipeline

import "sync/atomic"

// retryBudget allows retries as a share of first tries, so that a failing
// fleet is not met with a multiple of its load.
type retryBudget struct {
	// credit is counted in hundredths of a retry.
	credit atomic.Int64
}

const (
	// creditPerTry is what a first try earns: a fifth of a retry.
	creditPerTry = 20
	creditCost   = 100
	// creditMax is the largest burst of retries.
	creditMax = 50 * creditCost
)

func newRetryBudget() *retryBudget {
	b := &retryBudget{}
	b.credit.Store(creditMax)
	return b
}

// earn records a first try.
func (b *retryBudget) earn() {
	if b.credit.Load() < creditMax {
		b.credit.Add(creditPerTry)
	}
}

// spend takes one retry; it reports whether there was one.
func (b *retryBudget) spend() bool {
	for {
		n := b.credit.Load()
		if n < creditCost {
			return false
		}
		if b.credit.CompareAndSwap(n, n-creditCost) {
			return true
		}
	}
}
