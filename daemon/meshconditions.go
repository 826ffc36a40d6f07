package daemon

import (
	"maps"
	"slices"

	"github.com/eiderspring/eiderspring/peer"
)

const (
	// maxConditionBytes bounds the reports on conditions in one summary, maxWithheldBytes those
	// on withheld units.
	maxConditionBytes = 400
	maxWithheldBytes  = 240
	// conditionLinkShare is the share of its bandwidth that the coordinator may use to announce
	// conditions, and maxConditionRate the most that each instance receives, in bytes a second.
	conditionLinkShare = 0.05
	maxConditionRate   = 4 << 10
	// minConditionBytes is the smallest announcement that is worth its packet.
	minConditionBytes = 80
	// packetOverhead is about the size of a packet without lists, with its encryption and
	// headers, in bytes.
	packetOverhead = 180
)

// addReports adds to a summary what this instance has seen of endpoints that are not usual.
func (c *conditions) addReports(p *peer.Packet) {
	if c == nil {
		return
	}
	room := remainingBytes(*p)
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Withheld = c.withheld.Reports(now, min(room, maxWithheldBytes))
	for _, r := range p.Withheld {
		room -= r.EncodedSize()
	}
	p.Conditions = c.tracker.Reports(now, min(room-fieldOverhead, maxConditionBytes))
}

// receive applies the reports in a packet of another instance; the coordinator forwards those on
// withheld units.
func (c *conditions) receive(p peer.Packet, forward bool) {
	if c == nil || len(p.Conditions)+len(p.ConditionTotals)+len(p.Withheld) == 0 {
		return
	}
	now := c.now()
	endpoints := c.router.View().ByName
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range p.Conditions {
		c.tracker.ReceiveReport(now, p.From, r)
	}
	for _, r := range p.ConditionTotals {
		c.tracker.ReceiveTotal(now, r)
	}
	for _, r := range p.Withheld {
		e := endpoints[r.Endpoint]
		if e == nil || e.StartedAtMS != r.StartedAtMS {
			continue
		}
		if _, until := c.withheld.Receive(now, r, forward); until.After(now) {
			e.MarkWithheld(r.Unit, until)
		}
	}
	if len(p.ConditionTotals) == 0 {
		// Reports of single instances come many times a second, and wait for the next tick.
		return
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// addTotals adds to an announcement what all instances have seen.
func (c *conditions) addTotals(p *peer.Packet, room int) {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	p.Withheld = c.withheld.Reports(now, min(room, maxWithheldBytes))
	for _, r := range p.Withheld {
		room -= r.EncodedSize()
	}
	p.ConditionTotals = c.tracker.Totals(now, room-fieldOverhead)
}

// announceConditions sends to all instances of a large fleet what they have seen together of
// endpoints that are not usual, as far as its part of the link permits.
func (m *mesh) announceConditions(instances int) {
	if m.conditions == nil || m.isSmallFleet() {
		return
	}
	rate := m.sendRate() * conditionLinkShare / float64(max(m.listedCount(), 1))
	m.conditionBudget.SetRate(min(rate, maxConditionRate), linkShareCarryover)
	available := int(m.conditionBudget.Available(m.now())) - packetOverhead
	if available < minConditionBytes {
		return
	}
	p := m.stamp(peer.Packet{Instances: instances, Revision: m.revision(), EndingsDigest: m.quarantine.Digest()})
	m.conditions.addTotals(&p, min(available, remainingBytes(p)))
	if len(p.ConditionTotals)+len(p.Withheld) == 0 {
		return
	}
	m.send(p, m.addresses())
	m.conditionBudget.Spend(packetOverhead + available - m.unused(p, available))
}

// unused returns how many of the available bytes the lists of conditions in a packet leave.
func (m *mesh) unused(p peer.Packet, available int) int {
	for _, r := range p.ConditionTotals {
		available -= r.EncodedSize()
	}
	for _, r := range p.Withheld {
		available -= r.EncodedSize()
	}
	return max(available, 0)
}

// instanceNames returns the names of the listed instances.
func (m *mesh) instanceNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.listed))
}
