package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRestOfAStreamNeverChangesItsSoftwareVersion guards against any path of a choice (trials, ejected
// endpoints, those that are left out) that passes by the filter, and against a wait for an endpoint
// that can't come.
func TestRestOfAStreamNeverChangesItsSoftwareVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_000)
		r := NewRouter(Policies()[rapid.SampledFrom([]string{PolicyTimely, PolicyEstimate, PolicyTwoChoices}).Draw(t, "policy")], func() float64 { return 0.5 })
		versions := rapid.SliceOfN(rapid.SampledFrom([]string{"", "v1", "v1.1"}), 1, 6).Draw(t, "versions")
		view := &View{Replicas: map[string][]*Endpoint{}}
		var left []*Endpoint
		for i, version := range versions {
			e := &Endpoint{Name: fmt.Sprint(i), Pool: "p", Concurrency: 4, SoftwareVersion: version}
			leaving := rapid.Bool().Draw(t, "leaving")
			e.SetLeaving(leaving)
			if rapid.Bool().Draw(t, "failed") {
				e.RecordFailure(now)
			}
			if rapid.Bool().Draw(t, "left out") {
				e.SetCondition(Condition{Speed: 1, LeftOut: true})
				e.AllowTrial(now.Add(time.Second))
			}
			if !leaving {
				left = append(left, e)
			}
			view.Replicas["m"] = append(view.Replicas["m"], e)
		}
		r.SetView(view)
		wanted := rapid.SampledFrom([]string{"", "v1", "v1.1", "v2"}).Draw(t, "wanted")
		d, err := r.Pick(&Request{Unit: "m", Pool: "p", Now: now, Repeatable: true, Continues: true, SoftwareVersion: wanted})
		for _, e := range left {
			if wanted != "" && e.SoftwareVersion == wanted {
				require.NoError(t, err)
				require.Equal(t, wanted, d.Endpoint.SoftwareVersion)
				return
			}
		}
		require.ErrorIs(t, err, ErrNoSoftwareVersion)
	})
}

// TestStreamOfAnOnlyVersionWaitsForItsUnit guards against a refusal of the rest of a stream whose unit
// is about to be loaded, where each endpoint has the stream's version.
func TestStreamOfAnOnlyVersionWaitsForItsUnit(t *testing.T) {
	one, other := &Endpoint{Name: "one", Pool: "p", SoftwareVersion: "v1"}, &Endpoint{Name: "other", Pool: "p", SoftwareVersion: "v1.1"}
	r := NewRouter(Policies()[PolicyTimely], func() float64 { return 0 })
	req := &Request{Unit: "m", Pool: "p", Now: testNow, Continues: true, SoftwareVersion: "v1"}
	for want, pool := range map[error][]*Endpoint{ErrNoReplica: {one}, ErrNoSoftwareVersion: {one, other}} {
		r.SetView(&View{Pools: map[string][]*Endpoint{"p": pool}})
		_, err := r.Pick(req)
		require.ErrorIs(t, err, want)
	}
}
