package daemon

import (
	"cmp"
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/wait"
)

// sendSoon requests a packet to the others without waiting for the next tick.
func (m *mesh) sendSoon() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// urgentDelaySmall is the minimum time between two packets. In a large fleet all instances send
// urgently at once when replicas are missing, and the coordinator receives all these packets:
// urgentDelayLarge is the time between two plans for waiting requests.
const (
	urgentDelaySmall = 5 * time.Millisecond
	urgentDelayLarge = 40 * time.Millisecond
)

// urgentDelay returns the time between an urgent request to send and the packet.
func (m *mesh) urgentDelay() time.Duration {
	if m.isSmallFleet() {
		return urgentDelaySmall
	}
	return urgentDelayLarge
}

func (m *mesh) tick(ctx context.Context) {
	for ctx.Err() == nil {
		m.sendSummary(ctx)
		timer := time.NewTimer(meshTick)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.urgent:
			wait.For(ctx, m.urgentDelay())
		}
		timer.Stop()
	}
}

// sendSummary sends a summary and applies it here too, as the others do. In a small fleet
// every instance sends to every other. In a large one all send to the coordinator, which is
// the instance that places units, and the coordinator sends the totals to all: the number of
// packets grows with the instances, not with their square.
func (m *mesh) sendSummary(ctx context.Context) {
	p := m.stamp(m.summary())
	m.totals.recordOwn(p.Loads)
	to := m.coordinatorAddresses()
	if m.isSmallFleet() || len(to) == 0 && m.quarantine.HasPendingReports() && !m.isHolder() {
		// Without a coordinator, reports on requests that end endpoints go directly to all
		// instances.
		to = m.addresses()
	}
	if address := m.allowances.aggregatorAddress(); len(to) == 0 && address != "" && address != m.address {
		to = []string{address}
	}
	if len(to) == 0 && m.allowances != nil && m.allowances.lacksAggregator() {
		to = m.strongestAddresses()
	}
	p.EndingsDigest = m.quarantine.Digest()
	if len(to) > 0 || m.allowances.aggregatorAddress() == m.address {
		p.ConfirmRequest = m.keyAuthority.nextRequest()
		m.allowances.addUsage(&p, remainingBytes(p))
		p.Endings = m.quarantine.PendingReports(m.endingsRoom(p))
	}
	if len(to) > 0 {
		p.Limits = m.permits.pendingLimits(remainingBytes(p))
		m.conditions.addReports(&p)
	}
	if said := m.recentlySaidLeaving(); len(said) > 0 && remainingBytes(p) > maxSaidLeavingBytes {
		p.SaidLeaving, p.SaidLeavingStarts = splitIncarnations(said)
	}
	if !m.isSmallFleet() && (len(to) > 0 || m.isHolder()) {
		m.pools.addSamples(m.now(), &p)
	}
	m.addOutlookReport(&p)
	m.addRunning(&p)
	if !m.summaryUnchanged(p, to) {
		m.send(p, to)
	}
	_ = m.inputs.Put(ctx, receivedPacket{Packet: p, at: m.now()})
	m.announceIfDue()
}

// summaryUnchanged reports whether a summary need not be sent, as in a large fleet its
// recipients already have the same from the last one. Otherwise it records the summary as
// sent.
func (m *mesh) summaryUnchanged(p peer.Packet, to []string) bool {
	news := len(p.Promises) + len(p.Endings) + len(p.Limits) + len(p.Conditions) + len(p.Withheld) + len(p.SaidLeaving) + len(p.PoolSamples)
	urgent := news > 0 || p.ConfirmRequest != 0
	last := m.lastSummary
	last.Seq, last.EndingsDigest = p.Seq, p.EndingsDigest
	recent := m.now().Sub(m.lastSummaryAt) < summaryRepeatInterval && slices.Equal(to, m.lastSummaryTo)
	if !m.isSmallFleet() && !urgent && recent && reflect.DeepEqual(last, p) {
		return true
	}
	m.lastSummary, m.lastSummaryAt, m.lastSummaryTo = p, m.now(), to
	return false
}

// announceIfDue sends to all instances what this one aggregates for them, if that is due, and
// the queued placements.
func (m *mesh) announceIfDue() {
	if m.now().Sub(m.lastAnnouncementAt) >= m.announceInterval() {
		m.lastAnnouncementAt = m.now()
		m.announceAll()
	}
	m.flushPlacements()
}

// fieldOverhead bounds the encoded size of a list field apart from its elements, in bytes.
const fieldOverhead = 8

// endingsRoom returns how many bytes of reports on endings a packet has room for.
func (m *mesh) endingsRoom(p peer.Packet) int {
	if !m.quarantine.HasPendingReports() {
		return 0
	}
	return remainingBytes(p)
}

// remainingBytes returns how many bytes a packet has room for in one more field.
func remainingBytes(p peer.Packet) int {
	data, err := peer.EncodePacket(p)
	if err != nil {
		return 0
	}
	return peer.MaxPacketBytes - len(data) - fieldOverhead
}

// maxSaidLeavingBytes bounds the encoded size of the endpoints that have said that they leave.
const maxSaidLeavingBytes = 200

// outgoingPlacement is a placement, and how urgently the others need it.
type outgoingPlacement struct {
	peer.Placement
	urgency broadcast.Urgency
}

// publishPlacements sends placements to all instances and applies them here. In a large fleet
// those of one tick are sent together, as far as the bandwidth permits.
func (m *mesh) publishPlacements(placements []outgoingPlacement) {
	plain := make([]peer.Placement, 0, len(placements))
	for _, n := range placements {
		plain = append(plain, n.Placement)
	}
	m.onPlacements(plain)
	m.mu.Lock()
	for _, n := range placements {
		m.unsentPlacements.Put(n.Placement, n.urgency)
	}
	m.mu.Unlock()
	if m.isSmallFleet() {
		m.flushPlacements()
	}
}

func (m *mesh) flushPlacements() {
	for {
		p := m.stamp(peer.Packet{})
		if p.Placements = m.nextPlacements(remainingBytes(p)); len(p.Placements) == 0 {
			return
		}
		m.send(p, m.addresses())
	}
}

// nextPlacements takes the placements for one packet with the given room in bytes.
func (m *mesh) nextPlacements(room int) []peer.Placement {
	small := m.isSmallFleet()
	m.mu.Lock()
	defer m.mu.Unlock()
	minimum := broadcast.Refresh
	if !small {
		minimum = m.minUrgency()
	}
	next := m.unsentPlacements.Next(room, minimum)
	if len(next) > 0 {
		m.changeBudget.Spend(peer.MaxPacketBytes)
		m.repeatBudget.Spend(peer.MaxPacketBytes)
	}
	return next
}

// minUrgency returns the least urgency for which there is bandwidth now; mu must be held.
func (m *mesh) minUrgency() broadcast.Urgency {
	perInstance := m.sendRate() / float64(max(len(m.listed), 1))
	m.changeBudget.SetRate(perInstance*changesLinkShare, linkShareCarryover)
	m.repeatBudget.SetRate(perInstance*announceLinkShare, linkShareCarryover)
	now := m.now()
	switch {
	case m.changeBudget.Available(now) <= 0:
		return broadcast.Withdrawn
	case m.repeatBudget.Available(now) <= 0:
		return broadcast.Changed
	default:
		return broadcast.Refresh
	}
}

// isSmallFleet reports whether the fleet is so small that every instance sends to every other.
func (m *mesh) isSmallFleet() bool { return m.listedCount() <= smallFleetSize }

// listedCount returns the number of listed instances.
func (m *mesh) listedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.listed)
}

// summary returns what this instance has in flight, and the demand for units that it receives.
func (m *mesh) summary() peer.Packet {
	p := peer.Packet{Leaving: m.leaving(), Revision: m.revision()}
	replaced := m.replacedEndpoints()
	p.Replaced, p.ReplacedStarts = splitIncarnations(replaced[:min(len(replaced), maxReplaced)])
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if e.FailedSince(m.now().Add(-suspectDuration)) && len(p.Suspects) < maxSuspects {
				p.Suspects = append(p.Suspects, e.Name)
			}
			if n := e.OwnInFlight(); n > 0 {
				p.Loads = append(p.Loads, peer.EndpointLoad{Endpoint: e.Name, Running: n, PrefillMicros: e.OwnPromptWork().Microseconds()})
			}
		}
	}
	slices.SortFunc(p.Loads, func(a, b peer.EndpointLoad) int {
		return cmp.Or(cmp.Compare(b.Running, a.Running), cmp.Compare(b.PrefillMicros, a.PrefillMicros), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	p.Loads = p.Loads[:min(len(p.Loads), maxLoads)]
	waiting := map[string]int{}
	m.gates.Waiting(waiting)
	m.outlooks.addRefused(waiting)
	var running map[string]int
	if m.tellsRunning() {
		running = m.demand.Running()
	}
	p.Demands = unitDemands(m.demand, waiting, running)
	return p
}

// stamp completes a packet of this instance.
func (m *mesh) stamp(p peer.Packet) peer.Packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	p.Version, p.From, p.Process, p.Address, p.Seq = peer.PacketVersion, m.instance, m.process, m.address, m.seq
	p.Era = m.eras.Newest()
	return p
}

// send sends a packet to other instances. Sending to all of a large fleet takes many milliseconds,
// for which mu must not be held.
func (m *mesh) send(p peer.Packet, addresses []string) {
	m.sending.Lock()
	defer m.sending.Unlock()
	sealer, datagrams := m.link()
	if sealer == nil || datagrams == nil || len(addresses) == 0 {
		return
	}
	data, err := peer.EncodePacket(p)
	if err != nil || len(data) > peer.MaxPacketBytes {
		m.log.Info("packet not sent", "bytes", len(data), "loads", len(p.Loads), "demands", len(p.Demands))
		return
	}
	sealed := sealer.Seal(data)
	for _, address := range addresses {
		datagrams.Send(address, sealed)
	}
}

// sendApart sends a packet whose order among the others does not matter, without a wait for them. It
// returns the bytes sent.
func (m *mesh) sendApart(p peer.Packet, addresses []string) (bytes int) {
	sealer, datagrams := m.link()
	if sealer == nil || datagrams == nil || len(addresses) == 0 {
		return 0
	}
	data, err := peer.EncodePacket(m.stamp(p))
	if err != nil || len(data) > peer.MaxPacketBytes {
		m.log.Info("packet not sent", "bytes", len(data))
		return 0
	}
	sealed := sealer.Seal(data)
	for _, address := range addresses {
		datagrams.Send(address, sealed)
	}
	return len(sealed) * len(addresses)
}

// link returns what packets are sealed and sent with; nil until the key is known.
func (m *mesh) link() (*peer.Sealer, peer.Datagrams) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sealer, m.datagrams
}

// addresses returns where the other instances receive packets, by what they report or else by
// their entries. The result must not be modified.
func (m *mesh) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recipients != nil {
		return m.recipients
	}
	all := make(map[string]string, len(m.listed)+len(m.reportedAddresses))
	for name, p := range m.listed {
		all[name] = p.Datagrams
	}
	maps.Copy(all, m.reportedAddresses)
	delete(all, m.instance)
	m.recipients = slices.Collect(maps.Values(all))
	return m.recipients
}
