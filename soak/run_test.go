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

// kept are played by each test run: the first of each list of actions, and those that
// once found a fault.
var kept = []schedule{{1, firstActions}}

// TestKeptSchedulesStayAsWritten holds the schedules of seeds from before actions were
// added: they are regression cases only if they stay the same.
func TestKeptSchedulesStayAsWritten(t *testing.T) {
	lines := []string{}
	for _, f := range draw(1, shortSize, firstActions) {
		lines = append(lines, f.String())
	}
	require.Equal(t, []string{
		"at=700ms action=store-losing target=0 link=callers for=1.652487747s",
		"at=792.643624ms action=store-refusing target=0 link=worker for=611.564548ms",
		"at=2.942380271s action=worker-pause target=3 link=callers for=1.619520781s",
	}, lines)
}

// TestShortSoak plays the seeds with real processes. Only what holds on any machine,
// however slow, is checked; runs by hand check the times too.
func TestShortSoak(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../cmd/eiderspring", "../cmd/eiderspring-soak")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	for _, k := range kept {
		report, err := Run(Options{
			Programs: Programs{Node: filepath.Join(programs, "eiderspring"), Stand: filepath.Join(programs, "eiderspring-soak")},
			Seed:     k.seed, Plan: draw(k.seed, shortSize, k.from), Size: shortSize, Callers: 2, Dir: t.TempDir(), Untimed: true,
		})
		require.NoError(t, err)
		require.Empty(t, report.Broken, report.String())
		require.Positive(t, report.Served)
	}
}
