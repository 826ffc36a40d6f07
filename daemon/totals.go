package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// totals is the hub's word on what all instances have under way.
type totals struct {
	mu          sync.Mutex
	coordinator string
	receivedAt  time.Time
	// currentAt is when the hub last said that what it knows is current.
	attestedAt time.Time
	// vouchedSince is since when it has said so without a break.
	attestedSince time.Time
	// endpoints is the hub's digest of the endpoints, of its last word that vouches.
	endpointsDigest uint64
	loads           map[string]totalLoad
	// holderLost is for how long a word that vouches counts, leastHolderLost at least.
	holderTimeout time.Duration
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
	totalsExpiry        = 1500 * time.Millisecond
	endpointTotalExpiry = 5 * time.Second
)

// take takes a word of the hub; it comes in several packets.
func (t *totals) receive(now time.Time, p peer.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coordinator, t.receivedAt = p.Address, now
	if p.StoreCurrent {
		if now.Sub(t.attestedAt) >= t.attestationLifetime() {
			t.attestedSince = now
		}
		t.attestedAt, t.endpointsDigest = now, p.EndpointsDigest
	}
	if t.loads == nil {
		t.loads = map[string]totalLoad{}
	}
	for _, l := range p.Totals {
		t.loads[l.Endpoint] = totalLoad{EndpointLoad: l, at: now}
	}
}

// tell records what this instance tells.
func (t *totals) recordOwn(own []peer.EndpointLoad) {
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
	maps.DeleteFunc(t.loads, func(_ string, l totalLoad) bool { return now.Sub(l.at) >= endpointTotalExpiry })
	out := make(map[string]peer.EndpointLoad, len(t.loads))
	for endpoint, l := range t.loads {
		out[endpoint] = t.subtractOwnLocked(l.EndpointLoad)
	}
	return out
}

// less is a sum less what this instance told.
func (t *totals) subtractOwn(l peer.EndpointLoad) peer.EndpointLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.subtractOwnLocked(l)
}

func (t *totals) subtractOwnLocked(l peer.EndpointLoad) peer.EndpointLoad {
	own := t.own[l.Endpoint]
	return peer.EndpointLoad{
		Endpoint: l.Endpoint, Running: max(l.Running-own.Running, 0), PrefillMicros: max(l.PrefillMicros-own.PrefillMicros, 0),
	}
}

// fresh tells whether sums have been told lately.
func (t *totals) fresh(now time.Time) bool { return t.silence(now) < totalsExpiry }

// vouched tells whether the hub has said lately that what it knows is current.
func (t *totals) attested(now time.Time) bool {
	return t.attestationAge(now) < t.attestationLifetime()
}

// lost is for how long a word that vouches counts.
func (t *totals) attestationLifetime() time.Duration { return max(t.holderTimeout, minHolderTimeout) }

// storeThere is since when, by the holder's word, the store has been there for it
// without a break; zero if it does not vouch now.
func (t *totals) storeBackSince(now time.Time) time.Time {
	if !t.attested(now) {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attestedSince
}

// toldEndpoints is the hub's digest of the endpoints; 0 where it tells none.
func (t *totals) holderEndpointsDigest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpointsDigest
}

// vouchedAge is how long ago the hub last said that what it knows is current.
func (t *totals) attestationAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attestedAt.IsZero() {
		return neverConfirmed
	}
	return now.Sub(t.attestedAt)
}

// silent is how long ago the hub was heard.
func (t *totals) silence(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.receivedAt)
}

// address is where the hub receives packets.
func (t *totals) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator
}
