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
	WordPauseMS int64 `json:"word_pause_ms"`
	WordBytes   int   `json:"word_bytes"`
	// VouchAgeMS is how long ago the holder last vouched, -1 if it never did.
	VouchAgeMS int64 `json:"vouch_age_ms"`
	// NewestRevision is the newest revision of the settings that was heard of.
	NewestRevision int64 `json:"newest_revision"`
}

func (m *mesh) stats() meshStats {
	m.mu.Lock()
	waiting := m.unsent.Len()
	m.mu.Unlock()
	return meshStats{
		InputsDropped: m.inputs.Dropped(), PlacementsWaiting: waiting, WordPauseMS: m.hubPause().Milliseconds(), WordBytes: m.sumBytes(),
		VouchAgeMS: ageMS(m.totals.vouchedAge(m.now())), NewestRevision: m.newest.Load(),
	}
}

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

// sendRate is what this instance can send, in bytes a second, by its link and its processor.
func (m *mesh) sendRate() float64 {
	if m.self.Cores <= 0 {
		return m.linkBytes
	}
	return min(m.linkBytes, m.self.Cores/datagramTime.Seconds()*peer.MaxPacketBytes)
}

// hubPause is the time between two words, so that they leave the link to callers: the time in
// which the link's share carries all sums, up to hubSlow, as the word also vouches. What it
// does not carry by then is told in the words that follow.
func (m *mesh) hubPause() time.Duration {
	sum, _ := m.sums()
	packets := 2 + len(sum)/maxTotals
	bytes := float64(packets * peer.MaxPacketBytes * m.size())
	pause := time.Duration(bytes / (m.sendRate() * hubLinkShare) * float64(time.Second))
	return min(max(pause, hubTick), hubSlow)
}

// sumBytes is how many bytes of sums the link's share carries to each instance between two
// words.
func (m *mesh) sumBytes() int {
	return int(m.sendRate() * hubLinkShare * m.hubPause().Seconds() / float64(max(m.size(), 1)))
}

// tellSum tells all instances what all have under way, or of that what they need most, in as
// many packets as that takes.
func (m *mesh) tellSum() {
	sum, n := m.sums()
	sum = m.hubSums.Next(m.now(), sum, m.sumBytes())
	withdrawn, passed, gone := m.withdrawnLately(), m.takePassed(), m.replaced()
	for first := true; first || len(sum)+len(withdrawn)+len(gone) > 0; first = false {
		p := m.stamp(peer.Packet{Instances: max(n, 1), Revision: m.revision(), Refused: passed, EndingsDigest: m.quarantine.Digest()})
		p.StoreCurrent = m.current() && m.evacuations.tell(&p)
		if p.StoreCurrent {
			p.EndpointsDigest = m.endpoints.Load()
		}
		var leaving, replaced []endpointStart
		leaving, withdrawn = cut(withdrawn, maxWithdrawn)
		replaced, gone = cut(gone, maxGone)
		p.Withdrawn, p.WithdrawnStarts = namesOf(leaving)
		p.Replaced, p.ReplacedStarts = namesOf(replaced)
		if first {
			p.Totals, sum = cut(sum, maxTotals)
		} else {
			p.Totals, sum = cutSums(sum, roomIn(p))
		}
		m.send(p, m.addresses())
		passed = nil
	}
}

// cutSums takes as many sums off the front of a list as so many bytes hold, at least one.
func cutSums(list []peer.EndpointLoad, room int) (front, rest []peer.EndpointLoad) {
	n := 0
	for n < len(list) && (n == 0 || room >= list[n].EncodedSize()) {
		room -= list[n].EncodedSize()
		n++
	}
	return cut(list, n)
}

// tellBinding tells all instances what binds them all together. It is small, and goes before
// the sums.
func (m *mesh) tellBinding() {
	_, n := m.sums()
	m.tellAllowances()
	if m.holds() {
		m.tellEndings(max(n, 1))
		m.tellLimits(max(n, 1))
	}
}

// tellAll tells all instances what this one gathers for them.
func (m *mesh) tellAll() {
	m.tellBinding()
	if m.holds() {
		m.tellSum()
	}
}

// tellAllowances tells all instances what accounts may have, if this one adds up.
func (m *mesh) tellAllowances() {
	for _, p := range m.allowances.packets() {
		p.Revision, p.EndingsDigest = m.revision(), m.quarantine.Digest()
		p = m.stamp(p)
		m.send(p, m.addresses())
		m.allowances.heard(p)
	}
}

// tellEndings tells all instances of a large fleet which requests end endpoints.
func (m *mesh) tellEndings(instances int) {
	if m.small() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Endings = m.quarantine.PendingReports(m.room(p)); len(p.Endings) > 0 {
		m.send(p, m.addresses())
	}
}

// tellLimits tells all instances of a large fleet what endpoints have said of the requests
// that they take.
func (m *mesh) tellLimits(instances int) {
	if m.small() {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	if p.Limits = m.permits.words(roomIn(p)); len(p.Limits) > 0 {
		m.send(p, m.addresses())
	}
}

// standIns is how many instances are told that nobody adds up: entries of some may be those
// of machines that are gone.
const standIns = 4

// strongest is where the strongest of the known instances receive packets, but for this one.
// All that know the same agree on them.
func (m *mesh) strongest() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := slices.Collect(maps.Keys(m.listed))
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(m.listed[b].Cores, m.listed[a].Cores), cmp.Compare(a, b))
	})
	var addresses []string
	for _, name := range names[:min(len(names), standIns)] {
		if name != m.instance {
			addresses = append(addresses, m.listed[name].Datagrams)
		}
	}
	return addresses
}

// replaced returns the endpoints at whose addresses others have answered.
func (m *mesh) replaced() []endpointStart {
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
func (m *mesh) withdraw(endpoint endpointStart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.withdrawn[endpoint.name] = withdrawal{startedAtMS: endpoint.startedAtMS, at: m.now()}
}

// withdrawnLately returns the endpoints of which the others may not know yet that
// they leave. One whose entry had only lapsed, and is back, does not leave.
func (m *mesh) withdrawnLately() []endpointStart {
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
	maps.DeleteFunc(m.withdrawn, func(_ string, w withdrawal) bool { return m.now().Sub(w.at) >= withdrawnTime })
	var leaving []endpointStart
	for _, name := range slices.Sorted(maps.Keys(m.withdrawn)) {
		leaving = append(leaving, endpointStart{name, m.withdrawn[name].startedAtMS})
	}
	return leaving
}

// holderTells tells whether another instance, the holder of the lease, follows
// the store closely and tells of newer settings and leaving endpoints. The holder
// itself must look.
func (m *mesh) holderTells() bool { return !m.holds() && m.totals.vouched(m.now()) }

// listsTheSame tells whether this instance lists the endpoints that the holder of the
// lease lists, in the same states, so that there is nothing to ask the store for.
func (m *mesh) listsTheSame() bool {
	told := m.totals.toldEndpoints()
	return told != 0 && told == m.endpoints.Load()
}

// listsOthers tells whether the holder of the lease tells that it lists other endpoints,
// or the same in other states.
func (m *mesh) listsOthers() bool {
	return m.holderTells() && m.totals.toldEndpoints() != 0 && !m.listsTheSame()
}

// settingsInForce tells whether no instance is known to have newer settings.
func (m *mesh) settingsInForce() bool { return m.revision() >= m.newest.Load() }

// noteVouch logs when the holder begins or ceases to vouch.
func (m *mesh) noteVouch() {
	vouched := m.totals.vouched(m.now())
	if vouched == m.vouchedLast {
		return
	}
	m.vouchedLast = vouched
	m.log.Info("holder vouches", "any", vouched, "holder", m.totals.address(), "silent_ms", m.hubSilent().Milliseconds())
}

// hubAddress is where the hub is; nowhere while it is not known.
func (m *mesh) hubAddress() []string {
	if m.holds() || !m.totals.fresh(m.now()) {
		return nil
	}
	return []string{m.totals.address()}
}
