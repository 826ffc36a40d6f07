package ring

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

func TestRingAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		policy := rapid.SampledFrom([]Policy{DropOldest, Reject}).Draw(t, "policy")
		r := New[int](capacity, policy)
		var model []int
		for i := range 50 {
			if rapid.Bool().Draw(t, "put") {
				err := r.Put(context.Background(), i)
				switch {
				case len(model) < capacity:
					require.NoError(t, err)
					model = append(model, i)
				case policy == Reject:
					require.ErrorIs(t, err, ErrFull)
				default:
					require.NoError(t, err)
					model = append(model[1:], i)
				}
			} else if len(model) > 0 {
				got, err := r.Take(context.Background())
				require.NoError(t, err)
				require.Equal(t, model[0], got)
				model = model[1:]
			}
			require.Equal(t, len(model), r.Len())
		}
	})
}

func TestBlockingPutWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int](1, Block)
		require.NoError(t, r.Put(t.Context(), 1))
		done := false
		go func() {
			_ = r.Put(t.Context(), 2)
			done = true
		}()
		synctest.Wait()
		require.False(t, done)
		got, err := r.Take(t.Context())
		require.NoError(t, err)
		require.Equal(t, 1, got)
		synctest.Wait()
		require.True(t, done)
		r.Close()
		got, err = r.Take(t.Context())
		require.NoError(t, err)
		require.Equal(t, 2, got)
		_, err = r.Take(t.Context())
		require.ErrorIs(t, err, ErrClosed)
	})
}

// TestOfferNeverWaits fills a ring with the Block policy.
func TestOfferNeverWaits(t *testing.T) {
	r := New[int](2, Block)
	require.True(t, r.Offer(1))
	require.True(t, r.Offer(2))
	require.False(t, r.Offer(3))
	got, err := r.Take(t.Context())
	require.NoError(t, err)
	require.Equal(t, 1, got)
	require.True(t, r.Offer(4))
	require.EqualValues(t, 3, r.Added())
}

// TestPutFirstOvertakes mixes PutFirst with Put and Take, also where the ring is full.
func TestPutFirstOvertakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New[int](rapid.IntRange(1, 5).Draw(t, "capacity"), Reject)
		var model []int
		for i := range 50 {
			switch op := rapid.SampledFrom([]string{"put", "put first", "take"}).Draw(t, "op"); {
			case op == "put":
				if r.Put(context.Background(), i) == nil {
					model = append(model, i)
				}
			case op == "put first":
				require.NoError(t, r.PutFirst(i))
				model = append([]int{i}, model...)
			case len(model) > 0:
				got, err := r.Take(context.Background())
				require.NoError(t, err)
				require.Equal(t, model[0], got)
				model = model[1:]
			}
			require.Equal(t, len(model), r.Len())
		}
	})
}
