package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/authority"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

func limitedTree() *settings.Tree {
	return &settings.Tree{Callers: map[string]*settings.Caller{
		"desk": {Allowance: &settings.Allowance{Unit: settings.CountRequests, PerSecond: 10, Burst: 10}},
	}}
}

// fleetOfTwo returns an instance that aggregates and one that does not.
func fleetOfTwo(now func() time.Time) (aggregating, other *allowances) {
	c := AllowanceConfig{WindowS: 8, OverFraction: 0.1}
	two := func() int { return 2 }
	aggregating = newAllowances(c, "p1", func() bool { return true }, two, now)
	other = newAllowances(c, "p2", func() bool { return false }, two, now)
	for _, a := range []*allowances{aggregating, other} {
		a.limiter.SetInstanceCount(2)
		a.setLimits(limitedTree())
	}
	return aggregating, other
}

// exchange delivers the aggregator's announcements to both instances, and the usage of both to
// the aggregator.
func exchange(aggregating, other *allowances) {
	for _, p := range aggregating.announcements() {
		aggregating.receive(p)
		other.receive(p)
	}
	for name, a := range map[string]*allowances{"a": aggregating, "b": other} {
		p := peer.Packet{From: name, Process: "p" + name}
		a.addUsage(&p, peer.MaxPacketBytes)
		aggregating.receive(p)
	}
}

// TestSharesReachTheOthers overloads one instance. The other must admit only the share that the
// aggregator announces, not its even part of the limit.
func TestSharesReachTheOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	aggregating, other := fleetOfTwo(func() time.Time { return now })
	for range 40 {
		exchange(aggregating, other)
		for range 30 {
			aggregating.limiter.Admit(now, "desk", 1)
		}
		now = now.Add(100 * time.Millisecond)
	}
	exchange(aggregating, other)
	admitted := 0
	for range 100 {
		if ok, _ := other.limiter.Admit(now, "desk", 1); ok {
			admitted++
		}
	}
	require.Less(t, admitted, 20, "the other instance applies the announced share")
	stats := aggregating.stats(&settings.Catalog{Tree: limitedTree()})
	require.EqualValues(t, 40*30, stats.Accounts["desk"].Offered)
	require.Positive(t, stats.Rejected)
}

// TestSharesFitADatagram fills a packet with as many shares as it may carry.
func TestSharesFitADatagram(t *testing.T) {
	var shares []allowance.Share
	for i := range maxSharesPerPacket {
		shares = append(shares, allowance.Share{Account: allowance.AccountHash(1<<63 + uint64(i)), Permille: 999, Level: -1 << 40, Rate: 1 << 40})
	}
	p := peer.Packet{
		Version: peer.PacketVersion, From: "edge-hall-outremeuse-12", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Address: "10.200.100.100:17380",
		Seq: 1 << 40, Revision: 1 << 30, Instances: 390, EndingsDigest: 1 << 63, Aggregator: 1 << 63, Era: 1 << 20, Allowances: shares,
	}
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
	back, err := peer.DecodePacket(data)
	require.NoError(t, err)
	require.Equal(t, shares, back.Allowances)
}

// TestHolderConfirmsKeysOfOthers sends a confirmation request, lets the store confirm the
// holder's settings, and delivers the reply. Only a call to the store begun after the request
// may be answered, and the reply counts only for the requesting process, from the time of its
// request.
func TestHolderConfirmsKeysOfOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	newAuthority := func(responds bool, sent *[]peer.Packet) *keyAuthority {
		return &keyAuthority{
			tracker: authority.NewTracker(4 * time.Second), now: clock, exactNow: clock, revision: func() int64 { return 7 }, log: logr.Discard(),
			responds: func() bool { return responds }, send: func(p peer.Packet, _ []string) { *sent = append(*sent, p) },
		}
	}
	var sent []peer.Packet
	holder, other := newAuthority(true, &sent), newAuthority(false, &sent)
	require.False(t, other.current(7))
	request := peer.Packet{From: "b", Process: "pb", Address: "addr", ConfirmRequest: other.nextRequest(), Revision: 7}
	require.NotZero(t, request.ConfirmRequest)
	now = now.Add(time.Second)
	require.False(t, holder.receive(request, "pa"))
	holder.storeConfirmed(now.Add(-time.Millisecond), 7)
	require.Empty(t, sent, "the call began before the request was received")
	holder.storeConfirmed(now.Add(time.Millisecond), 7)
	require.Len(t, sent, 1)
	require.True(t, other.receive(sent[0], "another process"))
	require.False(t, other.current(7))
	require.True(t, other.receive(sent[0], "pb"))
	require.True(t, other.current(7))
	now = now.Add(3 * time.Second)
	require.False(t, other.current(7), "the age counts from the request")

	holder.distrustStore(eraSettleTime)
	holder.storeConfirmed(now, 7)
	age, known := holder.tracker.Age(now, 7)
	require.True(t, known)
	require.Greater(t, age, 2*time.Second, "the store was restored from a copy: its answers confirm nothing yet")
}

// TestStoreConfirmsKeysIfNoInstanceDoes sends no confirmation reply. The instance must call the
// store itself once half of the bound has passed.
func TestStoreConfirmsKeysIfNoInstanceDoes(t *testing.T) {
	keys := &keyAuthority{
		tracker: authority.NewTracker(time.Second), now: time.Now, exactNow: time.Now, revision: func() int64 { return 7 }, log: logr.Discard(),
		responds: func() bool { return false },
	}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	calls := 0
	keys.monitor(ctx, time.Second, func(context.Context) {
		calls++
		keys.storeConfirmed(time.Now(), 7)
		if calls == 2 {
			stop()
		}
	})
	require.Equal(t, 2, calls)
	require.True(t, keys.current(7))
}

// TestOneStandsInWhereAllLackAnAggregator has no holder of the lease at first. A stand-in must
// aggregate until there is one, and then step down.
func TestOneStandsInWhereAllLackAnAggregator(t *testing.T) {
	now := time.Unix(1000, 0)
	holds := false
	two := func() int { return 2 }
	start := func(process string, holds func() bool) *allowances {
		a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, process, holds, two, func() time.Time { return now })
		a.setLimits(limitedTree())
		return a
	}
	strong, other := start("p1", func() bool { return false }), start("p2", func() bool { return holds })
	require.Empty(t, strong.announcements(), "no instance has reported the lack of an aggregator")
	exchange(strong, other)
	now = now.Add(100 * time.Millisecond)
	packets := strong.announcements()
	require.NotEmpty(t, packets, "all have reported that they lack an aggregator")
	other.receive(packets[0])
	require.False(t, other.lacksAggregator())
	require.Empty(t, other.announcements())

	holds = true
	packets = other.announcements()
	if len(packets) == 0 {
		p := peer.Packet{From: "a", Process: "pa"}
		other.receive(p)
		packets = other.announcements()
	}
	require.NotEmpty(t, packets)
	strong.receive(packets[0])
	require.Empty(t, strong.announcements(), "the holder of the lease aggregates now")
}

// TestNoStandInWhereMostHaveHadAnAggregator receives reports of a missing aggregator from only
// half of the instances. The others still use shares that a stand-in does not know.
func TestNoStandInWhereMostHaveHadAnAggregator(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, "p1", func() bool { return false }, func() int { return 10 }, func() time.Time { return now })
	a.setLimits(limitedTree())
	for _, from := range []string{"a", "b", "c", "d", "e"} {
		a.receive(peer.Packet{From: from, Process: from, NoAggregator: true})
	}
	require.Empty(t, a.announcements())
}

// TestOneOfTwoStandInsStepsDown lets two instances become stand-ins at the same time. Exactly one
// must continue.
func TestOneOfTwoStandInsStepsDown(t *testing.T) {
	now := time.Unix(1000, 0)
	standIn := func(process string) *allowances {
		a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, process, func() bool { return false }, func() int { return 2 }, func() time.Time { return now })
		a.setLimits(limitedTree())
		for _, from := range []string{"a", "b"} {
			a.receive(peer.Packet{From: from, Process: from, NoAggregator: true})
		}
		a.announcements()
		for _, from := range []string{"a", "b"} {
			a.receive(peer.Packet{From: from, Process: from, NoAggregator: true})
		}
		return a
	}
	first, second := standIn("p1"), standIn("p2")
	one, two := first.announcements(), second.announcements()
	require.NotEmpty(t, one)
	require.NotEmpty(t, two)
	first.receive(two[0])
	second.receive(one[0])
	require.NotEqual(t, len(first.announcements()) == 0, len(second.announcements()) == 0, "one continues")
}

// TestStrongestAreAskedToStandIn lists more strong instances than are asked: entries of machines
// that are gone may be among them.
func TestStrongestAreAskedToStandIn(t *testing.T) {
	m := &mesh{instance: "d", now: time.Now, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		m.updateInstance(name, &presence{Datagrams: name, Cores: 0.8})
	}
	m.updateInstance("weak", &presence{Datagrams: "weak", Cores: 0.2})
	require.Equal(t, []string{"a", "b", "c"}, m.strongestAddresses())
}

// countedLink counts the bytes queued on a link, and records the most that were queued when a
// packet with shares was sent.
type countedLink struct {
	sealer              *peer.Sealer
	waiting, maxWaiting int
	// announced holds the endpoints whose totals a packet has announced.
	announced map[string]bool
}

// drain removes the bytes that the link has carried meanwhile.
func (l *countedLink) drain(bytes float64) { l.waiting = max(l.waiting-int(bytes), 0) }

func (l *countedLink) Send(_ string, sealed []byte) {
	l.waiting += len(sealed)
	plain, err := l.sealer.Open(sealed)
	if err != nil {
		// The same packet is sent to many addresses; only the first copy opens.
		return
	}
	p, err := peer.DecodePacket(plain)
	for _, total := range p.Totals {
		l.announced[total.Endpoint] = true
	}
	if err == nil && p.Aggregator != 0 {
		l.maxWaiting = max(l.maxWaiting, l.waiting)
	}
}

func (l *countedLink) Close() {}

// announceRounds is how often the coordinator announces all totals in a test: bytes left on the
// link from one round delay the next ones.
const announceRounds = 20

// announcementDelay returns for how many seconds shares wait at most on a link of mbits Mbit/s
// for what the holder of the lease has sent before, over announceRounds rounds.
func announcementDelay(t *testing.T, instances, endpoints int, mbits float64) float64 {
	t.Helper()
	key := make([]byte, peer.KeyBytes)
	sealer, err := peer.NewSealer([][]byte{key})
	require.NoError(t, err)
	opener, err := peer.NewSealer([][]byte{key})
	require.NoError(t, err)
	now := func() time.Time { return time.Unix(1000, 0) }
	holds := func() bool { return true }
	a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, "p", holds, func() int { return instances }, now)
	a.setLimits(limitedTree())
	link := &countedLink{sealer: opener, announced: map[string]bool{}}
	m := &mesh{
		instance: "edge-pnw-hillsboro-13", process: "4KXDQ7A2Z3LRWV6YBTGM5NPHCE", address: "10.1.0.138:7380", now: now, listed: map[string]presence{}, onInstanceCount: func(int) {}, allowances: a,
		router: routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 }), isHolder: holds,
		revision: func() int64 { return 1 }, storeCurrent: holds, sealer: sealer, datagrams: link, log: logr.Discard(), reportedAddresses: map[string]string{},
		linkBytesPerSecond: mbits * bytesPerMbit,
	}
	for i := range instances {
		name := fmt.Sprintf("edge-%03d", i)
		m.updateInstance(name, &presence{Datagrams: name})
	}
	for i := range endpoints {
		m.fleetTotals = append(m.fleetTotals, peer.EndpointLoad{Endpoint: fmt.Sprintf("i-%010x", i), Running: 40, PrefillMicros: 90_000})
	}
	for range announceRounds {
		m.announceAll()
		link.drain(m.linkBytesPerSecond * m.announceInterval().Seconds())
	}
	require.NotZero(t, link.maxWaiting)
	require.Len(t, link.announced, endpoints, "all totals are announced")
	return float64(link.maxWaiting) / m.linkBytesPerSecond
}

// maxAnnouncementDelay is half of the time for which shares are valid, in seconds. If two
// announcements in a row come too late, instances have no shares and refuse requests that are
// within the limits.
const maxAnnouncementDelay = 0.45

// TestSharesArriveInTimeWith390Instances has the sizes of the largest planned fleet.
func TestSharesArriveInTimeWith390Instances(t *testing.T) {
	require.LessOrEqual(t, announcementDelay(t, 390, 720, 200), maxAnnouncementDelay)
}

// TestSharesArriveInTimeWith3000Endpoints has a fleet of 300 instances, which must serve at least
// 0.7 of what one of 30 instances serves.
func TestSharesArriveInTimeWith3000Endpoints(t *testing.T) {
	require.LessOrEqual(t, announcementDelay(t, 300, 3000, 200), maxAnnouncementDelay)
}

// TestAllTotalsAreSent sends several packets of totals in one tick. Each must fit its datagram, as
// a larger one is not sent.
func TestAllTotalsAreSent(t *testing.T) {
	for _, size := range []struct{ instances, endpoints int }{{20, 300}, {90, 140}, {295, 720}} {
		announcementDelay(t, size.instances, size.endpoints, 1000)
	}
}
