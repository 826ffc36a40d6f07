package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
)

// Phases of a node's life, by which calls to the store are counted.
const (
	// phaseStart is until a holder of the lease has first vouched.
	phaseStart = "start"
	// phaseHolder is while this instance holds the lease, phaseTold while another tells
	// it what is new, phaseUntold while none does.
	phaseHolder      = "holder"
	phaseAnnounced   = "told"
	phaseUnannounced = "untold"
	// phaseAway is while the store does not answer.
	phaseStoreLost = "away"
)

func (n *Node) phase() string {
	switch {
	case n.link.isLost():
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

// vouchFor adds to news of members what this instance knows besides, and whether all of it is
// current.
func (n *Node) addAttestation(news *relay.Delta) {
	news.Revision = n.revision()
	var p peer.Packet
	told := !n.mesh.isHolder() && n.mesh.totals.attestationAge(n.now()) < n.cfg.Fresh.relayAttestationLifetime()
	news.Current = (told || n.current()) && n.mesh.evacuations.tell(&p)
	news.FollowsStore = told || n.followsStore()
	news.Evacuated, news.EvacuatedEra, news.EvacuatedRevision = p.Evacuated, p.EvacuatedEra, p.EvacuatedRevision
}

// vouchedFor takes what another instance adds to its news.
func (n *Node) applyAttestation(news relay.Delta) {
	n.mesh.evacuations.heard(peer.Packet{
		From: fromRelay, Evacuated: news.Evacuated, EvacuatedEra: news.EvacuatedEra, EvacuatedRevision: news.EvacuatedRevision,
	})
	n.mesh.receiveRevision(news.Revision)
}

// relayHold is for how long an instance that tells the members may hold a question: longer while
// the holder of the lease vouches, as its word is not needed then.
func (n *Node) relayHold() time.Duration {
	if n.mesh.holderAttests() {
		return maxWatchHold
	}
	return n.cfg.Fresh.relayHold()
}

// byRelay names, in the log, an instance that tells the members.
const fromRelay = "the relay"

// told tells whether another instance, the holder of the lease or one that tells the members,
// vouches for telling what is new.
func (n *Node) receivesAnnouncements() bool {
	return n.mesh.holderAttests() || !n.mesh.isHolder() && n.relays.attested()
}

// entriesMayBeBehind tells whether the watch on endpoints may be seconds behind: the
// holder of the lease tells which of them leave, and no entry is on its way back
// behind an outage, which an old answer would show as gone.
func (n *Node) entriesMayLag() bool {
	return n.mesh.holderAttests() && n.link.settled() || n.starting()
}

// settingsMayBeBehind tells the same of the watch on settings.
func (n *Node) settingsMayLag() bool { return n.receivesAnnouncements() || n.starting() }

// evacuationsTold tells whether another instance tells in time which failure domains are
// evacuated.
func (n *Node) evacuationsAnnounced() bool { return n.receivesAnnouncements() || n.starting() }

// settingsWait is how long the store may hold a close watch on settings.
func (n *Node) settingsWait() time.Duration {
	if n.mesh.isHolder() {
		return n.cfg.Fresh.keysWatchHold()
	}
	return n.cfg.Fresh.settingsWatchHold()
}

// contactReserve is how long before an instance counts as in contact its watches are
// close, if nobody tells it what is new.
const contactMargin = 1200 * time.Millisecond

// starting tells whether this process began so lately that it does not count as in
// contact yet: until then it waits for the word of a holder rather than look closely.
// All instances start together at times, and would make some ten calls each. The few that the
// others ask for the endpoints look closely from the beginning.
func (n *Node) starting() bool {
	if n.relays.servesFollowers() || n.mesh.isHolder() || n.mesh.totals.attestationAge(n.now()) != neverConfirmed {
		return false
	}
	return n.now().Sub(n.startedAt) < milliseconds(n.cfg.Fresh.ContactMS)-contactMargin
}

// current tells whether this instance knows of newer settings and leaving endpoints
// in time, which it vouches for if it holds the lease. Only answers to its watches on
// them show that: one may hang while all other calls are answered.
func (n *Node) current() bool {
	if !n.link.settled() {
		// Entries that are kept now may have lapsed, or have left.
		return false
	}
	age := max(n.link.confirmedAge(n.platform.MembersKind), n.link.confirmedAge(n.platform.SettingsKind))
	if n.mesh.evacuations != nil {
		age = max(age, n.link.confirmedAge(n.platform.EvacuationsKind))
	}
	// An age that is unknown is the largest there is, to which nothing can be added.
	return age != neverConfirmed && age+n.lag() < n.cfg.Fresh.maxAttestedAge()
}

// followsStore tells whether this instance knows of endpoints in time, by its own watch, but for
// entries that may be on their way back.
func (n *Node) followsStore() bool {
	age := n.link.confirmedAge(n.platform.MembersKind)
	return age != neverConfirmed && age+n.lag() < n.cfg.Fresh.maxAttestedAge()
}

// storeAnswers tells whether the store answers the close watch on settings, which every instance
// has while nobody vouches.
func (n *Node) storeAnswers() bool {
	age := n.link.confirmedAge(n.platform.SettingsKind)
	return age != neverConfirmed && age < n.cfg.Fresh.settingsWatchHold()+2*storeAnswerTime
}

// lag is for how long answers of the store have waited here to be in force.
func (n *Node) lag() time.Duration { return n.entriesLag.lag() + n.eventsLag.lag() }

// endpointsAgeMS is how long ago it was certain that this instance knew which
// endpoints leave, by its own watch or by the word of the holder of the lease, whose
// own knowledge may be vouchAge old, in milliseconds; -1 if it never was.
func (n *Node) endpointsAgeMS() int64 {
	return ageMS(min(n.link.confirmedAge(n.platform.MembersKind), n.mesh.totals.attestationAge(n.now()), n.relays.attestationAge()))
}
