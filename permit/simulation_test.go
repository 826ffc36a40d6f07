package permit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation is instances before one endpoint that names a limit, in virtual time. Requests
// come by chance, wait for a while and leave; what instances tell each other is late, and
// some of it is lost.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	e       LimitKey
	limit   float64
	limited bool
	nodes   []*simNode
	pending []delivery
	// demand is the requests a second of all instances, patience how long each waits.
	demand   float64
	patience time.Duration
	lossRate float64
	// arrived is when requests reached the endpoint, told those of instances that it had
	// told half a second before.
	arrived, told []time.Time
	// alone makes each instance go by an even part of the limit, the way without issuers.
	alone bool
	// packets counts what instances send about permits.
	packets int
	// fleets is what each instance knows of the others, until something changes.
	fleets map[*simNode]Fleet
}

// simNode is one instance.
type simNode struct {
	name    string
	local   *Limiter
	process int
	// group is which instances it reaches; down ones reach nobody.
	group int
	down  bool
	// paused ones do nothing, and get what came meanwhile when they go on.
	paused bool
	weight float64
	// waiting is until when each request waits.
	waiting []time.Time
	// toldAt is when the endpoint first told it of the limit, readyAt when it takes requests.
	toldAt, readyAt time.Time
}

// delivery is something on its way to an instance.
type delivery struct {
	at time.Time
	to *simNode
	// process is the one it is for.
	process int
	do      func()
}

const (
	simStep = 10 * time.Millisecond
	simTell = 100 * time.Millisecond
	// simReady is how long a new process takes until it is ready.
	simReady = 500 * time.Millisecond
	// answers come so long behind their requests.
	simAnswer = 200 * time.Millisecond
)

func newSimulation(seed uint64, instances int, perSecond float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, e: LimitKey{Name: "e1"}, limit: perSecond, limited: true,
		lossRate: 0.02, patience: 2 * time.Second,
	}
	s.demand = 4*perSecond + 20
	s.changed()
	for i := range instances {
		n := &simNode{name: fmt.Sprintf("n%d", i), weight: 0.2 + s.random.Float64()}
		s.nodes = append(s.nodes, n)
		s.begin(n)
	}
	return s
}

// begin starts a process of an instance, which knows nothing. It is heard at once and gets
// requests simReady later.
func (s *simulation) begin(n *simNode) {
	n.process++
	n.down, n.waiting, n.toldAt, n.readyAt = false, nil, time.Time{}, s.now
	n.local = NewLimiter(n.name, s.random.Uint64(), func() {})
	if n.process == 1 {
		return
	}
	n.readyAt = s.now.Add(simReady)
	for _, other := range s.nodes {
		s.send(n, other, func() { other.local.RecordContact(n.name, fmt.Sprint(n.process)) })
	}
}

// send delivers something a few milliseconds later, or never.
func (s *simulation) send(from, to *simNode, do func()) {
	s.packets++
	if from.down || to.down || from.group != to.group || s.random.Float64() < s.lossRate {
		return
	}
	late := time.Duration(1+s.random.IntN(15)) * time.Millisecond
	s.pending = append(s.pending, delivery{s.now.Add(late), to, to.process, do})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.deliver()
		s.request()
		for _, n := range s.nodes {
			if !n.down && !n.paused {
				s.step(n)
			}
		}
	}
}

func (s *simulation) deliver() {
	pending := s.pending
	s.pending = nil
	for _, p := range pending {
		switch {
		case p.to.process != p.process || p.to.down:
		case p.at.After(s.now) || p.to.paused:
			s.pending = append(s.pending, p)
		default:
			p.do()
		}
	}
}

// request lets requests come to instances, more to some than to others.
func (s *simulation) request() {
	total := 0.0
	for _, n := range s.nodes {
		total += n.weight
	}
	for _, n := range s.nodes {
		expected := s.demand * simStep.Seconds() * n.weight / total
		for expected > 0 {
			if s.random.Float64() < expected && !n.down && !s.now.Before(n.readyAt) {
				n.waiting = append(n.waiting, s.now.Add(s.patience))
			}
			expected--
		}
	}
}

// changed tells that instances have ended, or reach others than before.
func (s *simulation) changed() { s.fleets = map[*simNode]Fleet{} }

// fleet is what an instance knows of the others: in a small fleet it hears who is there.
func (s *simulation) fleet(n *simNode) Fleet {
	if f, known := s.fleets[n]; known {
		return f
	}
	s.fleets[n] = s.hears(n)
	return s.fleets[n]
}

func (s *simulation) hears(n *simNode) Fleet {
	var f Fleet
	heard := 0
	for _, other := range s.nodes {
		there := !other.down && other.group == n.group
		if there && other != n {
			heard++
		}
		if there || len(s.nodes) > 16 {
			f.Members = append(f.Members, other.name)
		}
	}
	f.KnownCount = len(s.nodes)
	f.Isolated = heard == 0 && len(s.nodes) > 1
	return f
}

func (s *simulation) step(n *simNode) {
	if s.now.Sub(start)%simTell == 0 {
		s.tell(n)
	}
	if len(n.waiting) == 0 {
		return
	}
	n.local.SetFleet(s.fleet(n))
	s.kick(n)
	if s.alone {
		s.evenPart(n)
		return
	}
	asks, got := n.local.PendingRequests(s.now)
	for _, a := range asks {
		s.ask(n, a)
	}
	if got {
		s.kick(n)
	}
}

func (s *simulation) named(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (s *simulation) ask(n *simNode, a OutgoingRequest) {
	to := s.named(a.To)
	s.send(n, to, func() {
		to.local.SetFleet(s.fleet(to))
		g, answered := to.local.HandleRequest(s.now, a.Ask)
		if !answered {
			return
		}
		s.send(to, n, func() {
			if n.local.ReceiveGrant(s.now, to.name, g) {
				s.kick(n)
			}
		})
	})
}

// tell tells the others what the endpoint has said: all of them in a small fleet, the first
// one in a large fleet, which tells all.
func (s *simulation) tell(n *simNode) {
	words := n.local.PendingReports(s.now, 500)
	if len(words) == 0 {
		return
	}
	hub := s.nodes[0]
	for _, other := range s.nodes {
		if other != n && (len(s.nodes) <= 16 || n == hub || other == hub) {
			s.send(n, other, func() { other.local.ReceiveReports(s.now, words) })
		}
	}
}

// evenPart is the way without issuers: each instance goes by its part of the limit.
func (s *simulation) evenPart(n *simNode) {
	n.local.mu.Lock()
	defer n.local.mu.Unlock()
	k := n.local.limits[s.e]
	if k == nil || !k.stock.due(s.now) {
		return
	}
	k.stock.even.fill(s.now, k.perSecond/float64(len(s.nodes)))
	n.local.received(s.now, k, k.stock.even.take(1), s.now)
}

// kick sends what waits, as far as it may go.
func (s *simulation) kick(n *simNode) {
	for len(n.waiting) > 0 {
		if !s.now.Before(n.waiting[0]) {
			n.waiting = n.waiting[1:]
			continue
		}
		if !n.local.Ready(s.now, s.e) {
			n.local.RecordDemand(s.now, s.e)
			return
		}
		n.local.Take(s.now, s.e)
		n.waiting = n.waiting[1:]
		s.serve(n)
	}
}

// serve is a request at the endpoint, whose answer comes later.
func (s *simulation) serve(n *simNode) {
	if !n.toldAt.IsZero() && s.now.Sub(n.toldAt) >= 500*time.Millisecond {
		s.told = append(s.told, s.now)
	}
	s.arrived = append(s.arrived, s.now)
	sentAt := s.now
	s.pending = append(s.pending, delivery{s.now.Add(simAnswer), n, n.process, func() {
		if !s.limited {
			n.local.RecordNoLimit(s.now, s.e, sentAt)
			return
		}
		if n.toldAt.IsZero() {
			n.toldAt = s.now
		}
		n.local.RecordLimit(s.now, s.e, s.limit)
	}})
}

// seeds is how many seeds the tests with faults play.
var seeds = flag.Uint64("seeds", 1, "seeds for the tests of faults")

// window is the time in which what exceeds a limit is counted.
const window = 4 * time.Second

// most is the largest number of requests of a list within the window, since a moment.
func most(list []time.Time, since time.Time) int {
	list = list[sort.Search(len(list), func(i int) bool { return !list[i].Before(since) }):]
	most, from := 0, 0
	for i, at := range list {
		for at.Sub(list[from]) >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// used is the part of the limit that was used since a moment.
func (s *simulation) used(since time.Time) float64 {
	n := 0
	for _, at := range s.arrived {
		if !at.Before(since) {
			n++
		}
	}
	return float64(n) / (s.limit * s.now.Sub(since).Seconds())
}

// allowed is what told instances may send in the window.
func (s *simulation) allowed() float64 { return 1.5*s.limit*window.Seconds() + 5 }

// contact is the time in which instances that are in touch learn what one knows.
const contact = 3 * time.Second

// TestLimitHoldsAtEachSize names limits to fleets of several sizes, with demand for more.
func TestLimitHoldsAtEachSize(t *testing.T) {
	for _, instances := range []int{1, 6, 18, 90, 295} {
		for _, perSecond := range []float64{0, 0.2, 1.1, 30, 400} {
			t.Run(fmt.Sprintf("%d instances, %v a second", instances, perSecond), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(uint64(instances), instances, perSecond)
				s.run(contact)
				known := s.now
				s.run(20 * time.Second)
				require.LessOrEqual(t, float64(most(s.arrived, known)), s.allowed(), "in %v", window)
				if perSecond >= 1 {
					require.GreaterOrEqual(t, s.used(known), 0.85, "part of the limit that is used")
				}
				if perSecond == 0 {
					require.Positive(t, most(s.arrived, known), "somebody hears when it ends")
				}
				t.Logf("most %d, allowed %.1f; used %.2f; %.1f packets a second", most(s.arrived, known), s.allowed(), s.used(known), float64(s.packets)/s.now.Sub(start).Seconds())
			})
		}
	}
}

// TestEvenPartsServeFewer compares the other way that was weighed: each instance keeps to
// its even part of the limit. A request comes to one that has nothing left while others
// have, and small parts add up to permits only slowly.
func TestEvenPartsServeFewer(t *testing.T) {
	for _, tc := range []struct {
		instances int
		perSecond float64
	}{{6, 1.1}, {90, 1.1}, {295, 1.1}, {295, 30}} {
		used := map[bool]float64{}
		for _, alone := range []bool{false, true} {
			s := newSimulation(1, tc.instances, tc.perSecond)
			s.alone, s.demand = alone, 2*tc.perSecond
			s.run(contact)
			known := s.now
			s.run(20 * time.Second)
			used[alone] = s.used(known)
		}
		t.Logf("%d instances, %v a second: permits use %.2f of the limit, even parts %.2f", tc.instances, tc.perSecond, used[false], used[true])
		require.Greater(t, used[false], used[true])
	}
}

// first returns the instance that issues permits.
func (s *simulation) first() *simNode {
	return s.named(s.nodes[0].local.ranked(s.e)[0])
}

// usable is the part of the limit that is to be used at least. In a large fleet nobody knows
// that the first issuers are gone while they are listed, so that those behind them go on with
// their parts, and half of a fleet does not know that the other half is gone.
func (s *simulation) usable() float64 {
	const least = 0.85
	for rank, name := range s.nodes[0].local.ranked(s.e) {
		if !s.named(name).down {
			return least * rankPart[rank] * s.fleet(s.named(name)).part()
		}
	}
	return 0
}

// TestLimitHoldsThroughFaults lets what may happen to instances happen while all want more
// than the limit, and counts all requests that reach the endpoint.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for name, fault := range map[string]func(s *simulation){
		"the issuer is killed": func(s *simulation) {
			s.first().down = true
			s.changed()
			s.run(10 * time.Second)
		},
		"the issuer is killed and starts again": func(s *simulation) {
			n := s.first()
			n.down = true
			s.changed()
			s.run(time.Second)
			s.begin(n)
			s.changed()
			s.run(10 * time.Second)
		},
		"the issuer is paused": func(s *simulation) {
			n := s.first()
			n.paused = true
			s.run(6 * time.Second)
			n.paused = false
			s.run(10 * time.Second)
		},
		"one issuer after another is killed": func(s *simulation) {
			for range 3 {
				s.first().down = true
				s.changed()
				s.run(2 * time.Second)
			}
			s.run(10 * time.Second)
		},
		"an instance is cut off from the others": func(s *simulation) {
			s.nodes[len(s.nodes)-1].group = 1
			s.changed()
			s.run(10 * time.Second)
			s.nodes[len(s.nodes)-1].group = 0
			s.changed()
			s.run(5 * time.Second)
		},
		"the issuer is cut off from the others": func(s *simulation) {
			n := s.first()
			n.group = 1
			s.changed()
			s.run(10 * time.Second)
			n.group = 0
			s.changed()
			s.run(5 * time.Second)
		},
		"all are cut off from each other": func(s *simulation) {
			for i, n := range s.nodes {
				n.group = i
			}
			s.changed()
			s.run(10 * time.Second)
			for _, n := range s.nodes {
				n.group = 0
			}
			s.changed()
			s.run(5 * time.Second)
		},
		"instances are stopped and started in turn": func(s *simulation) {
			for _, n := range s.nodes {
				s.begin(n)
				s.run(500 * time.Millisecond)
			}
		},
		"many packets are lost": func(s *simulation) {
			s.lossRate = 0.3
			s.run(20 * time.Second)
		},
		"the limit falls tenfold": func(s *simulation) {
			s.limit *= 10
			s.run(5 * time.Second)
			s.limit /= 10
			s.run(contact)
			s.arrived = nil
			s.run(10 * time.Second)
		},
	} {
		for _, instances := range []int{6, 20} {
			for _, perSecond := range []float64{1.1, 30} {
				t.Run(fmt.Sprintf("%s, %d instances, %v a second", name, instances, perSecond), func(t *testing.T) {
					t.Parallel()
					for seed := range *seeds {
						s := newSimulation(seed, instances, perSecond)
						s.run(2 * contact)
						known := s.now
						fault(s)
						require.LessOrEqual(t, float64(most(s.arrived, known)), s.allowed(), "seed %d, in %v", seed, window)
						s.lossRate = 0.02
						s.run(10 * time.Second)
						recovered := s.now
						s.run(30 * time.Second)
						whole := 1 / (perSecond * s.now.Sub(recovered).Seconds())
						require.GreaterOrEqual(t, s.used(recovered)+whole, s.usable(), "seed %d, part of the limit that is used again", seed)
					}
				})
			}
		}
	}
}

// TestEndOfALimitIsHeard ends a limit: somebody hears it by a request that had a permit, and
// all go on without.
func TestEndOfALimitIsHeard(t *testing.T) {
	for _, perSecond := range []float64{0, 0.2, 1.1, 30} {
		s := newSimulation(3, 18, perSecond)
		s.run(2 * contact)
		s.limited = false
		s.run(10 * time.Second)
		for _, n := range s.nodes {
			require.True(t, n.local.Ready(s.now, s.e), "%s, %v a second", n.name, perSecond)
			require.False(t, n.local.AnyLimit(), "%s, %v a second", n.name, perSecond)
		}
	}
}

// TestLimitComesAndGoes names and ends a limit by turns.
func TestLimitComesAndGoes(t *testing.T) {
	s := newSimulation(4, 9, 2)
	for range 4 {
		s.limited = true
		s.run(contact)
		known := s.now
		s.run(6 * time.Second)
		require.LessOrEqual(t, float64(most(s.arrived, known)), s.allowed())
		s.limited = false
		s.run(4 * time.Second)
	}
}

// TestEachInstanceByItselfExceedsTheLimit is the fault that permits prevent: each instance
// keeps the whole limit by itself, and only the sum is too much.
func TestEachInstanceByItselfExceedsTheLimit(t *testing.T) {
	s := newSimulation(5, 9, 1.1)
	for i, n := range s.nodes {
		n.group = i
	}
	s.fleets = map[*simNode]Fleet{}
	for _, n := range s.nodes {
		s.fleets[n] = Fleet{Members: []string{n.name}, KnownCount: 1}
	}
	s.run(contact)
	known := s.now
	s.run(10 * time.Second)
	require.Greater(t, float64(most(s.arrived, known)), s.allowed())
}
