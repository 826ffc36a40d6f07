package peer

import (
	"math"
	"slices"
	"time"
)

// FleetView holds the latest state received from each instance. It is a state
// machine without clock or I/O.
//
// Invariant: for each instance only the newest packet of its newest process
// counts. Expire removes instances that have sent no packet for PeerTimeout.
type FleetView struct {
	peers map[string]*peerState
}

// PeerTimeout is the time without a packet after which Expire removes an instance.
const PeerTimeout = 1500 * time.Millisecond

// rateTimeConstant is the time constant of the exponential moving average of demand.
const rateTimeConstant = time.Second

type peerState struct {
	process    string
	seq        uint64
	receivedAt time.Time
	address    string
	leaving    bool
	// firstSeenAt is the time of the first packet of the process, demandsAt that
	// of the last packet with its demands.
	firstSeenAt, demandsAt time.Time
	loads                  map[string]EndpointLoad
	demands                map[string]*demandRate
}

// demandRate estimates the demand for one unit at one instance.
type demandRate struct {
	work    float64
	at      time.Time
	rate    float64
	waiting int
	running int
	// lastRequestAt is when the unit was last requested.
	lastRequestAt time.Time
}

// Demand is the demand for one unit over all instances.
type Demand struct {
	// WorkPerSecond is the averaged rate of requested tokens, Waiting the number
	// of requests that wait for a replica.
	WorkPerSecond float64
	Waiting       int
	// Running is the number of requests at endpoints.
	Running int
	// LastRequestAt is when the unit was last requested. It is kept besides the rate
	// because an averaged rate approaches zero only slowly.
	LastRequestAt time.Time
}

// NewFleetView returns an empty view.
func NewFleetView() *FleetView { return &FleetView{peers: map[string]*peerState{}} }

// Receive records a packet. It reports false for a packet that is a duplicate of
// or older than one already received from the same process.
func (v *FleetView) Receive(now time.Time, p Packet) bool {
	e := v.peers[p.From]
	if e == nil || e.process != p.Process {
		e = &peerState{process: p.Process, firstSeenAt: now, demands: map[string]*demandRate{}}
		v.peers[p.From] = e
	}
	if p.Seq <= e.seq {
		return false
	}
	e.seq, e.receivedAt, e.address, e.leaving = p.Seq, now, p.Address, p.Leaving
	if len(p.Placements) > 0 || p.Instances > 0 || p.Aggregator != 0 {
		// Such a packet carries no load or demand of the sender itself.
		return true
	}
	e.loads = make(map[string]EndpointLoad, len(p.Loads))
	for _, l := range p.Loads {
		e.loads[l.Endpoint] = l
	}
	e.updateDemands(now, p.Demands)
	return true
}

func (e *peerState) updateDemands(now time.Time, demands []UnitDemand) {
	reported := make(map[string]bool, len(demands))
	for _, d := range demands {
		reported[d.Unit] = true
		if r := e.demands[d.Unit]; r != nil {
			r.update(now, d)
			continue
		}
		r := &demandRate{work: d.Work, at: now, waiting: d.Waiting, running: d.Running, lastRequestAt: now}
		if !e.firstSeenAt.Equal(now) {
			// The process is known but the unit is new, so all of its work was
			// requested since the previous packet.
			r.work, r.at = 0, e.demandsAt
			r.update(now, d)
		}
		e.demands[d.Unit] = r
	}
	for unit, r := range e.demands {
		if !reported[unit] {
			// The sender omits units without recent requests.
			r.update(now, UnitDemand{Work: r.work})
		}
	}
	e.demandsAt = now
}

func (r *demandRate) update(now time.Time, d UnitDemand) {
	r.waiting, r.running = d.Waiting, d.Running
	if d.Waiting > 0 || d.Work > r.work {
		r.lastRequestAt = now
	}
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	// d.Work is cumulative; the rate is a moving average of its increase.
	decay := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	r.rate = r.rate*decay + (d.Work-r.work)/elapsed.Seconds()*(1-decay)
	r.work, r.at = d.Work, now
}

// LastContactExcept returns when the last packet was received from any instance
// other than except; zero for never.
func (v *FleetView) LastContactExcept(except string) time.Time {
	var last time.Time
	for name, e := range v.peers {
		if name != except && e.receivedAt.After(last) {
			last = e.receivedAt
		}
	}
	return last
}

// Expire removes the instances whose last packet is PeerTimeout old or older.
func (v *FleetView) Expire(now time.Time) {
	for name, e := range v.peers {
		if now.Sub(e.receivedAt) >= PeerTimeout {
			delete(v.peers, name)
		}
	}
}

// Live returns the names, in order, of the known instances that are not leaving.
func (v *FleetView) Live() []string {
	var names []string
	for name, e := range v.peers {
		if !e.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Addresses returns the address at which each known instance receives packets.
func (v *FleetView) Addresses() map[string]string {
	addresses := make(map[string]string, len(v.peers))
	for name, e := range v.peers {
		addresses[name] = e.address
	}
	return addresses
}

// Loads returns the total load in flight by endpoint, over all instances other
// than except.
func (v *FleetView) Loads(except string) map[string]EndpointLoad {
	totals := map[string]EndpointLoad{}
	for name, e := range v.peers {
		if name == except {
			continue
		}
		for endpoint, l := range e.loads {
			s := totals[endpoint]
			s.Endpoint = endpoint
			s.Running += l.Running
			s.PrefillMicros += l.PrefillMicros
			totals[endpoint] = s
		}
	}
	return totals
}

// Demand returns the demand for each unit over all instances.
func (v *FleetView) Demand() map[string]Demand {
	demands := map[string]Demand{}
	for _, e := range v.peers {
		for unit, r := range e.demands {
			d := demands[unit]
			d.WorkPerSecond += r.rate
			d.Waiting += r.waiting
			d.Running += r.running
			if r.lastRequestAt.After(d.LastRequestAt) {
				d.LastRequestAt = r.lastRequestAt
			}
			demands[unit] = d
		}
	}
	return demands
}
