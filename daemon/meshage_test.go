package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
)

// TestPacketsThatWaitedAttestNothingNew guards against an instance that takes packets more
// slowly than they arrive: each has then waited behind all others in the queue, and an
// attestation that counted from when it was taken would let the instance rest by settings as old
// as the queue is long.
func TestPacketsThatWaitedAttestNothingNew(t *testing.T) {
	const arrival, step = 20 * time.Millisecond, 24 * time.Millisecond
	var rested time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		m := benchMesh(false, 301, 10)
		m.leaving, m.demand, m.linkBytesPerSecond = func() bool { return false }, &pipeline.Demand{}, 1000*bytesPerMbit
		m.gates = pipeline.NewGates(admission.Limits{}, time.Now)
		m.urgent, m.newerSettings = make(chan struct{}, 1), make(chan struct{}, 1)
		m.onPlacements = func([]peer.Placement) { time.Sleep(step) }
		sealer, err := peer.NewSealer([][]byte{make([]byte, peer.KeyBytes)})
		require.NoError(t, err)
		m.opener.Store(sealer)
		go m.run(ctx)
		var changedAt time.Time
		for seq := uint64(1); seq <= 2600; seq++ {
			p := holderAnnouncement(true)
			p.Version, p.Process, p.Seq, p.Revision, p.Placements = peer.PacketVersion, "p", seq, 1, []peer.Placement{{Endpoint: "e"}}
			if seq > 2000 {
				p.Revision = 2
			}
			if seq == 2000 {
				changedAt = time.Now()
			}
			data, err := peer.EncodePacket(p)
			require.NoError(t, err)
			m.receive(sealer.Seal(data))
			time.Sleep(arrival)
			if seq > 2000 && m.holderAttests() && m.hasNewestSettings() {
				rested = time.Since(changedAt)
			}
		}
		stop()
		// The packets in the queue are still taken.
		time.Sleep(meshInputCapacity * step)
		synctest.Wait()
	})
	require.Less(t, rested, minHolderTimeout+meshTick, "the instance rests although newer settings were announced to it")
}
