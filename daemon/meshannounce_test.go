package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/peer"
)

// simulatedLink is the coordinator's link and processor in virtual time: a datagram takes
// processor time to send, and then waits on the link until earlier ones are sent.
type simulatedLink struct {
	now       *time.Time
	opener    *peer.Sealer
	linkBytes float64
	cores     float64
	// idleAt is when the link has sent all queued datagrams.
	idleAt time.Time
	// packet is the one that is being sent to one instance after the other.
	packet peer.Packet
	// revisionAt is when the first announcement of each revision had reached all instances,
	// allowancesAt when each announcement of allowances had.
	revisionAt   map[int64]time.Time
	allowancesAt []time.Time
	// firstOfRevision is set while packet is the first of its revision.
	firstOfRevision bool
}

// Send implements peer.Datagrams.
func (l *simulatedLink) Send(_ string, sealed []byte) {
	*l.now = l.now.Add(time.Duration(float64(datagramCPUTime) / l.cores))
	if l.idleAt.Before(*l.now) {
		l.idleAt = *l.now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(len(sealed)) / l.linkBytes * float64(time.Second)))
	if plain, err := l.opener.Open(sealed); err == nil {
		// Only the first copy of a packet opens.
		l.packet, _ = peer.DecodePacket(plain)
		l.begin()
	}
	l.recordReached()
}

// Close implements peer.Datagrams.
func (l *simulatedLink) Close() {}

// begin records a packet that is sent to its first instance.
func (l *simulatedLink) begin() {
	if l.packet.Aggregator != 0 {
		l.allowancesAt = append(l.allowancesAt, l.idleAt)
	}
	_, known := l.revisionAt[l.packet.Revision]
	l.firstOfRevision = !known && l.packet.Instances > 0
}

// recordReached records that the packet has reached one more instance.
func (l *simulatedLink) recordReached() {
	if l.packet.Aggregator != 0 {
		l.allowancesAt[len(l.allowancesAt)-1] = l.idleAt
	}
	if l.firstOfRevision {
		l.revisionAt[l.packet.Revision] = l.idleAt
	}
}

// announcingFleet is the coordinator of a fleet in which all endpoints are busy, report every
// five seconds, and some load and withdraw units.
type announcingFleet struct {
	*mesh
	link            *simulatedLink
	clock           time.Time
	currentRevision int64
	// nextEndpoint is the endpoint that reports next, units are what each endpoint holds.
	nextEndpoint int
	units        []string
}

func newAnnouncingFleet(t *testing.T, instances, endpoints int, mbits, cores float64) *announcingFleet {
	key := make([]byte, peer.KeyBytes)
	sealer, err := peer.NewSealer([][]byte{key})
	require.NoError(t, err)
	opener, err := peer.NewSealer([][]byte{key})
	require.NoError(t, err)
	f := &announcingFleet{mesh: benchMesh(true, instances, endpoints), clock: time.Unix(1000, 0), currentRevision: 1}
	for k := range 3 + 8 {
		f.units = append(f.units, fmt.Sprintf("abcd%06x/a%02d", k, k))
	}
	f.link = &simulatedLink{now: &f.clock, opener: opener, linkBytes: mbits * bytesPerMbit, cores: cores, revisionAt: map[int64]time.Time{}}
	f.now, f.onPlacements, f.log = func() time.Time { return f.clock }, func([]peer.Placement) {}, logr.Discard()
	f.allowances.now = f.now
	f.storeCurrent, f.revision = func() bool { return true }, func() int64 { return f.currentRevision }
	f.sealer, f.datagrams, f.linkBytesPerSecond, f.self.Cores = sealer, f.link, mbits*bytesPerMbit, cores
	for i := range endpoints {
		f.fleetTotals = append(f.fleetTotals, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010x", i), Running: 40, PrefillMicros: 90_000})
	}
	return f
}

// tickOnce advances time by a tenth of a second.
func (f *announcingFleet) tickOnce(endpoints int) {
	next := f.clock.Add(meshTick)
	for i := range endpoints / 50 {
		p := peer.Placement{Epoch: 1, Endpoint: fmt.Sprintf("i-%010x", (f.nextEndpoint+i)%endpoints), Units: f.units, StartedAtMS: 1_782_399_000_000}
		urgency := broadcast.Refresh
		switch {
		case i == 0:
			p.Draining, urgency = f.units[:1], broadcast.Withdrawn
		case i%4 == 1:
			urgency = broadcast.Changed
		}
		f.publishPlacements([]outgoingPlacement{{p, urgency}})
	}
	f.nextEndpoint += endpoints / 50
	f.announceIfDue()
	if f.clock.Before(next) {
		f.clock = next
	}
}

// TestAnnouncementsReachAllInTime puts newer settings in force at the coordinator, and follows
// the announcements of allowances, with the link and the processor of users' instances. The
// bounds are those after which the other instances act on their own: an attestation older than
// minHolderTimeout, and half of the time for which announcements of allowances count.
func TestAnnouncementsReachAllInTime(t *testing.T) {
	const ticks, changeTick = 60, 25
	for _, size := range []struct {
		instances, endpoints int
		mbits, cores         float64
	}{
		{6, 10, 1000, 0.4}, {90, 140, 200, 0.8}, {295, 245, 1000, 0.8}, {390, 720, 200, 0.8},
		{301, 3000, 200, 0.8}, {301, 3000, 1000, 0.4},
	} {
		t.Run(fmt.Sprintf("%d instances, %d endpoints, %v Mbit/s, %v cores", size.instances, size.endpoints, size.mbits, size.cores), func(t *testing.T) {
			f := newAnnouncingFleet(t, size.instances, size.endpoints, size.mbits, size.cores)
			var changedAt time.Time
			for i := range ticks {
				if i == changeTick {
					f.currentRevision, changedAt = 2, f.clock
				}
				f.tickOnce(size.endpoints)
			}
			reached, ok := f.link.revisionAt[2]
			require.True(t, ok)
			t.Logf("newer settings reach all after %v", reached.Sub(changedAt))
			require.Less(t, reached.Sub(changedAt), minHolderTimeout)
			gap := time.Duration(0)
			for i := range f.link.allowancesAt[1:] {
				gap = max(gap, f.link.allowancesAt[i+1].Sub(f.link.allowancesAt[i]))
			}
			t.Logf("announcements of allowances reach all at most %v apart", gap)
			require.NotZero(t, gap)
			require.Less(t, gap.Seconds(), 2*maxAnnouncementDelay)
			backlog := f.link.idleAt.Sub(f.clock)
			t.Logf("%v of datagrams are queued on the link at the end", backlog)
			require.Less(t, backlog, maxAnnounceInterval, "the backlog does not grow")
		})
	}
}
