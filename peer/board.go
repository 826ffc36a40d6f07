package peer

import (
	"math"
	"slices"
	"time"
)

// FleetView is what all instances have told: a state machine without clock or I/O.
//
// Invariant: of each instance only the newest packet of its newest process
// counts, and nothing of an instance that was not heard for Expiry.
type FleetView struct {
	peers map[string]*boardEntry
}

// PeerTimeout is how long an instance counts without a packet.
const PeerTimeout = 1500 * time.Millisecond

// rateTime is the time over which demand is averaged.
const rateTime = time.Second

type boardEntry struct {
	process string
	seq     uint64
	heardAt time.Time
	address string
	leaving bool
	// since is when the process was first heard, toldAt when it last told its
	// demands.
	since, toldAt time.Time
	loads         map[string]EndpointLoad
	demands       map[string]*demandRate
}

// demandRate follows one unit's demand at one instance.
type demandRate struct {
	work    float64
	at      time.Time
	rate    float64
	waiting int
	// askedAt is when the unit was last asked for.
	askedAt time.Time
}

// Demand is what is asked of one unit, of all instances together.
type Demand struct {
	// WorkPerSecond is the work a second, Waiting the requests that wait for a replica.
	WorkPerSecond float64
	Waiting       int
	// AskedAt is when the unit was last asked for: rates fall to nothing only
	// slowly.
	AskedAt time.Time
}

// NewFleetView returns an empty board.
func NewFleetView() *FleetView { return &FleetView{peers: map[string]*boardEntry{}} }

// Receive takes a packet. It reports false for one that is older than another
// of the same process.
func (b *FleetView) Receive(now time.Time, p Packet) bool {
	e := b.peers[p.From]
	if e == nil || e.process != p.Process {
		e = &boardEntry{process: p.Process, since: now, demands: map[string]*demandRate{}}
		b.peers[p.From] = e
	}
	if p.Seq <= e.seq {
		return false
	}
	e.seq, e.heardAt, e.address, e.leaving = p.Seq, now, p.Address, p.Leaving
	if len(p.Placements) > 0 || p.Instances > 0 || p.Aggregator != 0 {
		// Such a packet tells nothing of the sender's own.
		return true
	}
	e.loads = make(map[string]EndpointLoad, len(p.Loads))
	for _, l := range p.Loads {
		e.loads[l.Endpoint] = l
	}
	e.demand(now, p.Demands)
	return true
}

func (e *boardEntry) demand(now time.Time, demands []UnitDemand) {
	told := make(map[string]bool, len(demands))
	for _, d := range demands {
		told[d.Unit] = true
		if r := e.demands[d.Unit]; r != nil {
			r.observe(now, d)
			continue
		}
		r := &demandRate{work: d.Work, at: now, waiting: d.Waiting, askedAt: now}
		if !e.since.Equal(now) {
			// The unit was not asked for before the last packet.
			r.work, r.at = 0, e.toldAt
			r.observe(now, d)
		}
		e.demands[d.Unit] = r
	}
	for unit, r := range e.demands {
		if !told[unit] {
			// The sender leaves out what it was not asked for lately.
			r.observe(now, UnitDemand{Work: r.work})
		}
	}
	e.toldAt = now
}

func (r *demandRate) observe(now time.Time, d UnitDemand) {
	r.waiting = d.Waiting
	if d.Waiting > 0 || d.Work > r.work {
		r.askedAt = now
	}
	elapsed := now.Sub(r.at)
	if elapsed <= 0 {
		return
	}
	kept := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	r.rate = r.rate*kept + (d.Work-r.work)/elapsed.Seconds()*(1-kept)
	r.work, r.at = d.Work, now
}

// LastContactExcept is when any instance but one was last heard; zero for never.
func (b *FleetView) LastContactExcept(but string) time.Time {
	var last time.Time
	for name, e := range b.peers {
		if name != but && e.heardAt.After(last) {
			last = e.heardAt
		}
	}
	return last
}

// Expire drops what is too old to count.
func (b *FleetView) Expire(now time.Time) {
	for name, e := range b.peers {
		if now.Sub(e.heardAt) >= PeerTimeout {
			delete(b.peers, name)
		}
	}
}

// Live returns the instances that were heard lately and are not leaving.
func (b *FleetView) Live() []string {
	var names []string
	for name, e := range b.peers {
		if !e.leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Addresses returns where each instance that was heard lately receives packets.
func (b *FleetView) Addresses() map[string]string {
	addresses := make(map[string]string, len(b.peers))
	for name, e := range b.peers {
		addresses[name] = e.address
	}
	return addresses
}

// Loads returns what all instances but one have under way, by endpoint.
func (b *FleetView) Loads(but string) map[string]EndpointLoad {
	sum := map[string]EndpointLoad{}
	for name, e := range b.peers {
		if name == but {
			continue
		}
		for endpoint, l := range e.loads {
			s := sum[endpoint]
			s.Endpoint = endpoint
			s.Running += l.Running
			s.PrefillMicros += l.PrefillMicros
			sum[endpoint] = s
		}
	}
	return sum
}

// Demand returns what is asked of each unit.
func (b *FleetView) Demand() map[string]Demand {
	demands := map[string]Demand{}
	for _, e := range b.peers {
		for unit, r := range e.demands {
			d := demands[unit]
			d.WorkPerSecond += r.rate
			d.Waiting += r.waiting
			if r.askedAt.After(d.AskedAt) {
				d.AskedAt = r.askedAt
			}
			demands[unit] = d
		}
	}
	return demands
}
