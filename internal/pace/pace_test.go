package pace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPaceIsOfFullTimes guards against a pace that counts times in which nobody waits, and against
// one that is told before enough was observed.
func TestPaceIsOfFullTimes(t *testing.T) {
	var m Meter
	now := time.Unix(1000, 0)
	m.Advance(now, true)
	for range 9 {
		now = now.Add(100 * time.Millisecond)
		m.Add(2)
		m.Advance(now, true)
	}
	_, observed := m.PerSecond()
	require.False(t, observed, "for 900 ms")
	for range 21 {
		now = now.Add(100 * time.Millisecond)
		m.Add(2)
		m.Advance(now, true)
	}
	m.SetFull(false)
	now = now.Add(200 * time.Millisecond)
	m.Add(50)
	m.Advance(now, false)
	rate, observed := m.PerSecond()
	require.True(t, observed)
	require.InDelta(t, 20, rate, 1)
	require.False(t, m.Forgotten(now))
	require.True(t, m.Forgotten(now.Add(time.Minute)))
}

// TestWaitMayBeShorter checks the least likely wait: of four places it may take two fewer.
func TestWaitMayBeShorter(t *testing.T) {
	expected, least := Wait(4, 2)
	require.Equal(t, 2*time.Second, expected)
	require.Equal(t, time.Second, least)
	_, least = Wait(1, 2)
	require.Zero(t, least)
}
