package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKnownNewerSettingsAreWaitedFor receives the revision of newer settings that are then applied,
// and of some that never are. The wait for these must end.
func TestKnownNewerSettingsAreWaitedFor(t *testing.T) {
	now, inForce := time.Unix(1000, 0), int64(3)
	m := &mesh{now: func() time.Time { return now }, revision: func() int64 { return inForce }}
	require.False(t, m.outdated())
	m.recordRevision(4)
	require.True(t, m.outdated())
	inForce = 4
	require.False(t, m.outdated())
	m.recordRevision(9)
	now = now.Add(outdatedTimeout)
	m.recordRevision(9)
	require.False(t, m.outdated(), "they cannot be fetched")
}

// TestAgeOfNewerSettingsIsKnown guards against a time line that cannot distinguish settings that
// no instance announced from settings that were announced and arrived late.
func TestAgeOfNewerSettingsIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	m := &mesh{now: func() time.Time { return now }, revision: func() int64 { return 3 }}
	require.Equal(t, neverConfirmed, m.sinceRevisionSeen(4))
	m.recordRevision(5)
	now = now.Add(time.Second)
	require.Equal(t, time.Second, m.sinceRevisionSeen(5))
	require.Equal(t, time.Second, m.sinceRevisionSeen(4), "a later revision was announced")
	require.Equal(t, neverConfirmed, m.sinceRevisionSeen(6))
}
