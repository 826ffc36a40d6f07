package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// TestTotalsKeepTheirAge guards against an old total that counts as new each time that it is given
// to routing, which then expects its requests to be there still.
func TestTotalsKeepTheirAge(t *testing.T) {
	now := time.Unix(1000, 0)
	e := &routing.Endpoint{Name: "e", Pool: "plain", Concurrency: 6}
	router := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
	router.SetView(&routing.View{Pools: map[string][]*routing.Endpoint{"plain": {e}}, ByName: map[string]*routing.Endpoint{"e": e}})
	m := &mesh{router: router, now: func() time.Time { return now }, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	for i := range smallFleetSize + 1 {
		m.updateInstance(fmt.Sprint(i), &presence{})
	}
	m.totals.receive(now, now, peer.Packet{Address: "holder", Instances: 20, Totals: []peer.EndpointLoad{{Endpoint: "e", Running: 18}}})
	for range 4 {
		now = now.Add(routingUpdateInterval)
		m.totals.receive(now, now, peer.Packet{Address: "holder", Instances: 20})
		m.updateRouting()
	}
	require.EqualValues(t, 18, e.PeerLoad().Running)
	require.Equal(t, 4*routingUpdateInterval, e.PeerLoadAge(now))
}
