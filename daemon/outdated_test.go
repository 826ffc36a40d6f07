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

// TestHowLongSettingsWereHeardOfIsKnown guards against a time line that cannot tell settings that
// nobody told from settings that were told and came late.
func TestHowLongSettingsWereHeardOfIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &mesh{now: func() time.Time { return now }, revision: func() int64 { return 3 }}
	require.Equal(t, neverConfirmed, m.heardAgo(4))
	m.heardRevision(5)
	now = now.Add(time.Second)
	require.Equal(t, time.Second, m.heardAgo(5))
	require.Equal(t, time.Second, m.heardAgo(4), "a later one was heard of")
	require.Equal(t, neverConfirmed, m.heardAgo(6))
}
