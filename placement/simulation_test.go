package placement

import (
	"fmt"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/engine"
)

// The simulation below runs real controllers against an adversary that loses, delays and
// duplicates orders, pauses a controller at any step, makes the store unavailable and
// loses its answers. The invariants are checked against each device's own memory
// account.

// device is the actual state of an endpoint.
type device struct {
	name        string
	incarnation string
	checks      bool
	epoch       int64
	units       map[string]*deviceUnit
}

type deviceUnit struct {
	memoryMB int64
	ready    bool
}

const deviceMB = 100

// address includes the device's incarnation: an order to an earlier incarnation is lost.
func (d *device) address() string { return d.name + "/" + d.incarnation }

func (s *simulation) deliver(o SendOrder) SendResult {
	d := s.device(o.Endpoint)
	if d.address() != o.Address {
		return SendUnknown
	}
	return d.apply(o.Order)
}

func (d *device) apply(o engine.Order) SendResult {
	if d.checks && o.Epoch < d.epoch {
		return SendRefused
	}
	d.epoch = max(d.epoch, o.Epoch)
	switch o.Op {
	case engine.OpLoad:
		if d.units[o.Unit] == nil {
			d.units[o.Unit] = &deviceUnit{memoryMB: o.MemoryMB}
		}
	case engine.OpUnload:
		if u := d.units[o.Unit]; u != nil && u.ready {
			delete(d.units, o.Unit)
		}
	}
	return SendAccepted
}

func (d *device) used() int64 {
	var mb int64
	for _, u := range d.units {
		mb += u.memoryMB
	}
	return mb
}

func (d *device) report() *engine.Report {
	r := &engine.Report{Incarnation: d.incarnation, CapacityMB: deviceMB}
	for _, name := range sortedKeys(d.units) {
		u := d.units[name]
		r.Units = append(r.Units, engine.UnitReport{Name: name, MemoryMB: u.memoryMB, Ready: u.ready})
	}
	return r
}

// simulation is the state of the devices, the store, the network and the controllers.
type simulation struct {
	draw    func(n int) int
	mutate  mutation
	now     time.Time
	devices []*device
	ledger  *Ledger
	version int
	// lateCommits and lateOrders were given up on by their senders but may still arrive.
	lateCommits []Commit
	lateOrders  []lateOrder
	nodes       []*simNode
	epoch       int64
	units       []UnitSpec
	incarnation int
	listVersion int64
	// lost is the set of units whose replicas were lost with a device.
	lost map[string]bool
	// settled is the last settled epoch that each holder has stored.
	settled map[string]int64
	// wanted is the set of units in the settings.
	wanted map[string]bool
	// reached is the set of wanted units that have had a stable replica.
	reached map[string]bool
	err     error
}

// lateOrder is an order delayed by the network for up to simDelay. An order of a paused
// process stays in its queue without a bound.
type lateOrder struct {
	order  SendOrder
	sentAt time.Time
}

type simNode struct {
	name        string
	incarnation int
	controller  *Controller
	// queue is the list of actions that the process has not executed yet.
	queue []Action
	// answers are inventories that have not reached the controller yet.
	answers    []Event
	holdsLease bool
	// paused processes do nothing; what they are about to send stays queued.
	paused bool
}

// mutation disables one rule, to show that the checks detect it.
type mutation struct {
	// sendBeforeCommit sends orders that are not committed yet.
	sendBeforeCommit bool
	// ignoreLateOrders ignores orders that earlier controllers may still send.
	ignoreLateOrders bool
	// ignoreOrderDelay frees memory without waiting for copies to arrive.
	ignoreOrderDelay bool
	// countReadyOnly does not count units that are being unloaded.
	countReadyOnly bool
}

const (
	simDelay   = 10 * time.Second
	simDevices = 3
	simSteps   = 400
)

func newSimulation(draw func(int) int, checks bool, m mutation) *simulation {
	s := &simulation{draw: draw, mutate: m, now: time.Unix(1000, 0), listVersion: 1, lost: map[string]bool{}, reached: map[string]bool{}, wanted: map[string]bool{}, settled: map[string]int64{}}
	for i := range simDevices {
		s.devices = append(s.devices, &device{name: fmt.Sprintf("e%d", i), incarnation: "0", checks: checks, units: map[string]*deviceUnit{}})
	}
	for i := range 5 {
		s.units = append(s.units, UnitSpec{Name: fmt.Sprintf("m%d", i), MemoryMB: int64(30 + 5*i), Replicas: 1 + i%2, LoadCost: 1})
		s.wanted[s.units[i].Name] = true
	}
	for i := range 2 {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprintf("n%d", i)})
		s.start(s.nodes[i])
	}
	return s
}

func (s *simulation) holder(n *simNode) string { return fmt.Sprintf("%s/%d", n.name, n.incarnation) }

func (s *simulation) start(n *simNode) {
	cfg := DefaultControllerConfig("c", s.holder(n))
	n.controller, n.queue, n.answers, n.holdsLease = NewController(cfg), nil, nil, false
	s.step(n, s.settings())
	s.step(n, s.memberList())
}

func (s *simulation) settings() CellSettings {
	delay := simDelay
	if s.mutate.ignoreOrderDelay {
		delay = 0
	}
	c := CellSettings{MaxOrderDelay: delay, CapacityMB: deviceMB, Concurrency: 4, ChecksFencing: s.devices[0].checks, LoadsPerSecond: 100, ConcurrentLoads: 10, Units: []UnitSpec{}}
	for _, u := range s.units {
		if s.wanted[u.Name] {
			c.Units = append(c.Units, u)
		}
	}
	return c
}

func (s *simulation) memberList() MemberList {
	l := MemberList{Version: s.listVersion, Instances: map[string]string{}}
	for _, d := range s.devices {
		l.Endpoints = append(l.Endpoints, Member{Name: d.name, Address: d.address(), FailureDomain: d.name, Incarnation: d.incarnation})
	}
	for _, n := range s.nodes {
		l.Instances[n.name] = fmt.Sprint(n.incarnation)
	}
	return l
}

func (s *simulation) step(n *simNode, e Event) {
	for _, a := range n.controller.Step(s.now, e) {
		switch a := a.(type) {
		case Commit:
			if s.mutate.sendBeforeCommit {
				// The mutation treats an uncommitted intent as committed.
				n.controller.committed = a.Ledger
				n.queue = append(n.queue, n.controller.send(s.now)...)
			}
			n.queue = append(n.queue, a)
		case ReadLedger, SendOrder, RequestInventory, ReadSettled, WriteSettled:
			n.queue = append(n.queue, a)
		}
	}
	if s.mutate.ignoreLateOrders && n.controller.working != nil {
		n.controller.working.RemoveSenders(func(Sender) bool { return true })
	}
	if s.mutate.countReadyOnly && n.controller.working != nil {
		for _, e := range n.controller.working.Endpoints {
			for _, u := range e.Units {
				if u.State == Unloading {
					u.MemoryMB = 0
				}
			}
		}
	}
}

// adversaryStep performs one random step of the adversary.
func (s *simulation) adversaryStep() {
	n := s.nodes[s.draw(len(s.nodes))]
	if n.paused {
		n.paused = s.draw(30) > 0
		return
	}
	switch s.draw(24) {
	case 0, 1, 2, 3:
		s.now = s.now.Add(time.Duration(s.draw(400)) * time.Millisecond)
		s.step(n, Tick{})
	case 4, 5, 6, 7, 8, 9, 10, 11:
		s.executeQueued(n)
	case 12:
		if len(n.answers) > 0 {
			answer := n.answers[0]
			n.answers = n.answers[1:]
			s.step(n, answer)
		}
	case 13, 14:
		for _, d := range s.devices {
			for _, name := range sortedKeys(d.units) {
				d.units[name].ready = d.units[name].ready || s.draw(2) == 0
			}
		}
	case 15, 16:
		s.deliverLate()
	case 17:
		if s.draw(2) == 0 {
			s.elect(n)
		}
	case 18:
		if s.draw(2) == 0 {
			s.now = s.now.Add(time.Duration(s.draw(12)) * time.Second)
		}
	case 19:
		// Operators edit the settings: units are added and removed, and replica counts
		// change.
		for i := range s.units {
			s.units[i].Replicas = 1 + s.draw(2)
			s.wanted[s.units[i].Name] = s.draw(3) > 0
		}
		for _, n := range s.nodes {
			s.step(n, s.settings())
		}
	case 20:
		if s.draw(12) == 0 {
			s.restart(n)
		}
	case 21:
		if s.draw(20) == 0 {
			s.replace(s.devices[s.draw(len(s.devices))])
		}
	case 22:
		if n.holdsLease && s.draw(3) == 0 {
			s.runWithoutFaults(n, 10+s.draw(40))
		}
	default:
		s.step(n, s.memberList())
	}
	s.checkInvariants()
}

// runWithoutFaults lets a controller run without faults for a while, so that schedules
// make progress.
func (s *simulation) runWithoutFaults(n *simNode, rounds int) {
	for range rounds {
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(n, s.memberList())
		for len(n.queue) > 0 {
			a := n.queue[0]
			n.queue = n.queue[1:]
			s.executeWithoutFaults(n, a)
		}
		for _, d := range s.devices {
			for _, u := range d.units {
				u.ready = true
			}
		}
	}
}

// elect gives the lease to n. The previous holder may not learn of it for long.
func (s *simulation) elect(n *simNode) {
	s.epoch++
	for _, other := range s.nodes {
		other.paused = other != n && s.draw(2) == 0
		if other.holdsLease && s.draw(2) == 0 {
			s.step(other, LeaseLost{})
			other.holdsLease = false
		}
	}
	n.holdsLease = true
	s.step(n, LeaseAcquired{Epoch: s.epoch})
}

// restart restarts a process. What it had handed to the network may still arrive; what
// it was about to send never does.
func (s *simulation) restart(n *simNode) {
	n.incarnation++
	s.listVersion++
	s.start(n)
}

// replace gives a device a new incarnation: it is empty, and orders to the old
// incarnation do not reach it.
func (s *simulation) replace(d *device) {
	for name := range d.units {
		s.lost[name] = true
	}
	s.incarnation++
	s.listVersion++
	d.incarnation, d.units, d.epoch = fmt.Sprint(s.incarnation), map[string]*deviceUnit{}, 0
}

// executeQueued executes one queued action in an order that the adversary chooses: a
// process may be paused before any of them.
func (s *simulation) executeQueued(n *simNode) {
	if len(n.queue) == 0 {
		return
	}
	i := s.draw(len(n.queue))
	a := n.queue[i]
	n.queue = slices.Delete(n.queue, i, i+1)
	outcome := s.draw(8)
	switch a := a.(type) {
	case ReadLedger:
		if outcome > 0 {
			s.step(n, LedgerRead{Ledger: s.ledger, Version: s.versionText()})
		}
	case Commit:
		s.executeCommit(n, a, outcome)
	case RequestInventory:
		answer := InventoryReply{Endpoint: a.Endpoint, RequestedAt: s.now, Report: s.device(a.Endpoint).report()}
		switch outcome {
		case 0:
			answer.Report = nil
			s.step(n, answer)
		case 1, 2:
			n.answers = append(n.answers, answer)
		default:
			s.step(n, answer)
		}
	case SendOrder:
		s.executeOrder(n, a, outcome)
	default:
		s.executeOther(n, a)
	}
}

func (s *simulation) executeOther(n *simNode, a Action) {
	switch a := a.(type) {
	case WriteSettled:
		s.settled[a.Holder] = a.Epoch
	case ReadSettled:
		if epoch, known := s.settled[a.Holder]; known {
			s.step(n, HolderSettled{Holder: a.Holder, Epoch: epoch})
		}
	}
}

func (s *simulation) versionText() string {
	if s.version == 0 {
		return ""
	}
	return fmt.Sprint(s.version)
}

func (s *simulation) write(c Commit) (commit.Result, string) {
	if c.Version != s.versionText() {
		return commit.Conflict, ""
	}
	s.ledger = c.Ledger.Clone()
	s.version++
	return commit.Done, s.versionText()
}

func (s *simulation) executeCommit(n *simNode, c Commit, outcome int) {
	switch outcome {
	case 0:
		s.lateCommits = append(s.lateCommits, c)
		s.step(n, CommitEnded{Seq: c.Seq, Result: commit.Unknown})
	case 1:
		s.write(c)
		s.step(n, CommitEnded{Seq: c.Seq, Result: commit.Unknown})
	default:
		result, version := s.write(c)
		s.step(n, CommitEnded{Seq: c.Seq, Result: result, Version: version})
	}
}

func (s *simulation) executeOrder(n *simNode, o SendOrder, outcome int) {
	switch outcome {
	case 0:
		s.step(n, OrderEnded{Order: o.Order.ID, Result: SendUnknown})
	case 1, 2:
		// The order is delayed and may arrive twice.
		for range outcome {
			s.lateOrders = append(s.lateOrders, lateOrder{order: o, sentAt: s.now})
		}
		s.step(n, OrderEnded{Order: o.Order.ID, Result: SendUnknown})
	case 3:
		s.lateOrders = append(s.lateOrders, lateOrder{order: o, sentAt: s.now})
		s.step(n, OrderEnded{Order: o.Order.ID, Result: s.deliver(o)})
	default:
		s.step(n, OrderEnded{Order: o.Order.ID, Result: s.deliver(o)})
	}
}

// deliverLate delivers one late write or order. The network delays an order for no
// longer than simDelay.
func (s *simulation) deliverLate() {
	s.lateOrders = slices.DeleteFunc(s.lateOrders, func(l lateOrder) bool { return s.now.Sub(l.sentAt) >= simDelay })
	if len(s.lateCommits) > 0 && s.draw(2) == 0 {
		s.write(s.lateCommits[0])
		s.lateCommits = s.lateCommits[1:]
	}
	if len(s.lateOrders) == 0 {
		return
	}
	i := s.draw(len(s.lateOrders))
	s.deliver(s.lateOrders[i].order)
	if s.draw(3) > 0 {
		s.lateOrders = slices.Delete(s.lateOrders, i, i+1)
	}
}

func (s *simulation) device(name string) *device {
	for _, d := range s.devices {
		if d.name == name {
			return d
		}
	}
	return nil
}

// checkInvariants checks the rules that must hold for the devices at all times.
func (s *simulation) checkInvariants() {
	reachable := map[string]bool{}
	for _, d := range s.devices {
		if d.used() > deviceMB && s.err == nil {
			s.err = fmt.Errorf("%s holds %d of %d MB", d.name, d.used(), deviceMB)
		}
		for name, u := range d.units {
			if u.ready {
				reachable[name] = true
			}
		}
	}
	for name := range s.reached {
		if !s.wanted[name] {
			delete(s.reached, name)
			continue
		}
		if !reachable[name] && !s.lost[name] && s.err == nil {
			s.err = fmt.Errorf("%s lost its last replica though no device was lost", name)
		}
	}
	for name := range reachable {
		if s.wanted[name] && s.onRecord(name) {
			s.reached[name] = true
			delete(s.lost, name)
		}
	}
}

// onRecord reports whether the stored ledger has a stable replica that exists, and
// includes every loss of a device.
func (s *simulation) onRecord(unit string) bool {
	if s.ledger == nil || s.ledger.ListVersion < s.listVersion {
		return false
	}
	for _, name := range s.ledger.Replicas(unit) {
		d := s.device(name)
		u := d.units[unit]
		if u != nil && u.ready && s.ledger.Endpoints[name].Incarnation == d.incarnation && !s.unloadDecided(name, unit) {
			return true
		}
	}
	return false
}

// unloadDecided reports whether a controller has decided to unload the replica, as it
// may have done while the settings did not name the unit. The decision may be in its
// working ledger or in a commit that has not taken effect yet.
func (s *simulation) unloadDecided(endpoint, unit string) bool {
	decided := func(l *Ledger) bool {
		if l == nil {
			return false
		}
		u := l.unit(endpoint, unit)
		return u != nil && u.State == Unloading
	}
	for _, n := range s.nodes {
		if decided(n.controller.working) {
			return true
		}
		for _, a := range n.queue {
			if c, isCommit := a.(Commit); isCommit && decided(c.Ledger) {
				return true
			}
		}
	}
	return slices.ContainsFunc(s.lateCommits, func(c Commit) bool { return decided(c.Ledger) })
}

// settle runs without faults until all pending work is done, and reports whether every
// unit is then reachable.
func (s *simulation) settle() bool {
	leader := s.nodes[0]
	leader.paused = false
	for _, u := range s.units {
		s.wanted[u.Name] = true
	}
	s.step(leader, s.settings())
	for _, n := range s.nodes[1:] {
		s.step(n, LeaseLost{})
		s.restart(n)
	}
	s.lateOrders, s.lateCommits = nil, nil
	s.elect(leader)
	for _, answer := range leader.answers {
		s.step(leader, answer)
	}
	s.runWithoutFaults(leader, 200)
	for _, u := range leader.controller.settings.Units {
		if len(leader.controller.committed.Replicas(u.Name)) == 0 {
			return false
		}
	}
	return s.err == nil
}

func (s *simulation) executeWithoutFaults(n *simNode, a Action) {
	switch a := a.(type) {
	case ReadLedger:
		s.step(n, LedgerRead{Ledger: s.ledger, Version: s.versionText()})
	case Commit:
		result, version := s.write(a)
		s.step(n, CommitEnded{Seq: a.Seq, Result: result, Version: version})
	case RequestInventory:
		s.step(n, InventoryReply{Endpoint: a.Endpoint, RequestedAt: s.now, Report: s.device(a.Endpoint).report()})
	case SendOrder:
		s.step(n, OrderEnded{Order: a.Order.ID, Result: s.deliver(a)})
	default:
		s.executeOther(n, a)
	}
	s.checkInvariants()
}

func (s *simulation) run() error {
	for range simSteps {
		s.adversaryStep()
		if s.err != nil {
			return s.err
		}
	}
	return nil
}
