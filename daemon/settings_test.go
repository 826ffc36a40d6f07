package daemon

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

// TestSilentPeerDelaysNoSettingsOfTheStore guards against settings that the watch has delivered but
// that wait until a fetch from a peer that is gone has timed out.
func TestSilentPeerDelaysNoSettingsOfTheStore(t *testing.T) {
	url := serve(t, standin.NewObjectAPI())
	publishSettings(t, url)
	client := store.NewHTTPClient(store.Config{URL: url})
	root, err := client.Get(t.Context(), store.KindSettings, revision.RootName)
	require.NoError(t, err)
	key, err := peer.ParseKey(strings.Repeat("01", 32))
	require.NoError(t, err)
	identity, err := peer.NewIdentity([][]byte{key}, time.Now())
	require.NoError(t, err)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	var peerGivenUp atomic.Bool
	f := newSettingsFetcher(client, peer.NewStreamClient(identity), ring.New[event](eventsCapacity, ring.Block))
	f.log = funcr.New(func(_, line string) {
		if strings.Contains(line, silent.LocalAddr().String()) {
			peerGivenUp.Store(true)
		}
	}, funcr.Options{})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.run(ctx)
	require.NoError(t, f.candidates.Put(ctx, settingsCandidate{peerAddress: silent.LocalAddr().String(), revision: 1}))
	// The fetch from the peer has begun once the peer receives a packet.
	_, _, err = silent.ReadFrom(make([]byte, 2048))
	require.NoError(t, err)
	f.rootRead(ctx, root)
	accepted, err := f.events.Take(ctx)
	require.NoError(t, err)
	require.EqualValues(t, 1, accepted.(settingsAccepted).accepted.Entry.Revision)
	require.False(t, peerGivenUp.Load(), "the settings have waited for the peer")
}

// newSettingsFetcher returns a fetcher without contact to the store or to peers.
func newSettingsFetcher(client store.Client, streams *peer.StreamClient, events *ring.Ring[event]) *settingsFetcher {
	return &settingsFetcher{
		client: client, streams: streams, fetcher: revision.NewFetcher(), events: events,
		roots: ring.New[settingsCandidate](candidatesCapacity, ring.DropOldest), candidates: ring.New[settingsCandidate](candidatesCapacity, ring.DropOldest),
	}
}
