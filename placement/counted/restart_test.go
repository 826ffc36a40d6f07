package counted

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var restarts = flag.Int("restarts", 60, "random schedules that TestSchedulesOfRestarts runs")

// runRestartSchedule runs a schedule in which endpoints restart under the same names,
// while orders to their previous incarnations are in flight and lists are up to two
// seconds old.
func runRestartSchedule(t *testing.T, seed uint64, breakRule func(*instance)) *world {
	w := newWorld(t, seed)
	w.restartsInPlace = true
	return runScheduleIn(w, func(p *instance) {
		p.listDelay = time.Duration(w.rnd.IntN(2000)) * time.Millisecond
		if breakRule != nil {
			breakRule(p)
		}
	})
}

// TestSchedulesOfRestarts guards against exceeding memory or slots after a restart. An
// endpoint that restarts under the same name holds nothing and counts orders from zero,
// so a late order to its previous incarnation takes effect when the count reaches its
// value again.
func TestSchedulesOfRestarts(t *testing.T) {
	for seed := range uint64(*restarts) {
		w := runRestartSchedule(t, seed, nil)
		require.Empty(t, w.violations, "seed %d", seed)
	}
}

// TestChecksDetectIgnoredRestarts guards against schedules that cannot fail: controllers
// that do not tell incarnations apart, or reserve nothing for late orders, must violate
// a rule.
func TestChecksDetectIgnoredRestarts(t *testing.T) {
	for name, breakRule := range map[string]func(*instance){
		"starts are ignored":      func(p *instance) { p.ignoresStarts = true },
		"late orders are ignored": func(p *instance) { p.ignoresLateOrders = true },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(400) {
				if w := runRestartSchedule(t, seed, breakRule); len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Fatal("no schedule violated a rule")
		})
	}
}

// TestNewHolderLimitsReportRequests guards against too many report requests at once after a
// takeover of a large fleet. All endpoints are asked in turn.
func TestNewHolderLimitsReportRequests(t *testing.T) {
	const endpoints = 1000
	c, now := benchController(endpoints, 12, 0)
	for _, e := range c.sortedEndpoints {
		*e = *newEndpoint(e.Member, now)
	}
	now = now.Add(time.Minute)
	c.nextPlanAt = now.Add(time.Hour)
	requested := map[string]bool{}
	for actions := c.Step(now, LeaseAcquired{Epoch: 2}); len(actions) > 0; actions = c.Step(now, Tick{}) {
		pending := 0
		for _, a := range actions {
			request, is := a.(RequestReport)
			if !is {
				continue
			}
			pending++
			requested[request.Endpoint] = true
			c.Step(now, ReportReply{Endpoint: request.Endpoint, RequestedAt: now, Report: &Report{}})
		}
		require.LessOrEqual(t, pending, maxPendingReports)
		now = now.Add(50 * time.Millisecond)
	}
	require.Len(t, requested, endpoints)
}
