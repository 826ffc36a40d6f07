package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// TestEvacuatedDomainsOfPlatformAndSettings evacuates one domain by the platform and another by
// the settings. The placer must see the endpoints of both as leaving. An endpoint whose
// evacuation ends counts as cold for the pool's cold start time, and one whose entry reports it
// cold for the time in the entry.
func TestEvacuatedDomainsOfPlatformAndSettings(t *testing.T) {
	h := newViewHarness()
	cold := map[string]time.Duration{}
	h.onCold = func(e *routing.Endpoint, perSecond float64, remaining time.Duration) {
		require.Equal(t, 9.6, perSecond)
		cold[e.Name] = remaining
	}
	var list *membership.List
	h.updateCells = func(_ *settings.Catalog, l *membership.List) { list = l }
	revise := func(n int64, evacuated ...string) {
		tree := &settings.Tree{
			Pools:     map[string]*settings.Pool{"plain": {ColdPerSecond: 9.6, ColdStartMS: 3000}},
			Evacuated: evacuated,
		}
		h.step(settingsAccepted{accepted: &revision.Accepted{Entry: revision.Entry{Revision: n}, Tree: tree}})
	}
	revise(1)
	l := membership.Listing{Version: 1}
	for _, domain := range []string{"z1", "z2", "z3"} {
		l.Members = append(l.Members, membership.Member{Name: "e-" + domain, Incarnation: domain, Pool: "plain", FailureDomain: domain, State: membership.Live})
	}
	h.step(membersListed{l})
	h.step(domainsEvacuated{[]string{"z1"}})
	revise(2, "z2")
	require.False(t, h.acceptsRequests("e-z1"))
	require.False(t, h.acceptsRequests("e-z2"))
	require.True(t, h.acceptsRequests("e-z3"))
	leaving := map[string]bool{}
	for _, m := range countedMembers(list, "plain").Members {
		leaving[m.Name] = m.Leaving
	}
	require.Equal(t, map[string]bool{"e-z1": true, "e-z2": true, "e-z3": false}, leaving)
	require.Empty(t, cold)

	h.step(domainsEvacuated{nil})
	require.True(t, h.acceptsRequests("e-z1"))
	require.Equal(t, map[string]time.Duration{"e-z1": 3 * time.Second}, cold)
	revise(3)
	require.True(t, h.acceptsRequests("e-z2"))
	require.Equal(t, 3*time.Second, cold["e-z2"])

	l.Version = 2
	l.Members[2].ColdMS = 700
	h.step(membersListed{l})
	require.Equal(t, 700*time.Millisecond, cold["e-z3"])
}
