package daemon

import (
	"expvar"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/placement/counted"
)

// outlookFleet is a lease holder and two other instances, which exchange encoded packets.
type outlookFleet struct {
	now    time.Time
	seq    uint64
	holder *outlooks
	others [2]*outlooks
}

func newOutlookFleet() *outlookFleet {
	f := &outlookFleet{now: time.Unix(1000, 0)}
	instance := func(holder bool) *outlooks {
		o := newOutlooks(NodeOutlook{Enabled: true, Queues: true, PlacesPerReplica: 10}, &pipeline.Promises{}, func() time.Time { return f.now }, new(expvar.Map).Init())
		o.isHolder = func() bool { return holder }
		return o
	}
	f.holder, f.others = instance(true), [2]*outlooks{instance(false), instance(false)}
	return f
}

// pass sends a packet from one instance to others as the mesh does.
func (f *outlookFleet) pass(t *testing.T, p peer.Packet, from string, to ...*outlooks) {
	t.Helper()
	f.seq++
	p.Version, p.From, p.Process, p.Seq = peer.PacketVersion, from, from, f.seq
	data, err := peer.EncodePacket(p)
	require.NoError(t, err)
	require.LessOrEqual(t, len(data), peer.MaxPacketBytes)
	got, err := peer.DecodePacket(data)
	require.NoError(t, err)
	for _, o := range to {
		o.receive(got, false)
	}
}

// round lets the other instances report what waits there, and the holder announce.
func (f *outlookFleet) round(t *testing.T, waiting map[string]map[int]int) {
	t.Helper()
	f.now = f.now.Add(100 * time.Millisecond)
	for i, o := range f.others {
		var p peer.Packet
		o.report(&p, waiting)
		f.pass(t, p, fmt.Sprint(i), f.holder)
	}
	p := peer.Packet{Instances: 3}
	if f.holder.announcement(&p) {
		f.pass(t, p, "holder", f.others[0], f.others[1])
	}
}

// TestForecastReachesAllInstances guards against callers who are held at other instances than the
// one that places units, for a load of which that one knows.
func TestForecastReachesAllInstances(t *testing.T) {
	f := newOutlookFleet()
	f.holder.setLoads("p", map[string]counted.LoadForecast{"m": {ReadyAt: f.now.Add(3800 * time.Millisecond), ExpectedAt: f.now.Add(3800 * time.Millisecond)}})
	f.round(t, nil)
	for _, o := range append(f.others[:], f.holder) {
		got, known := o.Look(f.now, "m", 1)
		require.True(t, known)
		require.Equal(t, outlook.Forecast{In: 3700 * time.Millisecond, NoReplica: true}, got)
	}
	f.now = f.now.Add(loadsExpiry)
	f.round(t, nil)
	_, known := f.others[0].Look(f.now, "m", 1)
	require.False(t, known, "the holder's placer is silent, and its forecast is not repeated")
}

// TestPromiseIsKeptAtAnotherInstance guards against a caller that comes back in its slot to an
// instance that knows nothing of its promise.
func TestPromiseIsKeptAtAnotherInstance(t *testing.T) {
	const request = 4711
	f := newOutlookFleet()
	f.holder.setLoads("p", map[string]counted.LoadForecast{"m": {ReadyAt: f.now.Add(time.Second), ExpectedAt: f.now.Add(time.Second)}})
	f.round(t, nil)
	since := f.now.Add(-200 * time.Millisecond)
	at, ok := f.others[0].Reserve(f.now, "m", outlook.Caller{Request: request, Since: since}, f.now.Add(4*time.Second))
	require.True(t, ok)
	f.round(t, nil)
	returned := f.others[1].returns.Take(at, request)
	require.True(t, returned.InTime)
	require.WithinDuration(t, since, returned.Since, time.Millisecond, "its place in the queue")
}

// TestQueueIsForecast guards against a queue that is known at no instance: what starts and waits
// at two instances is summed up.
func TestQueueIsForecast(t *testing.T) {
	f := newOutlookFleet()
	waiting := map[string]map[int]int{"m": {1: 10}}
	for range 12 {
		for range 2 {
			f.others[0].CountStart("m")
		}
		f.round(t, waiting)
	}
	got, known := f.others[1].Look(f.now, "m", 1)
	require.True(t, known)
	require.False(t, got.NoReplica)
	require.InDelta(t, 776, got.In.Milliseconds(), 120, "20 wait, and 20 start in a second")
}

// TestNoForecastWithoutLease guards against refusals by what an instance knew while it placed units:
// with the store down its lease lapses, nobody tells anything, and requests wait as before.
func TestNoForecastWithoutLease(t *testing.T) {
	f := newOutlookFleet()
	load := map[string]counted.LoadForecast{"m": {ReadyAt: f.now.Add(time.Minute), ExpectedAt: f.now.Add(time.Minute)}}
	f.holder.setLoads("p", load)
	f.round(t, nil)
	_, known := f.others[0].Look(f.now, "m", 1)
	require.True(t, known)
	f.holder.isHolder = func() bool { return false }
	for range 10 {
		f.holder.setLoads("p", load)
		f.round(t, map[string]map[int]int{"m": {1: 10}})
	}
	for _, o := range append(f.others[:], f.holder) {
		_, known = o.Look(f.now, "m", 1)
		require.False(t, known)
	}
}

// TestForecastsInFleetsOfAnySize guards against callers of a small fleet that are held for a load
// which cannot end in their time, and are called back at a guess, while the lease holder knows when
// it ends.
func TestForecastsInFleetsOfAnySize(t *testing.T) {
	for _, size := range []int{3, smallFleetSize + 1} {
		f := newOutlookFleet()
		m := &mesh{now: func() time.Time { return f.now }, listed: map[string]presence{}, onInstanceCount: func(int) {}, isHolder: func() bool { return true }}
		for i := range size {
			m.updateInstance(fmt.Sprint(i), &presence{})
		}
		f.holder.connect(m)
		f.holder.setLoads("p", map[string]counted.LoadForecast{"m": {ReadyAt: f.now.Add(time.Minute), ExpectedAt: f.now.Add(time.Minute)}})
		var p peer.Packet
		require.True(t, f.holder.announcement(&p), "%d instances", size)
	}
	require.Nil(t, newOutlooks(NodeOutlook{}, nil, nil, nil).forPipeline(), "nothing unless it is switched on")
}

// TestFullReportFitsADatagram guards against packets that are not sent: contention of more units
// than a packet has room for, with more promises.
func TestFullReportFitsADatagram(t *testing.T) {
	f := newOutlookFleet()
	waiting, loads := map[string]map[int]int{}, map[string]counted.LoadForecast{}
	for i := range 200 {
		unit := fmt.Sprintf("abcd%06x/a%02d", i, i)
		waiting[unit] = map[int]int{1: 100, 2: 300, 3: 20_000}
		loads[unit] = counted.LoadForecast{ReadyAt: f.now.Add(time.Minute)}
		f.others[0].CountStart(unit)
	}
	f.holder.setLoads("p", loads)
	f.round(t, waiting)
	f.round(t, waiting)
	for i := range uint32(300) {
		for unit := range loads {
			f.others[0].Reserve(f.now, unit, outlook.Caller{Request: 1<<31 + i}, f.now.Add(time.Hour))
		}
	}
	f.round(t, waiting)
	f.round(t, nil)
	f.round(t, nil)
}

// TestRefusedRequestsStillCountAsDemand guards against a unit that is never loaded because all
// who ask for it are refused at once.
func TestRefusedRequestsStillCountAsDemand(t *testing.T) {
	f := newOutlookFleet()
	o := f.others[0]
	o.CountRefusal(f.now, "m", outlook.Forecast{NoReplica: true})
	o.CountRefusal(f.now, "queued", outlook.Forecast{})
	waiting := map[string]int{"m": 2}
	o.addRefused(waiting)
	require.Equal(t, map[string]int{"m": 3}, waiting)
	f.now = f.now.Add(refusedDemandTime)
	waiting = map[string]int{}
	o.addRefused(waiting)
	require.Empty(t, waiting)
	require.Empty(t, o.refusedAt)
}
