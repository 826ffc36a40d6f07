package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// meshStats is what operators see of the packets that an instance sends and receives.
type meshStats struct {
	// InputsDropped counts packets that were dropped unprocessed, PlacementsWaiting is the
	// number of endpoints whose placements have not been sent to the others yet.
	InputsDropped     int64 `json:"inputs_dropped"`
	PlacementsWaiting int   `json:"placements_waiting"`
	// AnnounceIntervalMS is the time between two announcements of the coordinator, TotalsBytes
	// the most bytes of totals that each carries to each instance.
	AnnounceIntervalMS int64 `json:"word_pause_ms"`
	TotalsBytes        int   `json:"word_bytes"`
	// AttestationAgeMS is how long ago the lease holder last attested, -1 if it never did.
	AttestationAgeMS int64 `json:"vouch_age_ms"`
	// NewestRevision is the newest revision of the settings that any instance has reported.
	NewestRevision int64 `json:"newest_revision"`
	// InContact is the number of instances recently in contact, this one included.
	InContact int `json:"instances_in_contact"`
}

func (m *mesh) stats() meshStats {
	m.mu.Lock()
	waiting := m.unsentPlacements.Len()
	m.mu.Unlock()
	_, inContact := m.currentTotals()
	return meshStats{
		InContact:     inContact,
		InputsDropped: m.inputs.Dropped(), PlacementsWaiting: waiting, AnnounceIntervalMS: m.announceInterval().Milliseconds(), TotalsBytes: m.totalsBudget(),
		AttestationAgeMS: ageMS(m.totals.attestationAge(m.now())), NewestRevision: m.newestRevision.Load(),
	}
}

// sendRate returns how many bytes per second this instance can send, given its link and its
// processor.
func (m *mesh) sendRate() float64 {
	if m.self.Cores <= 0 {
		return m.linkBytesPerSecond
	}
	return min(m.linkBytesPerSecond, m.self.Cores/datagramCPUTime.Seconds()*peer.MaxPacketBytes)
}

// announceInterval returns the time between two announcements, such that the link remains
// available to callers: the time in which the announcements' share of the link carries all
// totals, up to maxAnnounceInterval, as each announcement also attests. Totals that do not fit
// are sent in later announcements.
func (m *mesh) announceInterval() time.Duration {
	loads, _ := m.currentTotals()
	packets := 2 + len(loads)/maxTotals + m.outlooks.packets()
	bytes := float64(packets * peer.MaxPacketBytes * m.listedCount())
	pause := time.Duration(bytes / (m.sendRate() * announceLinkShare) * float64(time.Second))
	return min(max(pause, minAnnounceInterval), maxAnnounceInterval)
}

// totalsBudget returns how many bytes of totals the announcements' share of the link carries
// to each instance between two announcements.
func (m *mesh) totalsBudget() int {
	return int(m.sendRate() * announceLinkShare * m.announceInterval().Seconds() / float64(max(m.listedCount(), 1)))
}

// announceTotals sends the total load of the fleet to all instances, or the part of it that
// they need most, in as many packets as that takes.
func (m *mesh) announceTotals() {
	all, n := m.currentTotals()
	loads := m.outgoingTotals.Next(m.now(), all, m.totalsBudget())
	withdrawn, replaced := m.recentlyWithdrawn(), m.replacedEndpoints()
	for first := true; first || len(loads)+len(withdrawn)+len(replaced) > 0; first = false {
		p := m.stamp(peer.Packet{Instances: max(n, 1), Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
		p.StoreCurrent = m.storeCurrent() && m.evacuations.addTo(&p)
		if p.StoreCurrent {
			p.EndpointsDigest = m.endpointsDigest.Load()
		}
		var leaving, next []endpointIncarnation
		leaving, withdrawn = cut(withdrawn, maxWithdrawn)
		next, replaced = cut(replaced, maxReplaced)
		p.Withdrawn, p.WithdrawnStarts = splitIncarnations(leaving)
		p.Replaced, p.ReplacedStarts = splitIncarnations(next)
		if first && !m.isSmallFleet() {
			m.pools.addModes(m.now(), all, &p)
		}
		if first && len(p.PoolModes) == 0 {
			p.Totals, loads = cut(loads, maxTotals)
		} else {
			p.Totals, loads = cutLoads(loads, remainingBytes(p))
		}
		m.send(p, m.addresses())
	}
}

// cutLoads splits off the front of a list as many loads as fit into room bytes, at least one.
func cutLoads(list []peer.EndpointLoad, room int) (front, rest []peer.EndpointLoad) {
	n := 0
	for n < len(list) && (n == 0 || room >= list[n].EncodedSize()) {
		room -= list[n].EncodedSize()
		n++
	}
	return cut(list, n)
}

// announceConstraints sends to all instances what limits them all together. It is small, and
// precedes the totals.
func (m *mesh) announceConstraints() {
	_, n := m.currentTotals()
	m.announceAllowances()
	if m.isHolder() {
		m.announceEndings(max(n, 1))
		m.announceLimits(max(n, 1))
		m.announceConditions(max(n, 1))
		m.announceOutlook(max(n, 1))
	}
}

// announceOutlook sends to all instances when new requests can start, and when
// refused callers come back.
func (m *mesh) announceOutlook(instances int) {
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if m.outlooks.announcement(&p) {
		m.send(p, m.addresses())
	}
}

// addOutlookReport adds to a summary what the forecasts need.
func (m *mesh) addOutlookReport(p *peer.Packet) {
	if m.outlooks == nil {
		return
	}
	waiting := map[string]map[int]int{}
	m.gates.WaitingByPriority(waiting)
	m.outlooks.report(p, waiting)
}

// announceAll sends to all instances what this one aggregates for them.
func (m *mesh) announceAll() {
	m.announceConstraints()
	if m.isHolder() {
		m.announceTotals()
	}
}

// announceAllowances sends to all instances the allowances of accounts, if this one is the
// aggregator.
func (m *mesh) announceAllowances() {
	for _, p := range m.allowances.announcements() {
		p.Revision, p.EndingsDigest = m.revision(), m.quarantine.Digest()
		p = m.stamp(p)
		m.send(p, m.addresses())
		m.allowances.receive(p)
	}
}

// announceEndings sends to all instances of a large fleet which requests end endpoints.
func (m *mesh) announceEndings(instances int) {
	if m.isSmallFleet() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Endings = m.quarantine.PendingReports(m.endingsRoom(p)); len(p.Endings) > 0 {
		m.send(p, m.addresses())
	}
}

// announceLimits sends to all instances of a large fleet the limits that endpoints have
// reported for the requests they accept.
func (m *mesh) announceLimits(instances int) {
	if m.isSmallFleet() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Limits = m.permits.pendingLimits(remainingBytes(p)); len(p.Limits) > 0 {
		m.send(p, m.addresses())
	}
}

// maxAggregatorCandidates is how many instances are notified that there is no aggregator: the
// entries of some may belong to machines that are gone.
const maxAggregatorCandidates = 4

// strongestAddresses returns where the instances with the most processor time receive packets,
// except this one. All instances with the same list select the same ones.
func (m *mesh) strongestAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Collect(maps.Keys(m.listed))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.listed[b].Cores, m.listed[a].Cores), cmp.Compare(a, b))
	})
	var addresses []string
	for _, name := range names[:min(len(names), maxAggregatorCandidates)] {
		if name != m.instance {
			addresses = append(addresses, m.listed[name].Datagrams)
		}
	}
	return addresses
}

// replacedEndpoints returns the endpoints at whose addresses other incarnations have answered.
func (m *mesh) replacedEndpoints() []endpointIncarnation {
	var incarnations []endpointIncarnation
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if e.Replaced() {
				incarnations = append(incarnations, endpointIncarnation{e.Name, e.StartedAtMS})
			}
		}
	}
	return incarnations
}

// cut splits off up to n elements of the front of a list.
func cut[T any](list []T, n int) (front, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}

// recordWithdrawal records that an endpoint has begun to leave.
func (m *mesh) recordWithdrawal(endpoint endpointIncarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawn[endpoint.name] = withdrawal{startedAtMS: endpoint.startedAtMS, at: m.now()}
}

// recordSaidLeaving records that an endpoint has said to this instance that it leaves.
func (m *mesh) recordSaidLeaving(endpoint endpointIncarnation) {
	m.mu.Lock()
	m.saidLeaving[endpoint.name] = withdrawal{startedAtMS: endpoint.startedAtMS, at: m.now()}
	m.mu.Unlock()
	m.sendSoon()
}

// recentlySaidLeaving returns the endpoints that have recently said to this instance that they leave,
// by name, as many as fit into a packet.
func (m *mesh) recentlySaidLeaving() []endpointIncarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	leaving, _ := cut(recentIncarnations(m.saidLeaving, m.now()), maxSaidLeaving)
	return leaving
}

// recentlyWithdrawn returns the endpoints that leave and that the others may not know of yet.
// An endpoint whose entry had only lapsed, and has returned, is not among them.
func (m *mesh) recentlyWithdrawn() []endpointIncarnation {
	leaving := m.withdrawnIncarnations()
	if len(leaving) == 0 {
		return nil
	}
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if !e.Leaving() {
				leaving = slices.DeleteFunc(leaving, func(s endpointIncarnation) bool { return s.name == e.Name })
			}
		}
	}
	return leaving
}

// withdrawnIncarnations returns the endpoints that have recently begun to leave, by name.
func (m *mesh) withdrawnIncarnations() []endpointIncarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return recentIncarnations(m.withdrawn, m.now())
}

// recentIncarnations drops the old entries of a record of leaving endpoints and returns the others, by
// name.
func recentIncarnations(record map[string]withdrawal, now time.Time) []endpointIncarnation {
	maps.DeleteFunc(record, func(_ string, w withdrawal) bool { return now.Sub(w.at) >= withdrawalLifetime })
	var leaving []endpointIncarnation
	for _, name := range slices.Sorted(maps.Keys(record)) {
		leaving = append(leaving, endpointIncarnation{name, record[name].startedAtMS})
	}
	return leaving
}

// holderAttests reports whether another instance holds the lease, follows the store by fresh
// watches and announces newer settings and leaving endpoints. The holder itself must follow
// the store.
func (m *mesh) holderAttests() bool { return !m.isHolder() && m.totals.attested(m.now()) }

// listMatchesHolder reports whether this instance lists the same endpoints as the lease
// holder, in the same states, so that there is nothing to ask the store for.
func (m *mesh) listMatchesHolder() bool {
	digest := m.totals.holderEndpointsDigest()
	return digest != 0 && digest == m.endpointsDigest.Load()
}

// listDiffersFromHolder reports whether the lease holder announces that it lists other
// endpoints, or the same in other states.
func (m *mesh) listDiffersFromHolder() bool {
	return m.holderAttests() && m.totals.holderEndpointsDigest() != 0 && !m.listMatchesHolder()
}

// hasNewestSettings reports whether no instance is known to have newer settings.
func (m *mesh) hasNewestSettings() bool { return m.revision() >= m.newestRevision.Load() }

// logAttestation logs when the attestations of the lease holder begin or cease.
func (m *mesh) logAttestation() {
	attested := m.totals.attested(m.now())
	if attested == m.wasAttested {
		return
	}
	m.wasAttested = attested
	m.log.Info("lease holder attestation", "any", attested, "holder", m.totals.address(), "silent_ms", m.coordinatorContactAge().Milliseconds())
}

// coordinatorAddresses returns the address of the coordinator; none if it is not known or is
// this instance.
func (m *mesh) coordinatorAddresses() []string {
	if m.isHolder() || !m.totals.fresh(m.now()) {
		return nil
	}
	return []string{m.totals.address()}
}
