package placement

import "time"

// loadBudget is a token bucket that keeps the cell's loads within its share of the
// weight store's rate.
type loadBudget struct {
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// budgetBurst is how many loads may start at once after a pause.
const budgetBurst = 2

func (b *loadBudget) configure(now time.Time, rate float64) {
	if b.rate == 0 {
		b.tokens, b.refilledAt = budgetBurst, now
	}
	b.rate = rate
}

// available returns how many loads may start now.
func (b *loadBudget) available(now time.Time) int {
	b.tokens = min(budgetBurst, b.tokens+b.rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	return int(b.tokens)
}

func (b *loadBudget) spend() { b.tokens-- }
