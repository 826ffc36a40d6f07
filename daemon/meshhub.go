package daemon

import (
	"slices"

	"github.com/eiderspring/eiderspring/peer"
)

// passOn keeps refusals for the hub's next word, as in a large fleet the others
// have not heard them.
func (m *mesh) passOn(refused []uint32) {
	if !m.holds() || m.small() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	room := max(maxPassedOn-len(m.passed), 0)
	m.passed = append(m.passed, refused[:min(len(refused), room)]...)
}

// takePassed returns what passOn has kept.
func (m *mesh) takePassed() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := m.passed
	m.passed = nil
	return passed
}

// tellSum tells all instances what all have under way.
func (m *mesh) tellSum() {
	sum, n := m.sums()
	withdrawn, passed := m.withdrawnLately(), m.takePassed()
	for first := true; first || len(sum) > 0; first = false {
		k := min(len(sum), maxTotals)
		m.send(m.stamp(peer.Packet{
			Totals: sum[:k], Instances: max(n, 1), Revision: m.revision(), Withdrawn: withdrawn, Refused: passed,
		}), m.addresses())
		passed = nil
		sum = sum[k:]
	}
}

// withdraw records that an endpoint has begun to leave.
func (m *mesh) withdraw(endpoint string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawn[endpoint] = m.now()
}

// withdrawnLately returns the endpoints of which the others may not know yet.
func (m *mesh) withdrawnLately() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, at := range m.withdrawn {
		if m.now().Sub(at) >= 2*largeGather {
			delete(m.withdrawn, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names[:min(len(names), maxWithdrawn)]
}

// hubTells tells whether another instance tells which endpoints leave. The hub
// itself must look.
func (m *mesh) hubTells() bool { return !m.holds() && m.hubSilent() < hubLost }

// hubAddress is where the hub is; nowhere while it is not known.
func (m *mesh) hubAddress() []string {
	if m.holds() || !m.totals.fresh(m.now()) {
		return nil
	}
	return []string{m.totals.address()}
}
