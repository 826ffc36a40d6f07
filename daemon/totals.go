package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// totals is the total load of the fleet as the coordinator announced it last, and the state of
// the attestations that its announcements carry.
type totals struct {
	mu          sync.Mutex
	coordinator string
	// coordinatorSince is when the coordinator announced anything first after another one.
	coordinatorSince time.Time
	receivedAt       time.Time
	// attestedAt is when the coordinator last attested that what it knows is current.
	attestedAt time.Time
	// attestedSince is since when it has attested without a gap.
	attestedSince time.Time
	// endpointsDigest is the coordinator's digest of the endpoints in its last attestation.
	endpointsDigest uint64
	loads           map[string]totalLoad
	// holderTimeout is for how long an attestation counts, minHolderTimeout at least.
	holderTimeout time.Duration
	// own is the load that this instance reported last; the coordinator's totals include it.
	own map[string]peer.EndpointLoad
}

// totalLoad is the total load at one endpoint, when it was received and from which address.
type totalLoad struct {
	peer.EndpointLoad
	at   time.Time
	from string
}

// totalsExpiry is for how long the coordinator's announcements count, endpointTotalExpiry the
// same for the total of one endpoint: where a narrow link serves many instances, an unchanged
// total is sent again only seconds later. handoverExpiry is for how long the totals of a former
// coordinator count once another has announced any: that one does not correct what it has not
// announced itself, and announces the largest first.
const (
	totalsExpiry        = 1500 * time.Millisecond
	endpointTotalExpiry = 5 * time.Second
	handoverExpiry      = time.Second
)

// receive applies one packet of an announcement, which may span several. What it attests was
// current when it was received.
func (t *totals) receive(now, receivedAt time.Time, p peer.Packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.coordinator != p.Address {
		t.coordinator, t.coordinatorSince = p.Address, now
	}
	t.receivedAt = now
	if p.StoreCurrent {
		if receivedAt.Sub(t.attestedAt) >= t.attestationLifetime() {
			t.attestedSince = receivedAt
		}
		t.attestedAt, t.endpointsDigest = receivedAt, p.EndpointsDigest
	}
	if t.loads == nil {
		t.loads = map[string]totalLoad{}
	}
	for _, l := range p.Totals {
		t.loads[l.Endpoint] = totalLoad{EndpointLoad: l, at: now, from: p.Address}
	}
}

// recordOwn records the load that this instance reports.
func (t *totals) recordOwn(own []peer.EndpointLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.own = make(map[string]peer.EndpointLoad, len(own))
	for _, l := range own {
		t.own[l.Endpoint] = l
	}
}

// others returns the totals without the load that this instance reported.
func (t *totals) others(now time.Time) map[string]totalLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	handedOver := now.Sub(t.coordinatorSince) >= handoverExpiry
	maps.DeleteFunc(t.loads, func(_ string, l totalLoad) bool {
		return now.Sub(l.at) >= endpointTotalExpiry || handedOver && l.from != t.coordinator
	})
	out := make(map[string]totalLoad, len(t.loads))
	for endpoint, l := range t.loads {
		l.EndpointLoad = t.subtractOwnLocked(l.EndpointLoad)
		out[endpoint] = l
	}
	return out
}

// subtractOwn returns a total without the load that this instance reported.
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

// fresh reports whether totals were received recently.
func (t *totals) fresh(now time.Time) bool { return t.contactAge(now) < totalsExpiry }

// attested reports whether the coordinator has recently attested that what it knows is
// current.
func (t *totals) attested(now time.Time) bool {
	return t.attestationAge(now) < t.attestationLifetime()
}

// attestationLifetime returns for how long an attestation counts.
func (t *totals) attestationLifetime() time.Duration { return max(t.holderTimeout, minHolderTimeout) }

// storeBackSince returns since when the store has answered the lease holder without a break,
// according to its attestations; zero if no attestation is valid now.
func (t *totals) storeBackSince(now time.Time) time.Time {
	if !t.attested(now) {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attestedSince
}

// holderEndpointsDigest returns the coordinator's digest of the endpoints; 0 if it announces
// none.
func (t *totals) holderEndpointsDigest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endpointsDigest
}

// attestationAge returns how long ago the coordinator last attested that what it knows is
// current; neverConfirmed if it never did.
func (t *totals) attestationAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attestedAt.IsZero() {
		return neverConfirmed
	}
	return now.Sub(t.attestedAt)
}

// contactAge returns how long ago the coordinator was last in contact.
func (t *totals) contactAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.receivedAt)
}

// address returns where the coordinator receives packets.
func (t *totals) address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.coordinator
}
