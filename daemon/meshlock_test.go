package daemon

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
)

// slowDatagrams takes processor time for each datagram, as an instance with 0.4 of a core does.
type slowDatagrams struct{}

// Send implements peer.Datagrams.
func (slowDatagrams) Send(string, []byte) { time.Sleep(datagramCPUTime * 10 / 4) }

// Close implements peer.Datagrams.
func (slowDatagrams) Close() {}

// TestSendingHoldsNoLock guards against a view, a lease and received packets that wait for each
// packet that the coordinator of a large fleet sends: all of them read the list of instances.
func TestSendingHoldsNoLock(t *testing.T) {
	const instances = 984
	var locked time.Duration
	synctest.Test(t, func(t *testing.T) {
		sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
		require.NoError(t, err)
		m := &mesh{sealer: sealer, datagrams: slowDatagrams{}, log: logr.Discard()}
		go m.send(peer.Packet{Version: peer.PacketVersion}, make([]string, instances))
		for range 100 {
			time.Sleep(time.Millisecond)
			if m.mu.TryLock() {
				m.mu.Unlock()
				continue
			}
			locked += time.Millisecond
		}
		synctest.Wait()
	})
	require.Zero(t, locked, "the list of instances is locked while a packet is sent")
}

// TestMeshWithoutSocketSendsNothing guards against an instance that ends at its next packet because
// it knows the key but could not open its socket.
func TestMeshWithoutSocketSendsNothing(t *testing.T) {
	sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
	require.NoError(t, err)
	m := &mesh{sealer: sealer, log: logr.Discard()}
	require.NotPanics(t, func() { m.send(peer.Packet{Version: peer.PacketVersion}, []string{"127.0.0.1:1"}) })
}
