package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// totals is the hub's word on what all instances have under way.
type totals struct {
	mu      sync.Mutex
	hub     string
	heardAt time.Time
	// currentAt is when the hub last said that what it knows is current.
	currentAt time.Time
	// vouchedSince is since when it has said so without a break.
	vouchedSince time.Time
	// endpoints is the hub's digest of the endpoints, of its last word that vouches.
	endpoints uint64
	loads     map[string]totalLoad
	// holderLost is for how long a word that vouches counts, leastHolderLost at least.
	holderLost time.Duration
	// own is what this instance told last; the hub's sums hold it.
	own map[string]peer.EndpointLoad
}

// totalLoad is the sum at one endpoint and when it was told.
type totalLoad struct {
	peer.EndpointLoad
	at time.Time
}

// totalsExpiry is how long the hub's word counts, and sumExpiry its sum of an endpoint: where a
// narrow link serves many instances it is told again seconds later, unless it changes.
const (
	totalsExpiry = 1500 * time.Millisecond
	sumExpiry    = 5 * time.Second
)

// take takes a word of the hub; it comes in several packets.
func (t *totals) take(now time.Time, p peer.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hub, t.heardAt = p.Address, now
	if p.StoreCurrent {
		if now.Sub(t.currentAt) >= t.lost() {
			t.vouchedSince = now
		}
		t.currentAt, t.endpoints = now, p.EndpointsDigest
	}
	if t.loads == nil {
		t.loads = map[string]totalLoad{}
	}
	for _, l := range p.Totals {
		t.loads[l.Endpoint] = totalLoad{EndpointLoad: l, at: now}
	}
}

// tell records what this instance tells.
func (t *totals) tell(own []peer.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = make(map[string]peer.EndpointLoad, len(own))
	for _, l := range own {
		t.own[l.Endpoint] = l
	}
}

// others is the sums less what this instance told.
func (t *totals) others(now time.Time) map[string]peer.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.loads, func(_ string, l totalLoad) bool { return now.Sub(l.at) >= sumExpiry })
	out := make(map[string]peer.EndpointLoad, len(t.loads))
	for endpoint, l := range t.loads {
		out[endpoint] = t.withoutOwn(l.EndpointLoad)
	}
	return out
}

// less is a sum less what this instance told.
func (t *totals) less(l peer.EndpointLoad) peer.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withoutOwn(l)
}

func (t *totals) withoutOwn(l peer.EndpointLoad) peer.EndpointLoad {
	own := t.own[l.Endpoint]
	return peer.EndpointLoad{
		Endpoint: l.Endpoint, Running: max(l.Running-own.Running, 0), PrefillMicros: max(l.PrefillMicros-own.PrefillMicros, 0),
	}
}

// fresh tells whether sums have been told lately.
func (t *totals) fresh(now time.Time) bool { return t.silent(now) < totalsExpiry }

// vouched tells whether the hub has said lately that what it knows is current.
func (t *totals) vouched(now time.Time) bool {
	return t.vouchedAge(now) < t.lost()
}

// lost is for how long a word that vouches counts.
func (t *totals) lost() time.Duration { return max(t.holderLost, leastHolderLost) }

// storeThere is since when, by the holder's word, the store has been there for it
// without a break; zero if it does not vouch now.
func (t *totals) storeThere(now time.Time) time.Time {
	if !t.vouched(now) {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vouchedSince
}

// toldEndpoints is the hub's digest of the endpoints; 0 where it tells none.
func (t *totals) toldEndpoints() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpoints
}

// vouchedAge is how long ago the hub last said that what it knows is current.
func (t *totals) vouchedAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.currentAt.IsZero() {
		return neverConfirmed
	}
	return now.Sub(t.currentAt)
}

// silent is how long ago the hub was heard.
func (t *totals) silent(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.heardAt)
}

// address is where the hub receives packets.
func (t *totals) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hub
}
