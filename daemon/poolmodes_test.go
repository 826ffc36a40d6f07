package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/credit"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// pooledInstances are instances that each send requests to the only endpoint of a pool; the first
// is the coordinator.
type pooledInstances struct {
	now     time.Time
	modes   []*poolModes
	routers []*routing.Router
}

func newPooledInstances(instances int) *pooledInstances {
	f := &pooledInstances{now: time.Unix(1000, 0)}
	for range instances {
		r := routing.NewRouter(routing.Policies()[routing.PolicyTimely], func() float64 { return 0 })
		e := &routing.Endpoint{Name: "e", Pool: "plain", Concurrency: 6}
		r.SetView(&routing.View{Pools: map[string][]*routing.Endpoint{"plain": {e}}, ByName: map[string]*routing.Endpoint{"e": e}, Instances: instances})
		lender := credit.NewLender(credit.Config{Self: "n", Process: "p", OnWant: func() {}, Running: r.Running})
		r.SetLending(routing.Lending{Lender: lender, InstancesAbove: smallFleetSize, Now: func() time.Time { return f.now }})
		f.routers, f.modes = append(f.routers, r), append(f.modes, &poolModes{router: r})
	}
	return f
}

// serve has an instance send a request that the endpoint takes some time for.
func (f *pooledInstances) serve(t *testing.T, instance int, took time.Duration) {
	r := f.routers[instance]
	d, err := r.Pick(&routing.Request{Pool: "plain", Now: f.now})
	require.NoError(t, err)
	r.RecordServed(f.now.Add(took), &d)
	r.Release(&d)
}

// exchange has all instances report, and the coordinator announce what it decides, as the fleet has
// the given number of requests at the endpoint.
func (f *pooledInstances) exchange(t *testing.T, running int64) {
	for _, n := range f.modes {
		var p peer.Packet
		n.addSamples(f.now, &p)
		f.modes[0].receiveSamples(f.now, travelPools(t, p).PoolSamples)
	}
	var p peer.Packet
	f.modes[0].addModes(f.now, []peer.EndpointLoad{{Endpoint: "e", Running: running}}, &p)
	for _, n := range f.modes[1:] {
		n.receiveModes(f.now, travelPools(t, p).PoolModes)
	}
}

// travelPools encodes and decodes a packet.
func travelPools(t *testing.T, p peer.Packet) peer.Packet {
	p.Version = peer.PacketVersion
	return travel(t, p)
}

// lending returns how many instances count places as lent.
func (f *pooledInstances) lending() (n int) {
	for _, r := range f.routers {
		if r.LendsPlaces(f.now, "plain") {
			n++
		}
	}
	return n
}

// TestInstancesAgreeWhetherPlacesAreLent guards against instances of which some lend places and
// some do not: a request of one of them took a second, and others waited at the full endpoint.
func TestInstancesAgreeWhetherPlacesAreLent(t *testing.T) {
	const instances, perSecond = 40, 7
	f := newPooledInstances(instances)
	for range 10 {
		for i := range instances {
			for range perSecond {
				f.serve(t, i, 15*time.Millisecond)
			}
		}
		f.serve(t, 3, time.Second)
		f.serve(t, 4, 80*time.Millisecond)
		for range 5 {
			f.now = f.now.Add(200 * time.Millisecond)
			f.exchange(t, 18)
		}
	}
	require.Zero(t, f.lending(), "280 requests a second have six places")

	for range 30 {
		for i := range instances {
			f.serve(t, i, 15*time.Millisecond)
		}
		for range 5 {
			f.now = f.now.Add(200 * time.Millisecond)
			f.exchange(t, 18)
		}
	}
	require.Equal(t, instances, f.lending(), "40 requests a second have six places")
}

// TestInstanceWithoutCoordinatorGoesByItself checks that a decision ends with the coordinator that
// repeats it.
func TestInstanceWithoutCoordinatorGoesByItself(t *testing.T) {
	f := newPooledInstances(20)
	f.modes[1].receiveModes(f.now, []credit.PoolMode{{Pool: "plain", Lent: true, Micros: 60_000}, {Pool: "unknown", Lent: true}})
	require.True(t, f.routers[1].LendsPlaces(f.now, "plain"))
	require.False(t, f.routers[1].LendsPlaces(f.now, "unknown"))
	f.now = f.now.Add(time.Minute)
	require.False(t, f.routers[1].LendsPlaces(f.now, "plain"))
}

// TestNextCoordinatorRepeatsWhatWasDecided guards against restarted instances that go by themselves
// until another coordinator has observed enough, while all others go by the decision of the former.
func TestNextCoordinatorRepeatsWhatWasDecided(t *testing.T) {
	f := newPooledInstances(20)
	decided := credit.PoolMode{Pool: "plain", Lent: true, Micros: 60_000}
	f.modes[1].receiveModes(f.now, []credit.PoolMode{decided})
	for range 20 {
		f.now = f.now.Add(time.Second)
		var p peer.Packet
		f.modes[1].addModes(f.now, nil, &p)
		f.modes[2].receiveModes(f.now, travelPools(t, p).PoolModes)
	}
	require.False(t, f.routers[1].LendsPlaces(f.now, "plain"), "it does not repeat it for ever")
	f.modes[1].receiveModes(f.now, []credit.PoolMode{decided})
	f.now = f.now.Add(time.Second)
	var p peer.Packet
	f.modes[1].addModes(f.now, nil, &p)
	require.Equal(t, []credit.PoolMode{decided}, p.PoolModes)
	f.modes[2].receiveModes(f.now, travelPools(t, p).PoolModes)
	require.True(t, f.routers[2].LendsPlaces(f.now, "plain"))
}

// TestPoolsOfManyNamesFitAPacket guards against a packet that is too large and so never sent.
func TestPoolsOfManyNamesFitAPacket(t *testing.T) {
	const pools = 300
	f := newPooledInstances(20)
	view := f.routers[0].View()
	for i := range pools {
		name := string(rune('A'+i%26)) + "-pool-with-a-long-name-" + time.Duration(i).String()
		e := &routing.Endpoint{Name: name, Pool: name, Concurrency: 6}
		view.Pools[name], view.ByName[name] = []*routing.Endpoint{e}, e
	}
	for name := range view.Pools {
		d, err := f.routers[0].Pick(&routing.Request{Pool: name, Now: f.now})
		require.NoError(t, err)
		f.routers[0].Release(&d)
	}
	p := peer.Packet{Version: peer.PacketVersion}
	f.modes[0].addSamples(f.now, &p)
	require.NotEmpty(t, p.PoolSamples)
	require.Less(t, len(p.PoolSamples), pools)
	require.Len(t, travel(t, p).PoolSamples, len(p.PoolSamples))
	told := map[string]bool{}
	for range pools {
		for _, s := range p.PoolSamples {
			require.False(t, told[s.Pool], "each request counts once")
			told[s.Pool] = true
		}
		f.now = f.now.Add(poolModesInterval)
		f.modes[0].addSamples(f.now, &p)
	}
	require.Equal(t, len(view.Pools), len(told), "what does not fit is told later")
}
