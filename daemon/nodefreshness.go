package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
)

// Phases of a node, by which its calls to the store are counted.
const (
	// phaseStart lasts until a lease holder has first attested that its data is current.
	phaseStart = "start"
	// phaseHolder is while this instance holds the lease, phaseAnnounced while the holder
	// announces changes to it, phaseUnannounced while none does.
	phaseHolder      = "holder"
	phaseAnnounced   = "told"
	phaseUnannounced = "untold"
	// phaseStoreLost is while the store does not answer.
	phaseStoreLost = "away"
)

func (n *Node) phase() string {
	switch {
	case n.storeLink.isLost():
		return phaseStoreLost
	case n.mesh.isHolder():
		return phaseHolder
	case n.mesh.holderAttests():
		return phaseAnnounced
	case n.mesh.totals.attestationAge(n.now()) == neverConfirmed:
		return phaseStart
	default:
		return phaseUnannounced
	}
}

// addAttestation adds to a delta of the member list what else this instance knows, and whether
// all of it is current.
func (n *Node) addAttestation(delta *relay.Delta) {
	delta.Revision = n.revision()
	var p peer.Packet
	attested := !n.mesh.isHolder() && n.mesh.totals.attestationAge(n.now()) < n.cfg.Fresh.relayAttestationLifetime()
	delta.Current = (attested && !n.mesh.outdated() || n.current()) && n.mesh.evacuations.addTo(&p)
	delta.FollowsStore = attested || n.followsStore()
	delta.Evacuated, delta.EvacuatedEra, delta.EvacuatedRevision = p.Evacuated, p.EvacuatedEra, p.EvacuatedRevision
}

// applyAttestation applies what another instance has added to its delta of the member list.
func (n *Node) applyAttestation(delta relay.Delta) {
	n.mesh.evacuations.receive(peer.Packet{
		From: fromRelay, Evacuated: delta.Evacuated, EvacuatedEra: delta.EvacuatedEra, EvacuatedRevision: delta.EvacuatedRevision,
	})
	n.mesh.receiveRevision(delta.Revision)
}

// relayHold returns for how long a relay may hold a request: longer while the lease holder
// attests that its data is current, as the relay's attestation is not needed then.
func (n *Node) relayHold() time.Duration {
	if n.mesh.holderAttests() {
		return maxWatchHold
	}
	return n.cfg.Fresh.relayHold()
}

// fromRelay stands in the log for the name of a relay.
const fromRelay = "the relay"

// receivesAnnouncements reports whether another instance, the lease holder or a relay, attests
// that it announces changes to this one.
func (n *Node) receivesAnnouncements() bool {
	return n.mesh.holderAttests() || !n.mesh.isHolder() && n.relays.attested()
}

// allowStaleEntries reports whether stale answers suffice for the watch on endpoints: the lease
// holder announces which of them leave, and no entry is still due to be rewritten after an outage,
// which a stale answer would show as removed.
func (n *Node) allowStaleEntries() bool {
	return n.mesh.holderAttests() && n.storeLink.settled() || n.starting()
}

// allowStaleSettings reports whether stale answers suffice for the watch on settings.
func (n *Node) allowStaleSettings() bool { return n.receivesAnnouncements() || n.starting() }

// evacuationsAnnounced reports whether another instance announces in time which failure domains
// are evacuated.
func (n *Node) evacuationsAnnounced() bool { return n.receivesAnnouncements() || n.starting() }

// settingsWait returns how long the store may hold a call of a watch on settings that must not
// be stale.
func (n *Node) settingsWait() time.Duration {
	if n.mesh.isHolder() {
		return n.cfg.Fresh.keysWatchHold()
	}
	return n.cfg.Fresh.settingsWatchHold()
}

// contactMargin is how long before an instance counts as in contact its watches stop accepting
// stale answers, if no other instance announces changes to it.
const contactMargin = 1200 * time.Millisecond

// starting reports whether this process started so recently that it does not count as in
// contact yet: until then it waits for announcements of a lease holder and accepts stale
// answers. Otherwise, when all instances start together, each would make some ten calls. The
// few relays that the others ask for the endpoints accept no stale answers from the start.
func (n *Node) starting() bool {
	if n.relays.servesFollowers() || n.mesh.isHolder() || n.mesh.totals.attestationAge(n.now()) != neverConfirmed {
		return false
	}
	return n.now().Sub(n.startedAt) < milliseconds(n.cfg.Fresh.ContactMS)-contactMargin
}

// current reports whether this instance learns of newer settings and leaving endpoints in time,
// to which it attests if it holds the lease. Only answers to the watches on them prove that: one
// of these may hang while all other calls are answered.
func (n *Node) current() bool {
	if !n.storeLink.settled() || n.mesh.outdated() {
		// Entries that are retained now may have expired or been removed, or newer settings are
		// known that are not in force here yet.
		return false
	}
	age := max(n.storeLink.confirmedAge(n.platform.MembersKind), n.storeLink.confirmedAge(n.platform.SettingsKind))
	if n.mesh.evacuations != nil {
		age = max(age, n.storeLink.confirmedAge(n.platform.EvacuationsKind))
	}
	// neverConfirmed is the largest duration; adding to it would overflow.
	return age != neverConfirmed && age+n.lag() < n.cfg.Fresh.maxAttestedAge()
}

// followsStore reports whether this instance learns of changed endpoints in time by its own
// watch, except for entries that may still be due to be rewritten.
func (n *Node) followsStore() bool {
	age := n.storeLink.confirmedAge(n.platform.MembersKind)
	return age != neverConfirmed && age+n.lag() < n.cfg.Fresh.maxAttestedAge()
}

// storeAnswers reports whether the store answers the watch on settings with answers that are not
// stale, which every instance requests while no other attests.
func (n *Node) storeAnswers() bool {
	age := n.storeLink.confirmedAge(n.platform.SettingsKind)
	return age != neverConfirmed && age < n.cfg.Fresh.settingsWatchHold()+2*storeAnswerTime
}

// lag returns for how long answers of the store have been waiting to be put in force.
func (n *Node) lag() time.Duration { return n.entriesLag.lag() + n.eventsLag.lag() }

// maxEndpointsAge is how long ago an instance may last have known for certain which endpoints there
// are, to tell their software versions.
const maxEndpointsAge = time.Second

// knowsEndpoints reports whether this instance knows which endpoints there are.
func (n *Node) knowsEndpoints() bool {
	age := n.endpointsAgeMS()
	return age >= 0 && age <= maxEndpointsAge.Milliseconds()
}

// endpointsAgeMS returns how long ago this instance last knew for certain which endpoints leave,
// in milliseconds; -1 if it never did. It knows by its own watch or by the attestation of the
// lease holder, whose own data may be as old as the bound of current allows.
func (n *Node) endpointsAgeMS() int64 {
	return ageMS(min(n.storeLink.confirmedAge(n.platform.MembersKind), n.mesh.totals.attestationAge(n.now()), n.relays.attestationAge()))
}
