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

// hurry tells the others at once.
func (m *mesh) sendSoon() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// urgentPause is the least time between two packets. In a large fleet all others hurry at once
// when replicas are missing, and the hub hears each: urgentPauseLarge is the time between two
// plans for requests that wait.
const (
	urgentDelaySmall = 5 * time.Millisecond
	urgentDelayLarge = 40 * time.Millisecond
)

// pauseUrgent is the time between a wish to tell at once and the packet.
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

// tell sends a summary and takes it in as the others do. In a small fleet
// everybody tells everybody. In a large one everybody tells the hub, which is the
// instance that places units, and the hub tells everybody the sum: packets grow
// with the instances, not with their square.
func (m *mesh) sendSummary(ctx context.Context) {
	p := m.stamp(m.summary())
	m.totals.recordOwn(p.Loads)
	to := m.coordinatorAddresses()
	if m.isSmallFleet() || len(to) == 0 && m.quarantine.HasPendingReports() && !m.isHolder() {
		// While there is no hub, news of requests that end endpoints goes straight to all.
		to = m.addresses()
	}
	if address := m.allowances.address(); len(to) == 0 && address != "" && address != m.address {
		to = []string{address}
	}
	if len(to) == 0 && m.allowances != nil && m.allowances.orphan() {
		to = m.strongestAddresses()
	}
	p.EndingsDigest = m.quarantine.Digest()
	if len(to) > 0 || m.allowances.address() == m.address {
		p.ConfirmRequest = m.rights.ask()
		m.allowances.tell(&p, remainingBytes(p))
		p.Endings = m.quarantine.PendingReports(m.endingsRoom(p))
	}
	if len(to) > 0 {
		p.Limits = m.permits.words(remainingBytes(p))
	}
	if !m.summaryUnchanged(p, to) {
		m.send(p, to)
	}
	_ = m.inputs.Put(ctx, p)
	m.announceIfDue()
}

// saysNothingNew tells whether a summary need not be sent: in a large fleet those that it is for
// have what the last one said. It notes a summary that is sent.
func (m *mesh) summaryUnchanged(p peer.Packet, to []string) bool {
	urgent := len(p.Refused)+len(p.Endings)+len(p.Limits) > 0 || p.ConfirmRequest != 0
	last := m.lastSummary
	last.Seq, last.EndingsDigest = p.Seq, p.EndingsDigest
	recent := m.now().Sub(m.lastSummaryAt) < summaryRepeatInterval && slices.Equal(to, m.lastSummaryTo)
	if !m.isSmallFleet() && !urgent && recent && reflect.DeepEqual(last, p) {
		return true
	}
	m.lastSummary, m.lastSummaryAt, m.lastSummaryTo = p, m.now(), to
	return false
}

// tellFleet tells all instances what is due of what this one gathers for them, and what
// endpoints hold.
func (m *mesh) announceIfDue() {
	if m.now().Sub(m.lastAnnouncementAt) >= m.announceInterval() {
		m.lastAnnouncementAt = m.now()
		m.announceAll()
	}
	m.flushPlacements()
}

// endingsHead is what the field of endings takes besides its words, in bytes.
const fieldOverhead = 8

// room is how many bytes of words of endings a packet has room for.
func (m *mesh) endingsRoom(p peer.Packet) int {
	if !m.quarantine.HasPendingReports() {
		return 0
	}
	return remainingBytes(p)
}

// roomIn is how many bytes a packet has room for in one more field.
func remainingBytes(p peer.Packet) int {
	data, err := peer.EncodePacket(p)
	if err != nil {
		return 0
	}
	return peer.MaxPacketBytes - len(data) - fieldOverhead
}

// placedNews is a placement, and how soon the others need to know it.
type outgoingPlacement struct {
	peer.Placement
	urgency broadcast.Urgency
}

// place tells all instances, this one too, what endpoints hold. In a large fleet
// what comes within a tick goes together, as far as the link bears it.
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

// nextPlacements takes what goes in one packet that has so much room.
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

// leastUrgency is which placements the link bears now; mu must be held.
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

// small tells whether the fleet is so small that everybody tells everybody.
func (m *mesh) isSmallFleet() bool { return m.listedCount() <= smallFleetSize }

// size is how many instances are listed.
func (m *mesh) listedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.listed)
}

// summary is what this instance has under way and is asked for.
func (m *mesh) summary() peer.Packet {
	p := peer.Packet{Leaving: m.leaving(), Revision: m.revision(), Refused: m.refusals.TakeLocal()}
	replaced := m.replacedEndpoints()
	p.Replaced, p.ReplacedStarts = namesOf(replaced[:min(len(replaced), maxReplaced)])
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
	work := m.demand.Take(waiting)
	for unit, w := range work {
		p.Demands = append(p.Demands, peer.UnitDemand{Unit: unit, Work: w, Waiting: waiting[unit]})
	}
	slices.SortFunc(p.Demands, func(a, b peer.UnitDemand) int { return cmp.Compare(b.Waiting, a.Waiting) })
	p.Demands = p.Demands[:min(len(p.Demands), maxDemands)]
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

// send sends a packet to other instances.
func (m *mesh) send(p peer.Packet, addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sealer == nil || len(addresses) == 0 {
		return
	}
	data, err := peer.EncodePacket(p)
	if err != nil || len(data) > peer.MaxPacketBytes {
		m.log.Info("packet not sent", "bytes", len(data), "loads", len(p.Loads), "demands", len(p.Demands))
		return
	}
	sealed := m.sealer.Seal(data)
	for _, address := range addresses {
		m.datagrams.Send(address, sealed)
	}
}

// addresses is where the other instances are, by their own word or else by
// their entry. It must not be changed.
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
