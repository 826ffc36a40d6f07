package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// meshStats is what an instance shows of what it tells and hears, for operators.
type meshStats struct {
	// InputsDropped counts packets for which there was no time, PlacementsWaiting is how many
	// endpoints the others have not been told of yet.
	InputsDropped     int64 `json:"inputs_dropped"`
	PlacementsWaiting int   `json:"placements_waiting"`
	// WordPauseMS is the time between two words of the hub, and WordBytes what each may carry
	// of sums to each instance.
	AnnounceIntervalMS int64 `json:"word_pause_ms"`
	TotalsBytes        int   `json:"word_bytes"`
	// VouchAgeMS is how long ago the holder last vouched, -1 if it never did.
	AttestationAgeMS int64 `json:"vouch_age_ms"`
	// NewestRevision is the newest revision of the settings that was heard of.
	NewestRevision int64 `json:"newest_revision"`
}

func (m *mesh) stats() meshStats {
	m.mu.Lock()
	waiting := m.unsentPlacements.Len()
	m.mu.Unlock()
	return meshStats{
		InputsDropped: m.inputs.Dropped(), PlacementsWaiting: waiting, AnnounceIntervalMS: m.announceInterval().Milliseconds(), TotalsBytes: m.totalsBudget(),
		AttestationAgeMS: ageMS(m.totals.attestationAge(m.now())), NewestRevision: m.newestRevision.Load(),
	}
}

// passOn keeps refusals for the hub's next word, as in a large fleet the others
// have not heard them.
func (m *mesh) forwardRefusals(refused []uint32) {
	if !m.isHolder() || m.isSmallFleet() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	free := max(maxForwardedRefusals-len(m.refusalsToForward), 0)
	m.refusalsToForward = append(m.refusalsToForward, refused[:min(len(refused), free)]...)
}

// takePassed returns what passOn has kept.
func (m *mesh) takeForwardedRefusals() []uint32 {
	m.mu.Lock()
	defer m.mu.Unlock()
	refusals := m.refusalsToForward
	m.refusalsToForward = nil
	return refusals
}

// sendRate is what this instance can send, in bytes a second, by its link and its processor.
func (m *mesh) sendRate() float64 {
	if m.self.Cores <= 0 {
		return m.linkBytesPerSecond
	}
	return min(m.linkBytesPerSecond, m.self.Cores/datagramCPUTime.Seconds()*peer.MaxPacketBytes)
}

// hubPause is the time between two words, so that they leave the link to callers: the time in
// which the link's share carries all sums, up to hubSlow, as the word also vouches. What it
// does not carry by then is told in the words that follow.
func (m *mesh) announceInterval() time.Duration {
	loads, _ := m.currentTotals()
	packets := 2 + len(loads)/maxTotals
	bytes := float64(packets * peer.MaxPacketBytes * m.listedCount())
	pause := time.Duration(bytes / (m.sendRate() * announceLinkShare) * float64(time.Second))
	return min(max(pause, minAnnounceInterval), maxAnnounceInterval)
}

// sumBytes is how many bytes of sums the link's share carries to each instance between two
// words.
func (m *mesh) totalsBudget() int {
	return int(m.sendRate() * announceLinkShare * m.announceInterval().Seconds() / float64(max(m.listedCount(), 1)))
}

// tellSum tells all instances what all have under way, or of that what they need most, in as
// many packets as that takes.
func (m *mesh) announceTotals() {
	loads, n := m.currentTotals()
	loads = m.outgoingTotals.Next(m.now(), loads, m.totalsBudget())
	withdrawn, refusals, replaced := m.recentlyWithdrawn(), m.takeForwardedRefusals(), m.replacedEndpoints()
	for first := true; first || len(loads)+len(withdrawn)+len(replaced) > 0; first = false {
		p := m.stamp(peer.Packet{Instances: max(n, 1), Revision: m.revision(), Refused: refusals, EndingsDigest: m.quarantine.Digest()})
		p.StoreCurrent = m.storeCurrent() && m.evacuations.tell(&p)
		if p.StoreCurrent {
			p.EndpointsDigest = m.endpointsDigest.Load()
		}
		var leaving, next []endpointStart
		leaving, withdrawn = cut(withdrawn, maxWithdrawn)
		next, replaced = cut(replaced, maxReplaced)
		p.Withdrawn, p.WithdrawnStarts = namesOf(leaving)
		p.Replaced, p.ReplacedStarts = namesOf(next)
		if first {
			p.Totals, loads = cut(loads, maxTotals)
		} else {
			p.Totals, loads = cutLoads(loads, remainingBytes(p))
		}
		m.send(p, m.addresses())
		refusals = nil
	}
}

// cutSums takes as many sums off the front of a list as so many bytes hold, at least one.
func cutLoads(list []peer.EndpointLoad, room int) (front, rest []peer.EndpointLoad) {
	n := 0
	for n < len(list) && (n == 0 || room >= list[n].EncodedSize()) {
		room -= list[n].EncodedSize()
		n++
	}
	return cut(list, n)
}

// tellBinding tells all instances what binds them all together. It is small, and goes before
// the sums.
func (m *mesh) announceConstraints() {
	_, n := m.currentTotals()
	m.announceAllowances()
	if m.isHolder() {
		m.announceEndings(max(n, 1))
		m.announceLimits(max(n, 1))
	}
}

// tellAll tells all instances what this one gathers for them.
func (m *mesh) announceAll() {
	m.announceConstraints()
	if m.isHolder() {
		m.announceTotals()
	}
}

// tellAllowances tells all instances what accounts may have, if this one adds up.
func (m *mesh) announceAllowances() {
	for _, p := range m.allowances.packets() {
		p.Revision, p.EndingsDigest = m.revision(), m.quarantine.Digest()
		p = m.stamp(p)
		m.send(p, m.addresses())
		m.allowances.heard(p)
	}
}

// tellEndings tells all instances of a large fleet which requests end endpoints.
func (m *mesh) announceEndings(instances int) {
	if m.isSmallFleet() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Endings = m.quarantine.PendingReports(m.endingsRoom(p)); len(p.Endings) > 0 {
		m.send(p, m.addresses())
	}
}

// tellLimits tells all instances of a large fleet what endpoints have said of the requests
// that they take.
func (m *mesh) announceLimits(instances int) {
	if m.isSmallFleet() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Limits = m.permits.words(remainingBytes(p)); len(p.Limits) > 0 {
		m.send(p, m.addresses())
	}
}

// standIns is how many instances are told that nobody adds up: entries of some may be those
// of machines that are gone.
const maxAggregatorCandidates = 4

// strongest is where the strongest of the known instances receive packets, but for this one.
// All that know the same agree on them.
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

// replaced returns the endpoints at whose addresses others have answered.
func (m *mesh) replacedEndpoints() []endpointStart {
	var starts []endpointStart
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if e.Replaced() {
				starts = append(starts, endpointStart{e.Name, e.StartedAtMS})
			}
		}
	}
	return starts
}

// cut takes up to n off the front of a list.
func cut[T any](list []T, n int) (front, rest []T) {
	n = min(n, len(list))
	return list[:n], list[n:]
}

// withdraw records that an endpoint has begun to leave.
func (m *mesh) recordWithdrawal(endpoint endpointStart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawn[endpoint.name] = withdrawal{startedAtMS: endpoint.startedAtMS, at: m.now()}
}

// withdrawnLately returns the endpoints of which the others may not know yet that
// they leave. One whose entry had only lapsed, and is back, does not leave.
func (m *mesh) recentlyWithdrawn() []endpointStart {
	leaving := m.withdrawnStarts()
	if len(leaving) == 0 {
		return nil
	}
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if !e.Leaving() {
				leaving = slices.DeleteFunc(leaving, func(s endpointStart) bool { return s.name == e.Name })
			}
		}
	}
	return leaving
}

// withdrawnStarts returns the endpoints that have begun to leave lately, by name.
func (m *mesh) withdrawnStarts() []endpointStart {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.withdrawn, func(_ string, w withdrawal) bool { return m.now().Sub(w.at) >= withdrawalLifetime })
	var leaving []endpointStart
	for _, name := range slices.Sorted(maps.Keys(m.withdrawn)) {
		leaving = append(leaving, endpointStart{name, m.withdrawn[name].startedAtMS})
	}
	return leaving
}

// holderTells tells whether another instance, the holder of the lease, follows
// the store closely and tells of newer settings and leaving endpoints. The holder
// itself must look.
func (m *mesh) holderAttests() bool { return !m.isHolder() && m.totals.attested(m.now()) }

// listsTheSame tells whether this instance lists the endpoints that the holder of the
// lease lists, in the same states, so that there is nothing to ask the store for.
func (m *mesh) listMatchesHolder() bool {
	digest := m.totals.holderEndpointsDigest()
	return digest != 0 && digest == m.endpointsDigest.Load()
}

// listsOthers tells whether the holder of the lease tells that it lists other endpoints,
// or the same in other states.
func (m *mesh) listDiffersFromHolder() bool {
	return m.holderAttests() && m.totals.holderEndpointsDigest() != 0 && !m.listMatchesHolder()
}

// settingsInForce tells whether no instance is known to have newer settings.
func (m *mesh) hasNewestSettings() bool { return m.revision() >= m.newestRevision.Load() }

// noteVouch logs when the holder begins or ceases to vouch.
func (m *mesh) logAttestation() {
	attested := m.totals.attested(m.now())
	if attested == m.wasAttested {
		return
	}
	m.wasAttested = attested
	m.log.Info("holder vouches", "any", attested, "holder", m.totals.address(), "silent_ms", m.coordinatorSilence().Milliseconds())
}

// hubAddress is where the hub is; nowhere while it is not known.
func (m *mesh) coordinatorAddresses() []string {
	if m.isHolder() || !m.totals.fresh(m.now()) {
		return nil
	}
	return []string{m.totals.address()}
}
