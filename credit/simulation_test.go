package credit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// simulation is a fleet of instances and some endpoints in virtual time. Messages are delayed,
// and some are lost; what instances know of each other's requests is outdated.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	events    events
	nodes     []*simNode
	byName    map[string]*simNode
	endpoints []*simEndpoint
	byKey     map[Key]*simEndpoint
	lossRate  float64
	// inOrder has every message take the same time, so that none overtakes another.
	inOrder bool
	// slow is added to the delays of an instance's messages.
	slow map[*simNode]time.Duration
	// returning has refused requests come back, within returnTime.
	returning  bool
	returnTime time.Duration
	// measureBytes has messages encoded.
	measureBytes bool
	// mayQueue lets lenders send endpoints more requests than they run at once.
	mayQueue bool
	// withoutLending sends requests by the sums alone.
	withoutLending bool
	// replicas is how many endpoints each request may be sent to.
	replicas int
	patience time.Duration
	// account and target choose a request's account and its first endpoint.
	account func() uint32
	target  func() int
	lastID  uint64

	sent, rejected, served, gaveUp, refused int
	messages, bytes                         int
	servedBy                                map[uint32]int
	waits                                   []time.Duration
	idleWhileWaiting, placesWhileWaiting    float64
	refusedAfter                            []time.Duration
	returns                                 []time.Time
	refusedAgain                            int
	returnWaits                             []time.Duration
	// calledEarly counts refused callers that were called back before the time until which they
	// would have waited: they cannot have been refused for it.
	calledEarly int
}

type simNode struct {
	name    string
	process int
	lender  *Lender
	fleet   Fleet
	// group identifies the instances it can reach; paused ones do nothing, and get the messages
	// of that time when they resume.
	group        int
	down, paused bool
	waiting      []*simRequest
	running      map[Key]int64
	ticking      bool
	backlog      []func()
}

type simRequest struct {
	// returned is set for one that was refused and came back as it was told.
	returned bool
	id       uint64
	account  uint32
	targets  []*simEndpoint
	arrived  time.Time
	// back is when a returned request came back.
	back     time.Time
	deadline time.Time
	wantedAt time.Time
}

type simEndpoint struct {
	key     Key
	places  int
	holding time.Duration
	running int
	// queueLimit is how many requests it keeps beyond those that it runs, queue what starts them.
	queueLimit int
	queue      []func()
	most       int
	// lost is by how many fewer requests than its places it runs; reported are the instances'
	// requests by the last two reports.
	lost     int
	down     bool
	reported [2]simReported
}

// simReported are the requests that instances report, and their sum.
type simReported struct {
	by  map[*simNode]int64
	sum int64
}

const (
	simTransit     = 2 * time.Millisecond
	simMessage     = 3 * time.Millisecond
	simReport      = 200 * time.Millisecond
	simRetry       = 50 * time.Millisecond
	simRepeatWant  = 100 * time.Millisecond
	simUsageSample = 5 * time.Millisecond
	// simSettled is how long a request waits before places that are idle count as unused.
	simSettled = 100 * time.Millisecond
)

func newSimulation(seed uint64, instances, endpoints, places int, holding time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, byName: map[string]*simNode{}, byKey: map[Key]*simEndpoint{}, lossRate: 0.02, slow: map[*simNode]time.Duration{},
		replicas: 3, patience: 2 * time.Second, servedBy: map[uint32]int{},
	}
	s.account = func() uint32 { return uint32(1 + s.random.IntN(5)) }
	s.target = func() int { return s.random.IntN(len(s.endpoints)) }
	for i := range endpoints {
		e := &simEndpoint{key: Key{Name: fmt.Sprintf("e%d", i)}, places: places, holding: holding}
		s.endpoints = append(s.endpoints, e)
		s.byKey[e.key] = e
	}
	for range instances {
		s.add()
	}
	s.every(simReport, s.report)
	s.every(simUsageSample, s.sampleUsage)
	return s
}

// add adds an instance that all know at once.
func (s *simulation) add() *simNode {
	n := &simNode{name: fmt.Sprintf("n%d", len(s.nodes))}
	s.nodes = append(s.nodes, n)
	s.byName[n.name] = n
	s.begin(n)
	var members []string
	for _, other := range s.nodes {
		members = append(members, other.name)
	}
	for _, other := range s.nodes {
		other.setFleet(Fleet{Members: members, KnownCount: len(members)})
	}
	s.after(time.Duration(s.random.Int64N(int64(TickInterval))), func() { s.every(TickInterval, func() { s.tick(n) }) })
	return n
}

func (n *simNode) setFleet(f Fleet) {
	n.fleet = f
	n.lender.SetFleet(f)
}

// begin starts a process of an instance.
func (s *simulation) begin(n *simNode) {
	n.process++
	n.down, n.waiting, n.running = false, nil, map[Key]int64{}
	process := fmt.Sprintf("%s.%d", n.name, n.process)
	n.lender = NewLender(Config{Self: n.name, Process: process, OnWant: func() { s.tickSoon(n) }, Running: func(e Key) (int64, int64) { return s.known(n, e) }, MayQueue: func(Key) bool { return s.mayQueue }})
	n.lender.SetFleet(n.fleet)
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.events.seq, do})
}

func (s *simulation) every(d time.Duration, do func()) {
	do()
	s.after(d, func() { s.every(d, do) })
}

func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events.list) > 0 && s.events.list[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = end
}

// load has requests arrive at random, perSecond on average, for a time.
func (s *simulation) load(perSecond float64, d time.Duration) {
	until := s.now.Add(d)
	var next func()
	next = func() {
		if !s.now.Before(until) {
			return
		}
		s.arrive()
		s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

func (s *simulation) arrive() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	if n.down || n.paused {
		return
	}
	s.lastID++
	r := &simRequest{id: s.lastID, account: s.account(), arrived: s.now, deadline: s.now.Add(s.patience)}
	first := s.target()
	for i := range min(s.replicas, len(s.endpoints)) {
		r.targets = append(r.targets, s.endpoints[(first+i)%len(s.endpoints)])
	}
	n.waiting = append(n.waiting, r)
	s.serveWaiting(n)
}

// known returns what an instance knows of an endpoint: its own requests as they are, those of the
// others as last reported.
func (s *simulation) known(n *simNode, e Key) (running, places int64) {
	endpoint := s.byKey[e]
	reported := endpoint.reported[1]
	return n.running[e] + reported.sum - reported.by[n], int64(endpoint.places)
}

func (s *simulation) report() {
	for _, e := range s.endpoints {
		now := simReported{by: map[*simNode]int64{}}
		for _, n := range s.nodes {
			if n.running[e.key] > 0 && !n.down {
				now.by[n] = n.running[e.key]
				now.sum += n.running[e.key]
			}
		}
		e.reported = [2]simReported{now, e.reported[0]}
	}
}

func (s *simulation) tickSoon(n *simNode) {
	if n.ticking {
		return
	}
	n.ticking = true
	s.after(0, func() {
		n.ticking = false
		s.tick(n)
	})
}

func (s *simulation) tick(n *simNode) {
	if n.down || n.paused {
		return
	}
	s.giveUp(n)
	out, wake, verdicts := n.lender.Tick(s.now)
	for _, o := range out {
		s.send(n, s.byName[o.To], o)
	}
	for _, v := range verdicts {
		s.refuse(n, v)
	}
	if wake {
		s.serveWaiting(n)
	}
	s.repeatWants(n)
}

// send delivers a message some milliseconds later, or never.
func (s *simulation) send(from, to *simNode, o Outgoing) {
	s.messages++
	if s.measureBytes {
		s.bytes += encodedSize(o)
	}
	if to == nil || to.down || from.group != to.group || s.random.Float64() < s.lossRate {
		return
	}
	delay := s.delay() + s.slow[from] + s.slow[to]
	process, fromName, fromProcess := to.process, from.name, from.lender.config.Process
	s.after(delay, func() {
		s.deliver(to, process, func() {
			if o.Ask != nil {
				to.lender.ReceiveAsk(s.now, fromName, fromProcess, *o.Ask)
			} else {
				to.lender.ReceiveGrant(s.now, fromName, *o.Grant)
			}
			s.tickSoon(to)
		})
	})
}

// delay returns how long a message is on its way.
func (s *simulation) delay() time.Duration {
	if s.inOrder {
		return simMessage
	}
	return time.Duration(1+s.random.IntN(4)) * time.Millisecond
}

// encodedSize returns the size of the encoded message, in bytes.
func encodedSize(o Outgoing) int {
	var message any = o.Grant
	if o.Ask != nil {
		message = o.Ask
	}
	data, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(data)
}

func (s *simulation) deliver(to *simNode, process int, do func()) {
	switch {
	case to.down || to.process != process:
	case to.paused:
		to.backlog = append(to.backlog, do)
	default:
		do()
	}
}

func (s *simulation) resume(n *simNode) {
	n.paused = false
	for _, do := range n.backlog {
		do()
	}
	n.backlog = nil
}

func (s *simulation) giveUp(n *simNode) {
	kept := n.waiting[:0]
	for _, r := range n.waiting {
		if s.now.Before(r.deadline) {
			kept = append(kept, r)
			continue
		}
		s.gaveUp++
		n.lender.Withdraw(r.id)
	}
	n.waiting = kept
}

func (s *simulation) refuse(n *simNode, v Verdict) {
	for i, r := range n.waiting {
		if r.id == v.ID {
			n.waiting = append(n.waiting[:i:i], n.waiting[i+1:]...)
			n.lender.Withdraw(r.id)
			s.refused++
			s.refusedAfter = append(s.refusedAfter, s.now.Sub(r.arrived))
			if v.RetryAfter > 0 {
				if v.RetryAfter < r.deadline.Sub(s.now) {
					s.calledEarly++
				}
				s.returns = append(s.returns, s.now.Add(v.RetryAfter))
				s.comeBack(r, v.RetryAfter)
			}
			if r.returned {
				s.refusedAgain++
			}
			return
		}
	}
}

// comeBack has a refused request return to another instance when it was told to, with the place in
// the queue that it had.
func (s *simulation) comeBack(r *simRequest, after time.Duration) {
	if !s.returning || r.returned {
		return
	}
	s.after(after, func() {
		s.lastID++
		again := &simRequest{id: s.lastID, account: r.account, targets: r.targets, arrived: r.arrived, back: s.now, deadline: s.now.Add(s.patience), returned: true}
		n := s.nodes[s.random.IntN(len(s.nodes))]
		n.waiting = append(n.waiting, again)
		s.serveWaiting(n)
	})
}

// serveWaiting sends the waiting requests for which there is a credit, the oldest first.
func (s *simulation) serveWaiting(n *simNode) {
	kept := n.waiting[:0:0]
	closed := map[*simEndpoint]bool{}
	for _, r := range n.waiting {
		if e := s.pick(n, r, closed); e != nil {
			s.serve(n, e, r)
			continue
		}
		kept = append(kept, r)
	}
	n.waiting = kept
	s.repeatWants(n)
}

// pick returns the endpoint with the fewest known requests that a request may be sent to; closed
// collects those that take none now.
func (s *simulation) pick(n *simNode, r *simRequest, closed map[*simEndpoint]bool) (best *simEndpoint) {
	least := int64(0)
	for _, e := range r.targets {
		if closed[e] {
			continue
		}
		running, places := s.known(n, e.key)
		ready := running < places
		if !s.withoutLending && n.lender.Decides(s.now, e.key) {
			ready = n.lender.Ready(s.now, e.key)
		}
		if ready && (best == nil || running < least) {
			best, least = e, running
		}
		closed[e] = !ready
	}
	if best == nil || s.withoutLending || n.lender.Take(s.now, best.key, r.account) {
		return best
	}
	return nil
}

func (s *simulation) repeatWants(n *simNode) {
	if s.withoutLending {
		if len(n.waiting) > 0 && n.waiting[0].wantedAt != s.now {
			n.waiting[0].wantedAt = s.now
			s.after(TickInterval, func() { s.serveWaiting(n) })
		}
		return
	}
	for _, r := range n.waiting {
		if s.now.Sub(r.wantedAt) < simRepeatWant {
			continue
		}
		r.wantedAt = s.now
		for _, e := range r.targets {
			n.lender.RecordWant(s.now, e.key, Want{
				ID: r.id, Account: r.account, AgeMS: s.now.Sub(r.arrived).Milliseconds(), PatienceMS: max(r.deadline.Sub(s.now).Milliseconds(), 0), ReturnMS: s.returnTime.Milliseconds(),
			})
		}
	}
}

// serve sends a request to an endpoint, which runs it or rejects it.
func (s *simulation) serve(n *simNode, e *simEndpoint, r *simRequest) {
	n.lender.Withdraw(r.id)
	n.running[e.key]++
	s.sent++
	process := n.process
	transit := func() time.Duration { return simTransit/2 + time.Duration(s.random.Int64N(int64(simTransit))) }
	s.after(transit(), func() {
		full := e.running+e.lost >= e.places
		if full && len(e.queue) >= e.queueLimit || e.down {
			s.rejected++
			s.after(transit(), func() { s.deliver(n, process, func() { s.rejectedAt(n, e, r) }) })
			return
		}
		start := func() {
			s.start(e, r, func() { s.after(transit(), func() { s.deliver(n, process, func() { s.ended(n, e, r) }) }) })
		}
		if full {
			e.queue = append(e.queue, start)
			return
		}
		start()
	})
}

// start runs a request at an endpoint.
func (s *simulation) start(e *simEndpoint, r *simRequest, ended func()) {
	e.running++
	e.most = max(e.most, e.running)
	s.waits = append(s.waits, s.now.Sub(r.arrived))
	s.servedBy[r.account]++
	if r.returned {
		s.returnWaits = append(s.returnWaits, s.now.Sub(r.arrived))
	}
	holding := time.Duration(float64(e.holding) * (0.7 + 0.6*s.random.Float64()))
	s.after(holding, func() {
		e.running--
		s.served++
		ended()
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
	})
}

func (s *simulation) ended(n *simNode, e *simEndpoint, r *simRequest) {
	n.running[e.key]--
	if !s.withoutLending {
		n.lender.Release(s.now, e.key, r.account)
		s.serveWaiting(n)
	}
}

func (s *simulation) rejectedAt(n *simNode, e *simEndpoint, r *simRequest) {
	n.running[e.key]--
	if !s.withoutLending {
		n.lender.Release(s.now, e.key, r.account)
		n.lender.RecordRejection(s.now, e.key)
	}
	r.wantedAt = time.Time{}
	if s.withoutLending {
		// A request that is rejected tries again a little later.
		s.after(simRetry, func() {
			n.waiting = append([]*simRequest{r}, n.waiting...)
			s.repeatWants(n)
		})
		return
	}
	n.waiting = append([]*simRequest{r}, n.waiting...)
	s.serveWaiting(n)
}
