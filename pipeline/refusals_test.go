package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusalsAreRememberedForAWhile(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	r.record(now, SessionHash("a"))
	r.RecordRemote(now, []uint32{SessionHash("b")})
	require.True(t, r.contains(now, SessionHash("a")))
	require.True(t, r.contains(now.Add(time.Second), SessionHash("b")))
	require.False(t, r.contains(now, SessionHash("c")))
	require.False(t, r.contains(now.Add(refusalMemory), SessionHash("a")))
	require.False(t, r.contains(now, SessionHash("")), "a request without a session is never remembered")
	require.Equal(t, []uint32{SessionHash("a")}, r.TakeLocal(), "only refusals of this instance are returned")
	require.Empty(t, r.TakeLocal())
}

func TestRefusalsAreBounded(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	for i := range uint32(3 * maxRefusals) {
		r.record(now, i+1)
	}
	require.LessOrEqual(t, len(r.refusedAt), maxRefusals)
	require.Len(t, r.TakeLocal(), maxLocal)
}
