package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
	"github.com/eiderspring/eiderspring/pipeline"
)

// retryFleet is a fleet whose instances share one bound on retries. It records their requests
// and retries in steps of a tenth of a window.
type retryFleet struct {
	settings NodeRetry
	budgets  []*pipeline.RetryBudgets
	// requests and retries are the sums over all instances, by step.
	requests, retries []float64
}

const (
	retryPool     = "pool"
	stepsOfWindow = 10
)

// restart starts a new process of an instance, which does not know the number of instances.
func (f *retryFleet) restart(i int) {
	f.budgets[i] = pipeline.NewRetryBudgets(f.settings.instanceLimits(0))
}

// updateInstanceCount sets the number of instances at an instance.
func (f *retryFleet) updateInstanceCount(i int) {
	f.budgets[i].SetLimits(f.settings.instanceLimits(len(f.budgets)))
}

// step adds requests at an instance, and retries as often as the budget allows if greedy.
func (f *retryFleet) step(i, requests int, greedy bool) {
	now := len(f.requests) - 1
	f.requests[now] += float64(requests)
	for range requests {
		f.budgets[i].Deposit(retryPool)
	}
	for greedy && f.budgets[i].TryWithdraw(retryPool) {
		f.retries[now]++
	}
}

func sum(list []float64) float64 {
	total := 0.0
	for _, x := range list {
		total += x
	}
	return total
}

// check compares the retries of each window with the bound: the slack plus the ratio times the
// requests of that window or of the one before, whichever had more.
func (f *retryFleet) check(t *rapid.T) {
	for end := stepsOfWindow; end <= len(f.requests); end++ {
		from := end - stepsOfWindow
		before := f.requests[max(from-stepsOfWindow, 0):from]
		requests := max(sum(f.requests[from:end]), sum(before))
		require.LessOrEqual(t, sum(f.retries[from:end]), f.settings.Ratio*requests+f.settings.Slack)
	}
}

// TestAllInstancesTogetherKeepToTheRetryBound simulates 1 to 90 instances that are killed and
// restarted, all at once at random times, that do not know the number of instances at first,
// and that make every retry they may while requests fail. The slack is that of the platform's
// specification: 52 at 6 instances, 220 at 90.
func TestAllInstancesTogetherKeepToTheRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 90).Draw(t, "instances")
		f := &retryFleet{settings: NodeRetry{Ratio: 0.2, Slack: 40 + 2*float64(n)}, budgets: make([]*pipeline.RetryBudgets, n)}
		for i := range n {
			f.restart(i)
		}
		for range 4 * stepsOfWindow {
			f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
			greedy := rapid.IntRange(0, 3).Draw(t, "trouble") == 0
			allRestart := rapid.IntRange(0, 19).Draw(t, "all restart") == 0
			most := rapid.SampledFrom([]int{0, 1, 5, 30}).Draw(t, "most requests")
			for i := range n {
				if allRestart {
					f.restart(i)
				} else {
					f.updateInstanceCount(i)
				}
				f.step(i, rapid.IntRange(0, most).Draw(t, "requests"), greedy)
			}
		}
		f.check(t)
	})
}

// TestRestartsAddNoRetries lets all instances use up their retry budgets, restarts them, and lets
// them use up their initial budgets in the same window, without any request.
func TestRestartsAddNoRetries(t *testing.T) {
	const n = 88
	f := &retryFleet{settings: NodeRetry{Ratio: 0.2, Slack: 220}, budgets: make([]*pipeline.RetryBudgets, n), requests: []float64{0}, retries: []float64{0}}
	for i := range n {
		f.restart(i)
		f.updateInstanceCount(i)
		f.step(i, 100, false)
	}
	f.requests, f.retries = append(f.requests, 0), append(f.retries, 0)
	for i := range n {
		f.step(i, 0, true)
		f.restart(i)
		f.step(i, 0, true)
	}
	require.LessOrEqual(t, f.retries[1], f.settings.Slack)
}
