package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusalsAreRememberedForAWhile(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	r.note(now, SessionHash("a"))
	r.RecordRemote(now, []uint32{SessionHash("b")})
	require.True(t, r.again(now, SessionHash("a")))
	require.True(t, r.again(now.Add(time.Second), SessionHash("b")))
	require.False(t, r.again(now, SessionHash("c")))
	require.False(t, r.again(now.Add(refusalMemory), SessionHash("a")))
	require.False(t, r.again(now, SessionHash("")), "a request without an identity is never known")
	require.Equal(t, []uint32{SessionHash("a")}, r.TakeLocal(), "only own ones are told")
	require.Empty(t, r.TakeLocal())
}

func TestRefusalsAreBounded(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	for i := range uint32(3 * maxRefusals) {
		r.note(now, i+1)
	}
	require.LessOrEqual(t, len(r.at), maxRefusals)
	require.Len(t, r.TakeLocal(), maxFresh)
}
