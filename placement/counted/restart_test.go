package counted

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var restarts = flag.Int("restarts", 60, "random schedules that TestSchedulesOfRestarts plays")

// runRestartSchedule runs a schedule in which endpoints start again under the names that they
// had, while orders to their former starts are on their way and lists are up to two
// seconds old.
func runRestartSchedule(t *testing.T, seed uint64, spoil func(*instance)) *world {
	w := newWorld(t, seed)
	w.restartsInPlace = true
	return runScheduleIn(w, func(p *instance) {
		p.listDelay = time.Duration(w.rnd.IntN(2000)) * time.Millisecond
		if spoil != nil {
			spoil(p)
		}
	})
}

// An endpoint that starts again under its name holds nothing, and counts orders anew:
// an order to its former start that arrives late takes effect when the count comes by
// again. Nothing is held beyond memory or slots all the same.
func TestSchedulesOfRestarts(t *testing.T) {
	for seed := range uint64(*restarts) {
		w := runRestartSchedule(t, seed, nil)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// TestJudgeSeesBlindControllers shows that the schedules can tell: controllers that do
// not tell starts apart, or keep no room for late orders, break a rule.
func TestJudgeSeesBlindControllers(t *testing.T) {
	for name, spoil := range map[string]func(*instance){
		"starts are not told apart":       func(p *instance) { p.ignoresStarts = true },
		"no room is kept for late orders": func(p *instance) { p.ignoresLateOrders = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if w := runRestartSchedule(t, seed, spoil); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatal("no schedule showed the fault")
		})
	}
}

// TestNewHolderAsksSoManyAtOnce takes over thousands of endpoints, and asks all of them in turn.
func TestNewHolderAsksSoManyAtOnce(t *testing.T) {
	const endpoints = 1000
	c, now := benchController(endpoints, 12, 0)
	for _, e := range c.sortedEndpoints {
		*e = *newEndpoint(e.Member, now)
	}
	now = now.Add(time.Minute)
	c.nextPlanAt = now.Add(time.Hour)
	asked := map[string]bool{}
	for actions := c.Step(now, LeaseAcquired{Epoch: 2}); len(actions) > 0; actions = c.Step(now, Tick{}) {
		asking := 0
		for _, a := range actions {
			ask, is := a.(RequestReport)
			if !is {
				continue
			}
			asking++
			asked[ask.Endpoint] = true
			c.Step(now, ReportReply{Endpoint: ask.Endpoint, RequestedAt: now, Report: &Report{}})
		}
		require.LessOrEqual(t, asking, maxPendingReports)
		now = now.Add(50 * time.Millisecond)
	}
	require.Len(t, asked, endpoints)
}
