package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRefusalsAreRememberedForAWhile(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	r.note(now, Mark("a"))
	r.Hear(now, []uint32{Mark("b")})
	require.True(t, r.again(now, Mark("a")))
	require.True(t, r.again(now.Add(time.Second), Mark("b")))
	require.False(t, r.again(now, Mark("c")))
	require.False(t, r.again(now.Add(refusalMemory), Mark("a")))
	require.False(t, r.again(now, Mark("")), "a request without an identity is never known")
	require.Equal(t, []uint32{Mark("a")}, r.Take(), "only own ones are told")
	require.Empty(t, r.Take())
}

func TestRefusalsAreBounded(t *testing.T) {
	var r Refusals
	now := time.Unix(1000, 0)
	for i := range uint32(3 * maxRefusals) {
		r.note(now, i+1)
	}
	require.LessOrEqual(t, len(r.at), maxRefusals)
	require.Len(t, r.Take(), maxFresh)
}
