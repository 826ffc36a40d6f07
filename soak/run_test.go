package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// seeds are played by each test run: the first, and those that once found a fault.
var seeds = []uint64{1}

// TestShortSoak plays the seeds with real processes. Only what holds on any machine,
// however slow, is checked; runs by hand check the times too.
func TestShortSoak(t *testing.T) {
	programs := t.TempDir()
	build := exec.Command("go", "build", "-o", programs, "../cmd/eiderspring", "../cmd/eiderspring-soak")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	for _, seed := range seeds {
		report, err := Run(Options{
			Programs: Programs{Node: filepath.Join(programs, "eiderspring"), Stand: filepath.Join(programs, "eiderspring-soak")},
			Seed:     seed, Size: Size{Nodes: 3, Engines: 2, Plain: 2, Faults: 5 * time.Second}, Callers: 2, Dir: t.TempDir(), Untimed: true,
		})
		require.NoError(t, err)
		require.Empty(t, report.Broken, report.String())
		require.Positive(t, report.Served)
	}
}
