package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortSize is the size of the site and the schedules that tests play.
var shortSize = Size{Nodes: 3, Engines: 2, Plain: 2, Faults: 5 * time.Second}

// schedule is a seed with the actions that it was first drawn from.
type schedule struct {
	seed uint64
	from []Action
}

// kept are played by each test run, a test each: the first of the first actions, one of
// the second with what they added, and those that once found a fault.
var (
	keptFirst      = schedule{1, firstActions}
	keptStandstill = schedule{303, secondActions}
	keptCrashing   = schedule{403, fourthActions}
	keptLimit      = schedule{629, sixthActions}
)

// TestKeptSchedulesStayAsWritten holds the kept schedules from before actions were
// added: they are regression cases only if they stay the same.
func TestKeptSchedulesStayAsWritten(t *testing.T) {
	lines := []string{}
	for _, k := range []schedule{keptFirst, keptStandstill, keptCrashing, keptLimit} {
		for _, f := range draw(k.seed, shortSize, k.from) {
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
	}, lines)
}

// TestShortSoak and the others play a schedule with real processes. Only what holds on
// any machine, however slow, is checked; runs by hand check the times too.
func TestShortSoak(t *testing.T) { playKept(t, keptFirst) }

// TestStandstillSoak begins with an instance that stands still for longer than its
// callers' connections may rest. Requests came on them meanwhile; when it went on it
// closed the connections for their rest, with the requests unread or half served, and
// their callers got neither an answer nor a refusal.
func TestStandstillSoak(t *testing.T) { playKept(t, keptStandstill) }

// TestCrashingSoak begins with a request that ends endpoints, repeated at all instances
// while other faults run.
func TestCrashingSoak(t *testing.T) { playKept(t, keptCrashing) }

// TestLimitSoak has an engine and a plain endpoint name limits, one of them while the store
// is silent. All must go on, and serve as before when the limits have ended.
func TestLimitSoak(t *testing.T) { playKept(t, keptLimit) }

func playKept(t *testing.T, k schedule) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../cmd/eiderspring", "../cmd/eiderspring-soak")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	report, err := Run(Options{
		Programs: Programs{Node: filepath.Join(programs, "eiderspring"), StandIns: filepath.Join(programs, "eiderspring-soak")},
		Seed:     k.seed, Plan: draw(k.seed, shortSize, k.from), Size: shortSize, Callers: 2, Dir: t.TempDir(), SkipTimingChecks: true,
	})
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.String())
	require.Positive(t, report.Served)
}
