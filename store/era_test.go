package store

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestErasOnlyRise(t *testing.T) {
	var begun []int64
	e := &Eras{}
	e.OnBegin(func(era int64) { begun = append(begun, era) })
	require.True(t, e.Observe(3), "the first era observed")
	require.True(t, e.Observe(3))
	require.True(t, e.Observe(4))
	require.False(t, e.Observe(3), "a late answer")
	require.EqualValues(t, 4, e.Newest())
	require.Equal(t, []int64{4}, begun, "the first era observed counts as begun before")
	var none *Eras
	require.True(t, none.Observe(0))
	require.Zero(t, none.Newest())
}
