package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/handover"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/relay"
)

// knownInstances returns the processor time of each instance that is listed in the store, this
// one included.
func (m *mesh) knownInstances() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]float64, len(m.listed)+1)
	for name, p := range m.listed {
		known[name] = p.Cores
	}
	known[m.instance] = m.self.Cores
	return known
}

// knownVersion changes when the result of knownInstances, fleet or unlistedInstances may have changed.
func (m *mesh) knownVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedVersion
}

// fleet returns the listed instances, this one included.
func (m *mesh) fleet() []relay.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := make([]relay.Instance, 0, len(m.listed)+1)
	fleet = append(fleet, relay.Instance{Name: m.instance, FailureDomain: m.self.FailureDomain, Cores: m.self.Cores})
	for name, p := range m.listed {
		if name != m.instance {
			fleet = append(fleet, relay.Instance{Name: name, FailureDomain: p.FailureDomain, Cores: p.Cores})
		}
	}
	return fleet
}

// findUnlisted returns the instances recently in contact that are not listed yet, sorted. m.mu is held.
func (m *mesh) findUnlisted() []string {
	var unlisted []string
	for name := range m.reportedAddresses {
		if _, listed := m.listed[name]; !listed && name != m.instance {
			unlisted = append(unlisted, name)
		}
	}
	slices.Sort(unlisted)
	return unlisted
}

// unlistedInstances returns the instances recently in contact that are not listed yet.
func (m *mesh) unlistedInstances() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unlisted
}

// streamAddress returns where an instance accepts streams; empty if that is not known.
func (m *mesh) streamAddress(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[instance].Streams
}

// helperCandidates returns the other instances that accept streams. In a small fleet those in
// contact count, as some entries may belong to machines that are gone.
func (m *mesh) helperCandidates() []handover.Candidate {
	small := m.isSmallFleet()
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.regions[m.self.FailureDomain]
	var candidates []handover.Candidate
	for name, p := range m.listed {
		_, inContact := m.reportedAddresses[name]
		if name != m.instance && p.Streams != "" && (inContact || !small) {
			candidates = append(candidates, handover.Candidate{Name: name, Near: m.regions[p.FailureDomain] == own})
		}
	}
	return candidates
}

// sinceJoin returns how long ago an instance was last added to the list.
func (m *mesh) sinceJoin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.joinedAt)
}

// hasStrongerPeer reports whether an instance recently in contact has at least the given
// multiple of the processor time of this one.
func (m *mesh) hasStrongerPeer(times float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.reportedAddresses {
		if m.listed[name].Cores >= times*m.self.Cores {
			return true
		}
	}
	return false
}

// permitIssuers returns the instances that issue permits and lend places. In a small fleet those in contact
// count, as some entries may belong to machines that are gone.
func (m *mesh) permitIssuers() permit.Fleet {
	f := permit.Fleet{Isolated: m.isolated()}
	small := m.isSmallFleet()
	m.mu.Lock()
	defer m.mu.Unlock()
	if small {
		f.Members = slices.Collect(maps.Keys(m.reportedAddresses))
	}
	if len(f.Members) == 0 {
		f.Members = slices.Collect(maps.Keys(m.listed))
	}
	if !slices.Contains(f.Members, m.instance) {
		f.Members = append(f.Members, m.instance)
	}
	f.KnownCount = max(len(m.listed), len(f.Members))
	return f
}

// datagramAddress returns where an instance receives packets; empty if that is not known.
func (m *mesh) datagramAddress(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address, reported := m.reportedAddresses[instance]; reported {
		return address
	}
	return m.listed[instance].Datagrams
}

// addressesOf returns where other instances receive packets, as far as that is known.
func (m *mesh) addressesOf(instances []string) []string {
	var addresses []string
	for _, name := range instances {
		if address := m.datagramAddress(name); address != "" && name != m.instance {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// sendTo sends a packet to one instance if its address is known.
func (m *mesh) sendTo(p peer.Packet, instance string) {
	if address := m.datagramAddress(instance); address != "" {
		m.send(m.stamp(p), []string{address})
	}
}

// coordinatorContactAge returns how long ago the coordinator was last in contact.
func (m *mesh) coordinatorContactAge() time.Duration { return m.totals.contactAge(m.now()) }
