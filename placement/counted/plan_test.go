package counted

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var planStart = time.Unix(1000, 0)

// cell is a controller over endpoints that hold three models each.
type cell struct {
	c   *Controller
	now time.Time
}

// newCell takes the units that each endpoint holds, and the models that are also on its
// disk.
func newCell(models int, held map[string][]string, disk map[string][]string) *cell {
	s := &cell{c: NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1}), now: planStart}
	cfg := CellSettings{CapacityMB: 220, AdapterSlots: 2, LoadsPerSecond: 2}
	for i := range models {
		cfg.Units = append(cfg.Units, Unit{Name: modelName(i), MemoryMB: 70, StoreLoadTime: 9 * time.Second, DiskLoadTime: 2 * time.Second})
	}
	cfg.Units = append(cfg.Units, Unit{Name: "m0/a1", Base: "m0", MemoryMB: 1}, Unit{Name: "m0/a2", Base: "m0", MemoryMB: 1}, Unit{Name: "m0/a3", Base: "m0", MemoryMB: 1})
	s.step(cfg)
	var l MemberList
	for _, name := range sortedNames(held) {
		l.Members = append(l.Members, Member{Name: name})
	}
	s.step(l)
	s.step(LeaseAcquired{Epoch: 1})
	for _, name := range sortedNames(held) {
		s.step(ReportReply{Endpoint: name, RequestedAt: s.now, Report: &Report{Resident: held[name], OnDisk: append(slices.Clone(held[name]), disk[name]...)}})
	}
	return s
}

func modelName(i int) string { return "m" + string(rune('0'+i)) }

func (s *cell) step(e Event) []Action { return s.c.Step(s.now, e) }

// demand reports a steady demand for long enough to count as warmed up.
func (s *cell) demand(rate map[string]float64, waiting map[string]int) {
	for range 30 {
		s.now = s.now.Add(100 * time.Millisecond)
		s.c.demand.observe(s.now, demandNow(s.now, rate, waiting))
	}
}

// demandNow returns a demand report for units that are all being requested now.
func demandNow(now time.Time, rate map[string]float64, waiting map[string]int) DemandReport {
	d := DemandReport{Rate: rate, Waiting: waiting, LastRequestAt: map[string]time.Time{}}
	for unit := range rate {
		d.LastRequestAt[unit] = now
	}
	for unit := range waiting {
		d.LastRequestAt[unit] = now
	}
	return d
}

func (s *cell) plan() []Move { return s.c.plan(s.now) }

func find(moves []Move, op Op, unit string) *Move {
	i := slices.IndexFunc(moves, func(m Move) bool { return m.Op == op && m.Unit == unit })
	if i < 0 {
		return nil
	}
	return &moves[i]
}

func TestFirstRequestsEvictNothing(t *testing.T) {
	s := newCell(4, map[string][]string{"e1": {"m0", "m1", "m2"}, "e2": {"m0", "m1", "m3"}}, nil)
	s.now = s.now.Add(100 * time.Millisecond)
	s.c.demand.observe(s.now, demandNow(s.now, map[string]float64{"m2": 90000}, nil))
	for _, m := range s.plan() {
		require.Equal(t, ReasonSpare, m.Reason, "%v", m)
		require.Equal(t, OpLoad, m.Op, "%v", m)
		require.NotEmpty(t, s.c.units[m.Unit].Base, "only adapters, into free slots: %v", m)
	}
}

// TestAdaptersArePreloaded guards against loading adapters only on
// request: while its engine loads a model, an endpoint accepts no adapter.
func TestAdaptersArePreloaded(t *testing.T) {
	s := newCell(2, map[string][]string{"e1": {"m0"}, "e2": {"m1"}}, nil)
	loaded := map[string]bool{}
	for range 4 {
		for _, m := range s.plan() {
			if m.Op == OpLoad && m.Reason == ReasonSpare && s.c.units[m.Unit].Base != "" {
				require.Equal(t, "e1", m.Endpoint)
				loaded[m.Unit] = true
				s.c.endpoints["e1"].resident[m.Unit] = true
			}
		}
	}
	require.Len(t, loaded, 2, "as many as there are slots")
}

func TestBusyModelGetsAReplica(t *testing.T) {
	s := newCell(4, map[string][]string{"e1": {"m0", "m1", "m2"}, "e2": {"m0", "m1", "m3"}}, map[string][]string{"e2": {"m2"}})
	s.demand(map[string]float64{"m2": 90000, "m1": 9000}, nil)
	moves := s.plan()
	m := find(moves, OpUnload, "m0")
	require.NotNil(t, m, "%v", moves)
	require.Equal(t, "e2", m.Endpoint)
	require.Equal(t, "m2", m.For)
}

// TestUnrequestedModelIsPreloaded guards against a model that has no replica while memory is
// free, and against one that takes memory from busy ones although nobody requests it.
func TestUnrequestedModelIsPreloaded(t *testing.T) {
	held := map[string][]string{"e1": {"m0", "m1", "m0/a1", "m0/a2"}, "e2": {"m0", "m1", "m0/a3"}}
	busy := map[string]float64{"m0": 50000, "m1": 60000}
	s := newCell(3, held, map[string][]string{"e1": {"m2"}})
	s.demand(busy, nil)
	m := find(s.plan(), OpLoad, "m2")
	require.NotNil(t, m)
	require.Equal(t, "e1", m.Endpoint, "it has a copy on its disk")
	require.Equal(t, ReasonSpare, m.Reason, "the memory is free")
	held["e1"], held["e2"] = append(held["e1"], "m3"), append(held["e2"], "m4")
	s = newCell(5, held, map[string][]string{"e1": {"m2"}})
	s.demand(busy, nil)
	require.Empty(t, s.plan(), "it can be loaded from a disk once it is requested")
}

// TestLeastRecentlyRequestedModelIsReplaced guards against unloading the only replica of a model
// that was requested a moment ago, and is likely to be again, while another has long been idle.
func TestLeastRecentlyRequestedModelIsReplaced(t *testing.T) {
	for idle, recent := range map[string]string{"m1": "m2", "m2": "m1"} {
		s := newCell(4, map[string][]string{"e1": {"m1", "m2", "m3"}, "e2": {"m0"}}, map[string][]string{"e1": {"m0"}})
		s.demand(map[string]float64{"m0": 90000, idle: 10, recent: 10, "m3": 10}, nil)
		s.demand(map[string]float64{"m0": 90000, recent: 10, "m3": 10}, nil)
		s.demand(map[string]float64{"m0": 90000, "m3": 10}, nil)
		m := find(s.plan(), OpUnload, idle)
		require.NotNil(t, m, "%v", s.plan())
		require.Equal(t, "m0", m.For)
	}
}

// TestIdleModelIsReplacedAndReloaded unloads the only replica of a model without requests
// for a busy one, and loads it again once it is requested.
func TestIdleModelIsReplacedAndReloaded(t *testing.T) {
	s := newCell(9, map[string][]string{"e1": {"m0", "m7", "m8"}, "e2": {"m1", "m2", "m3"}}, map[string][]string{"e1": {"m4", "m5", "m6"}})
	s.demand(map[string]float64{"m1": 90000, "m2": 50, "m3": 50, "m7": 10, "m8": 10}, nil)
	m := find(s.plan(), OpUnload, "m0")
	require.NotNil(t, m, "the only one that nobody requests")
	require.Equal(t, "m1", m.For)
	s.c.endpoints["e1"].resident = setOf([]string{"m7", "m8"})
	s.c.endpoints["e1"].pruneDerived(s.now)
	s.demand(map[string]float64{"m1": 90000, "m0": 10}, map[string]int{"m0": 1})
	moves := s.plan()
	require.NotNil(t, find(moves, OpLoad, "m0"), "%v", moves)
}

func TestReplicaInUseIsNotUnloaded(t *testing.T) {
	s := newCell(5, map[string][]string{"e1": {"m0", "m3", "m4"}, "e2": {"m1", "m2"}}, nil)
	s.demand(map[string]float64{"m1": 90000, "m0": 400, "m3": 400, "m4": 400, "m2": 100}, nil)
	for _, m := range s.plan() {
		require.NotEqual(t, OpUnload, m.Op, "%v", m)
	}
}

// TestFreedMemoryIsReservedForItsModel guards against using memory that was freed for one
// model for another idle one without a replica.
func TestFreedMemoryIsReservedForItsModel(t *testing.T) {
	s := newCell(5, map[string][]string{"e1": {"m0", "m3"}, "e2": {"m1", "m2", "m0"}}, map[string][]string{"e1": {"m4"}})
	e := s.c.endpoints["e1"]
	e.reserved, e.reservedAt = "m1", s.now.Add(3*time.Second)
	s.demand(map[string]float64{"m1": 90000}, nil)
	moves := s.plan()
	require.NotNil(t, find(moves, OpLoad, "m1"), "%v", moves)
	require.Nil(t, find(moves, OpLoad, "m4"), "%v", moves)
}

func TestAdapterIsWithdrawnBeforeItIsUnloaded(t *testing.T) {
	s := newCell(1, map[string][]string{"e1": {"m0", "m0/a1", "m0/a2"}}, nil)
	s.demand(map[string]float64{"m0/a3": 5000, "m0/a1": 4000}, map[string]int{"m0/a3": 1})
	actions := s.step(Tick{})
	var announced AnnounceUnits
	for _, a := range actions {
		if announcement, ok := a.(AnnounceUnits); ok {
			announced = announcement
		}
		_, sent := a.(SendOrder)
		require.False(t, sent, "no order before the withdrawal is announced")
	}
	require.Equal(t, []string{"m0/a2"}, announced.Draining, "the adapter without requests")
	s.now = s.now.Add(withdrawalDelay)
	require.Contains(t, s.step(Tick{}), SendOrder{Endpoint: "e1", Order: Order{Op: OpUnload, Unit: "m0/a2", Epoch: 1}})
}

func TestRefusedConnectionsMarkEndpointLost(t *testing.T) {
	s := newCell(3, map[string][]string{"e1": {"m0"}, "e2": {"m1"}}, map[string][]string{"e2": {"m0"}})
	s.step(RequestsFailed{Endpoints: []string{"e1"}})
	s.step(ReportReply{Endpoint: "e1", RequestedAt: s.now, ConnectionRefused: true})
	require.False(t, s.c.endpoints["e1"].lost, "a single refusal may be accidental")
	s.now = s.now.Add(refusedRetryInterval)
	s.step(ReportReply{Endpoint: "e1", RequestedAt: s.now, ConnectionRefused: true})
	require.True(t, s.c.endpoints["e1"].lost)
	s.demand(map[string]float64{"m0": 5000}, map[string]int{"m0": 1})
	m := find(s.plan(), OpLoad, "m0")
	require.NotNil(t, m)
	require.Equal(t, "e2", m.Endpoint)
}

// TestSuccessorDelaysFirstOrder guards against a successor that sends orders before the previous
// holder's last order is old enough. It may request reports at once.
func TestSuccessorDelaysFirstOrder(t *testing.T) {
	s := newCell(3, map[string][]string{"e1": {"m0"}}, map[string][]string{"e1": {"m1"}})
	s.step(LeaseLost{})
	s.step(LeaseAcquired{Epoch: 2, HasPredecessor: true, OrderDelay: time.Second})
	s.step(ReportReply{Endpoint: "e1", RequestedAt: s.now, Report: &Report{Resident: []string{"m0"}, OnDisk: []string{"m1"}}})
	sends := func() int {
		n := 0
		for _, a := range s.step(demandNow(s.now, map[string]float64{"m1": 9000}, map[string]int{"m1": 1})) {
			if _, sent := a.(SendOrder); sent {
				n++
			}
		}
		return n
	}
	s.now = s.now.Add(900 * time.Millisecond)
	require.Zero(t, sends())
	s.now = s.now.Add(200 * time.Millisecond)
	require.Positive(t, sends())
}

// TestReplacedEndpointIsExcluded guards against report requests and orders to an endpoint
// whose address another incarnation has, for each way in which the controller learns of
// it.
func TestReplacedEndpointIsExcluded(t *testing.T) {
	for name, replace := range map[string]func(s *cell){
		"reported by an instance": func(s *cell) { s.step(EndpointsReplaced{Endpoints: []string{"e1"}}) },
		"an order reached another incarnation": func(s *cell) {
			e := s.c.endpoints["e1"]
			send := s.c.send(e, Order{Op: OpLoad, Unit: "m2"})
			s.step(OrderEnded{Endpoint: "e1", Order: send.Order, Result: Replaced})
		},
		"its process was gone and a new one reports": func(s *cell) {
			s.c.endpoints["e1"].orderCount = 5
			for range lostAfterRefusals {
				s.step(ReportReply{Endpoint: "e1", RequestedAt: s.now, ConnectionRefused: true})
			}
			s.step(ReportReply{Endpoint: "e1", RequestedAt: s.now, Report: &Report{}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCell(4, map[string][]string{"e1": {"m0"}, "e2": {"m1"}}, nil)
			replace(s)
			require.True(t, s.c.endpoints["e1"].excluded())
			s.now = s.now.Add(time.Minute)
			for _, a := range s.step(demandNow(s.now, map[string]float64{"m0": 9000}, map[string]int{"m0": 1})) {
				switch a := a.(type) {
				case RequestReport:
					require.NotEqual(t, "e1", a.Endpoint)
				case SendOrder:
					require.NotEqual(t, "e1", a.Endpoint)
				}
			}
		})
	}
}

// TestUnrequestedModelsEvictOneReplicaAtATime loses the only replicas of three models at
// once. Without requests, only one of them at a time may replace a replica of a busy
// model.
func TestUnrequestedModelsEvictOneReplicaAtATime(t *testing.T) {
	s := newCell(6, map[string][]string{"e1": {"m0", "m1", "m2"}, "e2": {"m0", "m1", "m2"}, "e3": {"m0", "m1", "m2"}}, nil)
	busy := map[string]float64{"m0": 90000, "m1": 90000, "m2": 90000}
	evictions := func(moves []Move) int {
		n := 0
		for _, m := range moves {
			if m.Op == OpUnload && slices.Contains([]string{"m3", "m4", "m5"}, m.For) {
				n++
			}
		}
		return n
	}
	s.demand(busy, nil)
	require.Equal(t, 1, evictions(s.plan()))
	s.demand(busy, map[string]int{"m3": 1, "m4": 1, "m5": 1})
	require.Equal(t, 3, evictions(s.plan()))
}

// TestThresholdsScaleWithFleetSize guards against thresholds that fit one fleet size only.
// A model with three even shares of all demand on a single replica gets another one at
// any size, a model with a hundredth of an even share does not.
func TestThresholdsScaleWithFleetSize(t *testing.T) {
	for _, size := range []int{4, 12, 140, 720} {
		held := map[string][]string{}
		for i := range size {
			held[fmt.Sprintf("e%03d", i)] = []string{"m2"}
		}
		held["e000"] = []string{"m0", "m1"}
		s := newCell(3, held, map[string][]string{"e001": {"m0", "m1"}, "e002": {"m0", "m1"}})
		const all = 1e6
		even := all / float64(size)
		s.demand(map[string]float64{"m1": 3 * even, "m0": even / 100, "m2": all - 3.01*even}, nil)
		moves := s.plan()
		m := find(moves, OpLoad, "m1")
		require.NotNil(t, m, "%d endpoints", size)
		require.Equal(t, ReasonDemand, m.Reason)
		require.Nil(t, find(moves, OpLoad, "m0"), "%d endpoints", size)
	}
}

// TestIsolatedHolderWithdrawsNothing isolates the lease holder from the other
// instances. It may load into free memory, but must not withdraw units that the others
// go on to use.
func TestIsolatedHolderWithdrawsNothing(t *testing.T) {
	held := map[string][]string{"a": {"m0", "m1", "m2"}, "b": {"m0", "m1", "m3"}, "c": {"m0"}}
	moves := func(isolated bool) (loads, withdrawn int) {
		s := newCell(6, held, nil)
		s.demand(map[string]float64{"m4": 90_000, "m5": 80_000}, map[string]int{"m4": 3, "m5": 3})
		s.c.isolated = isolated
		for _, m := range s.plan() {
			if m.Op == OpUnload {
				withdrawn++
				continue
			}
			loads++
		}
		return loads, withdrawn
	}
	_, withdrawn := moves(false)
	require.Positive(t, withdrawn)
	loads, withdrawn := moves(true)
	require.Zero(t, withdrawn)
	require.Positive(t, loads)
}

// TestPlanForThousandsIsBounded guards against a plan that blocks the lease holder: with
// demand rising for all models at once, an unbounded plan took 28 s, in which the holder
// neither sent nor received anything. The first plan loads what has no replica and stays
// within its bound on endpoint visits; later plans do the rest.
func TestPlanForThousandsIsBounded(t *testing.T) {
	const endpoints, models, phases = 3000, 196, 3
	c, now := benchController(endpoints, models, 0)
	c.nextPlanAt = now.Add(time.Hour)
	for i, e := range c.sortedEndpoints {
		*e = *newEndpoint(e.Member, now)
		resident := []string{"m000", "m001", fmt.Sprintf("m%03d", 2+i%(models-3))}
		c.Step(now, ReportReply{Endpoint: e.Name, RequestedAt: now, Report: &Report{Resident: resident, OnDisk: append(resident, "m195", "m002", "m003")}})
	}
	rate := map[string]float64{}
	for i := range models {
		rate[fmt.Sprintf("m%03d", i)] = 100_000
	}
	for range 3 {
		now = now.Add(2 * time.Second)
		c.nextPlanAt = now.Add(time.Hour)
		c.Step(now, demandNow(now, rate, nil))
	}
	c.demand.waiting = map[string]int{"m195": 1}
	seen := map[string]bool{}
	before := 0
	for range 3 {
		p := c.makePlan(now)
		require.LessOrEqual(t, p.totalVisits, phases*(maxEndpointVisits+2*endpoints))
		require.NotEmpty(t, p.moves)
		if len(seen) == 0 {
			require.Equal(t, "m195", p.moves[0].For, "room for the model without a replica")
		}
		for _, m := range p.moves {
			seen[m.Endpoint] = true
			c.execute(now, m)
		}
		require.Greater(t, len(seen), before, "the next plan uses further endpoints")
		before = len(seen)
	}
}

// TestLoadCountsFromEndOfOrder guards against exceeding the weight store's rate
// with an order that is in flight for long, as after a plan that took seconds. The load
// counts from the end of the order, not from the decision.
func TestLoadCountsFromEndOfOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewController(Config{RateWindow: 5 * time.Second, RateFactor: 1})
	cfg := CellSettings{CapacityMB: 100, LoadsPerSecond: 0.2}
	for _, name := range []string{"m1", "m2"} {
		cfg.Units = append(cfg.Units, Unit{Name: name, MemoryMB: 70, StoreLoadTime: time.Second})
	}
	c.Step(now, cfg)
	c.Step(now, MemberList{Members: []Member{{Name: "e1"}, {Name: "e2"}}})
	c.Step(now, LeaseAcquired{Epoch: 1})
	loads := func(actions []Action) (sent []SendOrder) {
		for _, a := range actions {
			if s, is := a.(SendOrder); is && s.Order.Op == OpLoad {
				sent = append(sent, s)
			}
		}
		return sent
	}
	sent := loads(c.Step(now, ReportReply{Endpoint: "e1", RequestedAt: now, Report: &Report{}}))
	sent = append(sent, loads(c.Step(now.Add(planInterval), ReportReply{Endpoint: "e2", RequestedAt: now, Report: &Report{}}))...)
	require.Len(t, sent, 1, "the rate allows one in five seconds")
	const late = 2 * time.Second
	c.Step(now.Add(late), OrderEnded{Endpoint: sent[0].Endpoint, Order: sent[0].Order, Result: Accepted})
	require.Empty(t, loads(c.Step(now.Add(5*time.Second+planInterval), Tick{})), "the first may have started two seconds late")
	require.Len(t, loads(c.Step(now.Add(late+5*time.Second), Tick{})), 1)
}

// TestChangeOfAnAnnouncement adds and removes units, and takes over from the state in
// the endpoint's entry.
func TestChangeOfAnAnnouncement(t *testing.T) {
	now := time.Unix(1000, 0)
	e := newEndpoint(Member{Name: "e1", Resident: []string{"m1"}}, now)
	change := func() Change {
		now = now.Add(announceInterval)
		return e.announce(now)[0].(AnnounceUnits).Change
	}
	e.resident = setOf([]string{"m1"})
	require.Equal(t, Unchanged, change(), "the entry shows the same")
	e.resident["m2"] = true
	require.Equal(t, UnitsAdded, change())
	require.Equal(t, Unchanged, change())
	e.draining["m2"] = now
	require.Equal(t, UnitsWithdrawn, change())
	delete(e.draining, "m2")
	delete(e.resident, "m2")
	require.Equal(t, UnitsWithdrawn, change())
}

// TestSingleRequestsAddNoReplica guards against replicas that single requests cause.
// With 400 endpoints and a few requests per second for each of many models, each request
// is many times an endpoint's even share of all demand. At 3,920 endpoints 2,127 loads of
// a quiet day brought replicas that nobody needed.
func TestSingleRequestsAddNoReplica(t *testing.T) {
	const endpoints, models = 400, 40
	held := map[string][]string{}
	cfg := CellSettings{CapacityMB: 220, AdapterSlots: 8, LoadsPerSecond: 60, KVTokens: 120_000}
	for i := range models {
		cfg.Units = append(cfg.Units, Unit{Name: fmt.Sprintf("u%02d", i), MemoryMB: 70, StoreLoadTime: 9 * time.Second, DiskLoadTime: 2 * time.Second})
	}
	for i := range endpoints {
		held[fmt.Sprintf("e%03d", i)] = []string{fmt.Sprintf("u%02d", i%models)}
	}
	s := newCell(0, held, nil)
	s.step(cfg)
	rate := map[string]float64{}
	for i := range models {
		rate[fmt.Sprintf("u%02d", i)] = 10_000
	}
	s.demand(rate, nil)
	require.Empty(t, s.plan(), "each of ten replicas gets 1,000 tokens per second")
	rate["u07"] = 100_000
	s.demand(rate, nil)
	moves := s.plan()
	require.NotNil(t, find(moves, OpLoad, "u07"), "its replicas have ten times the load")
	require.Nil(t, find(moves, OpLoad, "u08"))
}

// TestReportsOfAnEarlierTenureAreIgnored guards against a new holder that goes by a report which
// was requested before it acquired the lease: another holder may have sent orders since.
func TestReportsOfAnEarlierTenureAreIgnored(t *testing.T) {
	c := NewController(Config{})
	requested := time.Unix(1000, 0)
	acquired := requested.Add(time.Second)
	c.Step(requested, MemberList{Members: []Member{{Name: "e"}}})
	c.Step(acquired, LeaseAcquired{Epoch: 1})
	c.Step(acquired, ReportReply{Endpoint: "e", RequestedAt: requested, Report: &Report{}})
	require.False(t, c.endpoints["e"].stateKnown)
	c.Step(acquired, ReportReply{Endpoint: "e", RequestedAt: acquired, Report: &Report{}})
	require.True(t, c.endpoints["e"].stateKnown)
}

// TestSharesFollowTheEndpoints guards against a bound on total demand that fits endpoints of one
// size: of a fleet of small endpoints that is as busy for its memory the plan is the same.
func TestSharesFollowTheEndpoints(t *testing.T) {
	var plans [][]Move
	for _, tokens := range []int{2_000, 120_000} {
		s := newCell(0, map[string][]string{"e1": {"u0", "u1"}, "e2": {"u2"}, "e3": {"u3"}}, nil)
		cfg := CellSettings{CapacityMB: 220, AdapterSlots: 8, LoadsPerSecond: 60, KVTokens: tokens}
		for i := range 4 {
			cfg.Units = append(cfg.Units, Unit{Name: fmt.Sprintf("u%d", i), MemoryMB: 70, StoreLoadTime: 9 * time.Second})
		}
		s.step(cfg)
		s.demand(map[string]float64{"u0": 0.2 * float64(tokens), "u1": 0.01 * float64(tokens), "u2": 0.05 * float64(tokens)}, nil)
		plans = append(plans, s.plan())
	}
	require.NotNil(t, find(plans[0], OpLoad, "u0"), "%v", plans[0])
	require.Len(t, plans[1], len(plans[0]))
	for i, m := range plans[0] {
		require.Equal(t, plans[1][i].Unit, m.Unit)
		require.InDelta(t, plans[1][i].Share, m.Share, 1e-9)
	}
}
