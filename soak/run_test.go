package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortSize is the size of the testbed and of the schedules in tests.
var shortSize = Size{Nodes: 3, Engines: 2, Plain: 2, Faults: 5 * time.Second}

// regressionCase is a seed with the list of actions that its schedule is drawn from.
type regressionCase struct {
	seed    uint64
	actions []Action
}

// Each regression case is run by a test of its own. regressionFirst draws from the first
// list of actions, regressionStandstill covers the actions that the second list adds,
// regressionPart those of the seventh, and the others reproduce schedules that found a fault.
var (
	regressionFirst      = regressionCase{1, firstActions}
	regressionStandstill = regressionCase{303, secondActions}
	regressionCrashing   = regressionCase{403, fourthActions}
	regressionLimit      = regressionCase{629, sixthActions}
	regressionPart       = regressionCase{747, seventhActions}
)

// TestRegressionSchedulesStayTheSame compares the schedules of the regression cases with
// their expected content: adding actions must not change them, or they no longer cover
// the failures that they stand for.
func TestRegressionSchedulesStayTheSame(t *testing.T) {
	lines := []string{}
	for _, k := range []regressionCase{regressionFirst, regressionStandstill, regressionCrashing, regressionLimit, regressionPart} {
		for _, f := range newSchedule(k.seed, shortSize, k.actions) {
			lines = append(lines, f.String())
		}
	}
	require.Equal(t, []string{
		"at=700ms action=store-losing target=0 link=callers for=1.652487747s",
		"at=792.643624ms action=store-refusing target=0 link=worker for=611.564548ms",
		"at=2.942380271s action=worker-pause target=3 link=callers for=1.619520781s",

		"at=700ms action=node-standstill target=1 link=worker for=4.3s",
		"at=932.972069ms action=store-forget target=0 link=store for=726.14276ms",
		"at=1.169120471s action=store-silent target=1 link=store for=1.823652783s",
		"at=1.62540641s action=worker-kill target=1 link=callers for=2.891544594s",
		"at=1.673471077s action=reconfigure target=0 link=store for=930.799948ms",
		"at=1.911100451s action=worker-term target=3 link=callers for=1.203466302s",
		"at=2.307783274s action=reconfigure target=1 link=worker for=385.947222ms",
		"at=2.413556932s action=worker-kill target=0 link=store for=1.445961389s",
		"at=2.82198787s action=store-silent target=0 link=callers for=676.780974ms",
		"at=3.974214845s action=node-standstill target=2 link=store for=1.025785155s",
		"at=4.072134093s action=link-mute target=2 link=callers for=927.865907ms",

		"at=700ms action=crashing-request target=1 link=store for=1.834975702s",
		"at=2.024600284s action=worker-reborn target=3 link=worker for=2.384392041s",
		"at=2.239247579s action=foreign-entry target=2 link=store for=568.697191ms",
		"at=2.437179637s action=node-pause target=1 link=callers for=472.361133ms",
		"at=2.725953082s action=link-one-way target=1 link=callers for=581.631823ms",
		"at=3.886988933s action=worker-kill target=1 link=worker for=1.113011067s",
		"at=4.11608474s action=reconfigure target=0 link=worker for=883.91526ms",
		"at=4.589854393s action=link-delay target=0 link=callers for=410.145607ms",
		"at=4.780420227s action=worker-reborn target=1 link=store for=219.579773ms",

		"at=700ms action=worker-limit target=3 link=callers for=1.368229276s",
		"at=2.092724783s action=link-reset target=2 link=worker for=1.480471887s",
		"at=2.966657431s action=worker-limit target=0 link=worker for=1.019475468s",
		"at=3.44993836s action=store-silent target=2 link=store for=1.55006164s",
		"at=4.604985301s action=worker-limit target=0 link=store for=395.014699ms",

		"at=700ms action=crashing-part target=1 link=worker for=731.117801ms",
		"at=877.165999ms action=worker-reborn target=0 link=worker for=1.05424457s",
		"at=1.132776492s action=foreign-entry target=0 link=store for=507.749519ms",
		"at=1.657949957s action=link-delay target=1 link=callers for=878.601895ms",
		"at=3.702937414s action=crashing-part target=2 link=worker for=1.210411082s",
	}, lines)
}

// TestShortSoak and the following tests run a schedule with real processes. They check
// only guarantees that hold on any machine, however slow; the command eiderspring-soak
// checks the times too.
func TestShortSoak(t *testing.T) { playRegression(t, regressionFirst) }

// TestStandstillSoak pauses an instance for longer than the idle timeout of its callers'
// connections, while requests arrive on them. It guards against the resumed instance
// closing these connections as idle, with requests unread or half served, so that the
// callers get neither a response nor a refusal.
func TestStandstillSoak(t *testing.T) { playRegression(t, regressionStandstill) }

// TestCrashingSoak starts with a request that crashes endpoints and is resent to all
// instances during other faults.
func TestCrashingSoak(t *testing.T) { playRegression(t, regressionCrashing) }

// TestCrashingPartSoak starts with requests that are all different and share a part of their prompts
// that crashes endpoints. All other prompts share a sound part with them.
func TestCrashingPartSoak(t *testing.T) { playRegression(t, regressionPart) }

// TestLimitSoak has an engine and a plain endpoint announce limits, one of them while the
// store is silent. All must keep serving, and serve as before when the limits end.
func TestLimitSoak(t *testing.T) { playRegression(t, regressionLimit) }

// TestStopSeriesSoak stops an instance while reloads and further requests to stop arrive. It guards
// against a signal that ends a process which completes its requests.
func TestStopSeriesSoak(t *testing.T) {
	play(t, Options{Seed: 1, Schedule: []Fault{
		{At: 700 * time.Millisecond, For: minFaultTime, Action: NodeStopSeries, Target: 0},
		{At: 900 * time.Millisecond, For: minFaultTime, Action: NodeHangup, Target: 1},
		{At: 1200 * time.Millisecond, For: minFaultTime, Action: NodeStopSeries, Target: 1},
	}})
}

func playRegression(t *testing.T, k regressionCase) {
	play(t, Options{Seed: k.seed, Schedule: newSchedule(k.seed, shortSize, k.actions)})
}

// play plays a seed and its schedule at the size of tests.
func play(t *testing.T, o Options) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../cmd/eiderspring", "../cmd/eiderspring-soak")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	o.Programs = Programs{Node: filepath.Join(programs, "eiderspring"), StandIns: filepath.Join(programs, "eiderspring-soak")}
	o.Size, o.Callers, o.Dir, o.SkipTimingChecks = shortSize, 2, t.TempDir(), true
	report, err := Run(o)
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.String())
	require.Positive(t, report.Served)
}
