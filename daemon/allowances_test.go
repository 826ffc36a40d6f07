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

// fleetOfTwo is an instance that adds up and one that does not.
func fleetOfTwo(now func() time.Time) (adder, other *allowances) {
	c := AllowanceConfig{WindowS: 8, OverFraction: 0.1}
	two := func() int { return 2 }
	adder = newAllowances(c, "p1", func() bool { return true }, two, now)
	other = newAllowances(c, "p2", func() bool { return false }, two, now)
	for _, a := range []*allowances{adder, other} {
		a.limiter.SetInstanceCount(2)
		a.setLimits(limitedTree())
	}
	return adder, other
}

// exchange carries the adder's words to both, and what both have been asked to the adder.
func exchange(adder, other *allowances) {
	for _, p := range adder.announcements() {
		adder.receive(p)
		other.receive(p)
	}
	for name, a := range map[string]*allowances{"a": adder, "b": other} {
		p := peer.Packet{From: name, Process: "p" + name}
		a.addUsage(&p, peer.MaxPacketBytes)
		adder.receive(p)
	}
}

// TestSharesReachTheOthers lets callers of one instance use up what both may admit.
func TestSharesReachTheOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	adder, other := fleetOfTwo(func() time.Time { return now })
	for range 40 {
		exchange(adder, other)
		for range 30 {
			adder.limiter.Admit(now, "desk", 1)
		}
		now = now.Add(100 * time.Millisecond)
	}
	exchange(adder, other)
	admitted := 0
	for range 100 {
		if ok, _ := other.limiter.Admit(now, "desk", 1); ok {
			admitted++
		}
	}
	require.Less(t, admitted, 20, "the other instance goes by the share of all")
	stats := adder.stats(&settings.Catalog{Tree: limitedTree()})
	require.EqualValues(t, 40*30, stats.Accounts["desk"].Offered)
	require.Positive(t, stats.Rejected)
}

// TestWordsOfAllowancesFitADatagram has more accounts than one packet tells.
func TestWordsOfAllowancesFitADatagram(t *testing.T) {
	var words []allowance.Share
	for i := range maxSharesPerPacket {
		words = append(words, allowance.Share{Account: allowance.AccountHash(1<<63 + uint64(i)), Permille: 999, Level: -1 << 40, Rate: 1 << 40})
	}
	p := peer.Packet{
		Version: peer.PacketVersion, From: "edge-hall-outremeuse-12", Process: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Address: "10.200.100.100:17380",
		Seq: 1 << 40, Revision: 1 << 30, Instances: 390, EndingsDigest: 1 << 63, Aggregator: 1 << 63, Era: 1 << 20, Allowances: words,
	}
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
	back, err := peer.DecodePacket(data)
	require.NoError(t, err)
	require.Equal(t, words, back.Allowances)
}

// TestHolderAnswersWhoMayGoByKeys asks, lets the store confirm, and carries the answer back.
func TestHolderAnswersWhoMayGoByKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	rights := func(answers bool, sent *[]peer.Packet) *keyAuthority {
		return &keyAuthority{
			tracker: authority.NewTracker(4 * time.Second), now: clock, exact: clock, revision: func() int64 { return 7 }, log: logr.Discard(),
			responds: func() bool { return answers }, send: func(p peer.Packet, _ []string) { *sent = append(*sent, p) },
		}
	}
	var sent []peer.Packet
	holder, other := rights(true, &sent), rights(false, &sent)
	require.False(t, other.current(7))
	ask := peer.Packet{From: "b", Process: "pb", Address: "addr", ConfirmRequest: other.nextRequest(), Revision: 7}
	require.NotZero(t, ask.ConfirmRequest)
	now = now.Add(time.Second)
	require.False(t, holder.receive(ask, "pa"))
	holder.storeConfirmed(now.Add(-time.Millisecond), 7)
	require.Empty(t, sent, "the call began before the ask was heard")
	holder.storeConfirmed(now.Add(time.Millisecond), 7)
	require.Len(t, sent, 1)
	require.True(t, other.receive(sent[0], "another process"))
	require.False(t, other.current(7))
	require.True(t, other.receive(sent[0], "pb"))
	require.True(t, other.current(7))
	now = now.Add(3 * time.Second)
	require.False(t, other.current(7), "it counts from the ask")

	holder.distrustStore(eraSettleTime)
	holder.storeConfirmed(now, 7)
	age, known := holder.tracker.Age(now, 7)
	require.True(t, known)
	require.Greater(t, age, 2*time.Second, "the store has come back from a copy: what it shows proves nothing yet")
}

// TestRightIsAskedOfTheStoreIfNobodyAnswers lets half of the bound pass.
func TestRightIsAskedOfTheStoreIfNobodyAnswers(t *testing.T) {
	r := &keyAuthority{
		tracker: authority.NewTracker(time.Second), now: time.Now, exact: time.Now, revision: func() int64 { return 7 }, log: logr.Discard(),
		responds: func() bool { return false },
	}
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	defer stop()
	asked := 0
	r.monitor(ctx, time.Second, func(context.Context) {
		asked++
		r.storeConfirmed(time.Now(), 7)
		if asked == 2 {
			stop()
		}
	})
	require.Equal(t, 2, asked)
	require.True(t, r.current(7))
}

// TestOneStandsInWhereAllHaveStarted has no holder of the lease yet. Once there is one, it
// adds up in place of the other.
func TestOneStandsInWhereAllHaveStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	holds := false
	two := func() int { return 2 }
	begun := func(process string, holds func() bool) *allowances {
		a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, process, holds, two, func() time.Time { return now })
		a.setLimits(limitedTree())
		return a
	}
	strong, other := begun("p1", func() bool { return false }), begun("p2", func() bool { return holds })
	require.Empty(t, strong.announcements(), "nobody needs it yet")
	exchange(strong, other)
	now = now.Add(100 * time.Millisecond)
	words := strong.announcements()
	require.NotEmpty(t, words, "all have told that they have never heard an adder")
	other.receive(words[0])
	require.False(t, other.lacksAggregator())
	require.Empty(t, other.announcements())

	holds = true
	words = other.announcements()
	if len(words) == 0 {
		p := peer.Packet{From: "a", Process: "pa"}
		other.receive(p)
		words = other.announcements()
	}
	require.NotEmpty(t, words)
	strong.receive(words[0])
	require.Empty(t, strong.announcements(), "the holder of the lease adds up now")
}

// TestNobodyStandsInForOthersThatGoOn hears few that have never heard an adder.
func TestNobodyStandsInForOthersThatGoOn(t *testing.T) {
	now := time.Unix(1000, 0)
	a := newAllowances(AllowanceConfig{WindowS: 8, OverFraction: 0.1}, "p1", func() bool { return false }, func() int { return 10 }, func() time.Time { return now })
	a.setLimits(limitedTree())
	for _, from := range []string{"a", "b", "c", "d", "e"} {
		a.receive(peer.Packet{From: from, Process: from, NoAggregator: true})
	}
	require.Empty(t, a.announcements())
}

// TestOneOfTwoThatStandInGivesWay lets two instances be told that nobody adds up.
func TestOneOfTwoThatStandInGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	begun := func(process string) *allowances {
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
	first, second := begun("p1"), begun("p2")
	one, two := first.announcements(), second.announcements()
	require.NotEmpty(t, one)
	require.NotEmpty(t, two)
	first.receive(two[0])
	second.receive(one[0])
	require.NotEqual(t, len(first.announcements()) == 0, len(second.announcements()) == 0, "one goes on")
}

// TestStrongestAreAskedToStandIn knows a machine that is gone among them.
func TestStrongestAreAskedToStandIn(t *testing.T) {
	m := &mesh{instance: "d", now: time.Now, listed: map[string]presence{}, onInstanceCount: func(int) {}}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		m.updateInstance(name, &presence{Datagrams: name, Cores: 0.8})
	}
	m.updateInstance("weak", &presence{Datagrams: "weak", Cores: 0.2})
	require.Equal(t, []string{"a", "b", "c"}, m.strongestAddresses())
}

// countedLink counts what waits on a link, and keeps the most that waited when a packet went
// out that tells of allowances.
type countedLink struct {
	sealer          *peer.Sealer
	waiting, behind int
	// sums holds the endpoints of which a packet has told.
	sums map[string]bool
}

// drain is what the link carries meanwhile.
func (l *countedLink) drain(bytes float64) { l.waiting = max(l.waiting-int(bytes), 0) }

func (l *countedLink) Send(_ string, sealed []byte) {
	l.waiting += len(sealed)
	plain, err := l.sealer.Open(sealed)
	if err != nil {
		// The same packet goes to many; only the first is taken.
		return
	}
	p, err := peer.DecodePacket(plain)
	for _, sum := range p.Totals {
		l.sums[sum.Endpoint] = true
	}
	if err == nil && p.Aggregator != 0 {
		l.behind = max(l.behind, l.waiting)
	}
}

func (l *countedLink) Close() {}

// goes is how often the hub tells all sums in a test: what is left on the link of one go adds up
// in the next ones.
const goes = 20

// secondsUntilTold is how long the words of allowances wait at most on a link of so many Mbit/s
// behind what the holder of the lease has sent before, over some rounds of sums.
func secondsUntilTold(t *testing.T, instances, endpoints int, mbits float64) float64 {
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
	link := &countedLink{sealer: opener, sums: map[string]bool{}}
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
	for range goes {
		m.announceAll()
		link.drain(m.linkBytesPerSecond * m.announceInterval().Seconds())
	}
	require.NotZero(t, link.behind)
	require.Len(t, link.sums, endpoints, "all sums are told")
	return float64(link.behind) / m.linkBytesPerSecond
}

// mostUntilTold is half of the time for which a word counts, in seconds: instances go without
// a word, and refuse what is within the limits, if two in a row come too late.
const mostUntilTold = 0.45

// TestAllowancesAreToldInTimeAtTheTarget has the sizes of the two-year target.
func TestAllowancesAreToldInTimeAtTheTarget(t *testing.T) {
	require.LessOrEqual(t, secondsUntilTold(t, 390, 720, 200), mostUntilTold)
}

// TestAllowancesAreToldInTimeInTheSweep has those of the sweep's largest day, which is to
// serve at least 0.7 of what the one at 30 instances serves.
func TestAllowancesAreToldInTimeInTheSweep(t *testing.T) {
	require.LessOrEqual(t, secondsUntilTold(t, 300, 3000, 200), mostUntilTold)
}

// TestAllSumsAreTold has links on which several packets of sums go in one tick: each must fit
// its datagram, as one that does not is not sent.
func TestAllSumsAreTold(t *testing.T) {
	for _, size := range []struct{ instances, endpoints int }{{20, 300}, {90, 140}, {295, 720}} {
		secondsUntilTold(t, size.instances, size.endpoints, 1000)
	}
}
