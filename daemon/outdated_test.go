package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKnownNewerSettingsAreWaitedFor hears of settings that come, and of some that never do.
func TestKnownNewerSettingsAreWaitedFor(t *testing.T) {
	now, inForce := time.Unix(1000, 0), int64(3)
	m := &mesh{now: func() time.Time { return now }, revision: func() int64 { return inForce }}
	require.False(t, m.outdated())
	m.heardRevision(4)
	require.True(t, m.outdated())
	inForce = 4
	require.False(t, m.outdated())
	m.heardRevision(9)
	now = now.Add(outdatedFor)
	m.heardRevision(9)
	require.False(t, m.outdated(), "they cannot be had")
}
