package daemon

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
)

// relayFleet is a large fleet in one failure domain, of which the first relay.PerDomain are
// strong; addresses are those of instances that answer.
func relayFleet(addresses map[string]string) (fleet func() []relay.Instance, reached func(string) string) {
	var instances []relay.Instance
	for i := range relay.LargeFleet + 1 {
		cores := 0.2
		if i < relay.PerDomain {
			cores = 0.8
		}
		instances = append(instances, relay.Instance{Name: fmt.Sprintf("i%d", i), FailureDomain: "z", Cores: cores})
	}
	return func() []relay.Instance { return instances }, func(name string) string { return addresses[name] }
}

func plainVersion(text string) (v evacuation.Version, err error) {
	_, err = fmt.Sscanf(text, "%d", &v.Revision)
	return v, err
}

// startRelays makes an instance's part, with a list as of what version holds.
func startRelays(t *testing.T, name string, addresses map[string]string, version *atomic.Pointer[string]) *relays {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	address := conn.LocalAddr().String()
	require.NoError(t, conn.Close())
	r := &relays{instance: name, domain: "z", address: address, version: plainVersion, log: logr.Discard(), now: time.Now, known: func() bool { return true }}
	r.fleet, r.reached = relayFleet(addresses)
	r.asOf = func() string { return *version.Load() }
	r.stored = func() relay.Snapshot {
		return relay.Snapshot{Version: *version.Load(), Members: []membership.Member{{Name: "e1", State: membership.Live, Resident: []string{}}}}
	}
	require.NoError(t, r.open(make([]byte, peer.KeyBytes)))
	t.Cleanup(r.close)
	return r
}

// TestMembersAreToldByRelays asks as a new instance does: the first relay is gone, another has
// the list only a moment later, and one that is not newer than what is known is not told.
func TestMembersAreToldByRelays(t *testing.T) {
	addresses := map[string]string{}
	none, version := "", "7"
	var known, nothing atomic.Pointer[string]
	known.Store(&none)
	nothing.Store(&none)
	asker := startRelays(t, "i50", addresses, &nothing)
	order := relay.Order("i50", relay.Of("z", asker.fleet()))
	require.Len(t, order, relay.PerDomain)
	teller := startRelays(t, order[1], addresses, &known)
	addresses[order[1]] = teller.address
	require.True(t, teller.tells())
	require.False(t, asker.tells())

	time.AfterFunc(100*time.Millisecond, func() { known.Store(&version) })
	s, told := asker.ask(context.Background(), "")
	require.True(t, told)
	require.Equal(t, "7", s.Version)
	require.NotNil(t, s.Members[0].Resident, "it is known to hold nothing")
	_, told = asker.ask(context.Background(), "6")
	require.True(t, told)

	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, told = asker.ask(ctx, "7")
	require.False(t, told, "the store is asked")
	_, told = teller.ask(context.Background(), "")
	require.False(t, told, "a relay asks the store")
}
