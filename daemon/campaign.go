package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// nodeCampaigners is how many instances campaign for the lease of a pool; each
// but the holder reads it now and then.
const maxNodeCampaigners = 2

// campaignDelay is how long a process learns who the others are before it
// campaigns: instances start together, and whoever comes first stays the holder,
// also a weak one that the work and the packets of a large fleet choke.
const campaignDelay = 1500 * time.Millisecond

// campaigns tells whether this instance should hold the lease of a pool: it is
// among the first by rendezvous hashing over those that are alive.
//
// A holder stays one until it stops: each change of holder leaves the pool
// without orders for seconds, and who ranks first changes with each restart. Only one
// that is too weak for its fleet hands the lease over.
func (n *Node) campaigns(pool string, held bool) bool {
	if n.stopping.Load() != nil {
		return false
	}
	if held {
		return n.mesh.isSmallFleet() || !n.mesh.hasStrongerPeer(handoverCoreRatio)
	}
	if !n.membershipSettled() {
		return false
	}
	rank := n.rank(pool)
	return rank < maxNodeCampaigners || n.noCoordinatorHeard(time.Duration(rank)*campaignRankDelay)
}

// looks tells whether this instance is about to campaign for the lease of a pool, in a process
// that has just begun: behind a common start the lease of the former holder has to be seen
// unrenewed for its whole duration.
func (n *Node) observesLease(pool string) bool {
	return n.stopping.Load() == nil && n.presence.initialListRead.Load() && !n.membershipSettled() && n.rank(pool) < maxNodeCampaigners
}

// poolRank is a place in the order of campaigners, by what was known in a version.
type poolRank struct {
	version int64
	at      int
}

// rank is this instance's place among those that should hold the lease of a pool. It is
// asked for ten times a second, and to sort 295 instances took a seventh of an
// instance's own processor time.
func (n *Node) rank(pool string) int {
	version := n.mesh.knownVersion()
	if r, ranked := n.ranks.Load(pool); ranked && r.(poolRank).version == version {
		return r.(poolRank).at
	}
	known := n.mesh.knownInstances()
	names := slices.Collect(maps.Keys(known))
	sortByRendezvous(pool, names)
	// Placing units takes processor time, so the strong go first.
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(known[b], known[a]) })
	rank := slices.Index(names, n.cfg.Instance)
	n.ranks.Store(pool, poolRank{version: version, at: rank})
	return rank
}

// tooWeak is how many times the processor time of the holder another instance must have
// for the holder to hand over in a large fleet: with a fifth of a core and 295 instances
// its words came 1.4 s apart, so that the others asked the store themselves, and with
// another too.
const handoverCoreRatio = 2

// joinSettle is how long no instance must have been new for the others to be known, and
// mostJoining for how long after campaignDelay that is waited for: entries of instances
// that start together come within about two seconds.
const (
	joinQuietTime = presenceBatchDelay + 200*time.Millisecond
	maxJoinWait   = 2 * time.Second
)

// knowsOthers tells whether this process has had the time to learn who the others are.
func (n *Node) membershipSettled() bool {
	age := n.now().Sub(n.startedAt)
	return age >= campaignDelay && (n.mesh.sinceJoin() >= joinQuietTime || age >= campaignDelay+maxJoinWait)
}

// nobodyPlaces tells whether nobody who places units was heard for so long, and step
// besides. A process that has just begun has not been able to hear one.
func (n *Node) noCoordinatorHeard(delay time.Duration) bool {
	sinceStart := n.now().Sub(n.startedAt) - campaignDelay - joinQuietTime
	return n.mesh.coordinatorSilence() >= coordinatorSilence+delay && sinceStart >= coordinatorSilenceAtStart+delay
}

// Entries of instances that are gone may rank first. So one that has heard
// nobody who places units for silentCampaign campaigns too, the lower ranks a
// step later each.
const (
	coordinatorSilence = 1200 * time.Millisecond
	// silentStart is the same behind campaignDelay in a new process: whoever ranks first
	// has taken the lease by then, and told.
	coordinatorSilenceAtStart = 300 * time.Millisecond
	campaignRankDelay         = 100 * time.Millisecond
)
