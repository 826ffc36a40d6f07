package daemon

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxNodeCampaigners is how many instances campaign for the lease of a pool. Each of them but
// the holder reads the lease periodically.
const maxNodeCampaigners = 2

// campaignDelay is how long a new process collects the other instances before it campaigns.
// Instances start together, and whoever acquires the lease first stays the holder, even a
// weak one that the work and the packets of a large fleet overload.
const campaignDelay = 1500 * time.Millisecond

// campaigns tells whether this instance should hold the lease of a pool: it ranks among the
// first of the listed instances, or there was no contact with a coordinator for long enough.
//
// A holder keeps the lease until it stops: each change of holder leaves the pool without
// orders for seconds, and the first rank changes with each restart. Only a holder that is too
// weak for its fleet hands the lease over.
func (n *Node) campaigns(pool string, held bool) bool {
	if n.stopping.Load() != nil {
		return false
	}
	if n.path.isCutOff() {
		return n.campaignsCutOff(pool, held)
	}
	n.leadsCutOff.Store(false)
	if held {
		return n.mesh.isSmallFleet() || !n.mesh.hasStrongerPeer(handoverCoreRatio)
	}
	if !n.membershipSettled() {
		return false
	}
	rank := n.rank(pool)
	return rank < maxNodeCampaigners || n.noCoordinatorContact(time.Duration(rank)*campaignRankDelay)
}

const (
	// cutOffLeaseTimeout is how long a holder that reaches no endpoint keeps the lease: a shorter
	// loss of its path is not worth a change of holder.
	cutOffLeaseTimeout = time.Second
	// cutOffCampaignDelay is how much longer an instance that reaches no endpoint waits than others
	// until it campaigns.
	cutOffCampaignDelay = 2 * time.Second
)

// campaignsCutOff is campaigns for an instance that reaches no endpoint, and so can send no orders.
// It leaves the lease to the others. If nobody takes it, none of them may reach an endpoint, and the
// other duties of the holder remain: then it campaigns, and keeps the lease.
func (n *Node) campaignsCutOff(pool string, held bool) bool {
	if held {
		return n.leadsCutOff.Load() || n.path.cutOffFor() < cutOffLeaseTimeout || n.mesh.isolated() || n.mesh.listedCount() <= 1
	}
	if !n.membershipSettled() || !n.noCoordinatorContact(time.Duration(n.rank(pool))*campaignRankDelay+cutOffCampaignDelay) {
		return false
	}
	n.leadsCutOff.Store(true)
	return true
}

// observesLease tells whether this instance, in a new process, will soon campaign for the lease
// of a pool. After a common start the lease of the previous holder must be observed without a
// renewal for its whole duration.
func (n *Node) observesLease(pool string) bool {
	return n.stopping.Load() == nil && n.presence.initialListRead.Load() && !n.membershipSettled() && n.rank(pool) < maxNodeCampaigners
}

// poolRank is this instance's rank for a pool, computed at a version of the known instances.
type poolRank struct {
	version int64
	rank    int
}

// rank returns this instance's 0-based rank among the campaigners for the lease of a pool. The
// rank is cached: it is needed ten times a second, and sorting 295 instances that often took a
// seventh of an instance's own processor time.
func (n *Node) rank(pool string) int {
	version := n.mesh.knownVersion()
	if r, ranked := n.ranks.Load(pool); ranked && r.(poolRank).version == version {
		return r.(poolRank).rank
	}
	known := n.mesh.knownInstances()
	names := slices.Collect(maps.Keys(known))
	sortByRendezvous(pool, names)
	// Placing units takes processor time, so instances with more cores rank first.
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(known[b], known[a]) })
	rank := slices.Index(names, n.cfg.Instance)
	n.ranks.Store(pool, poolRank{version: version, rank: rank})
	return rank
}

// handoverCoreRatio is how many times the holder's processor time another instance must have
// for the holder to hand over the lease in a large fleet. A holder with a fifth of a core and
// 295 instances sent its packets 1.4 s apart, so that the others queried the store themselves.
// With another holder of the same strength they did so too.
const handoverCoreRatio = 2

// joinQuietTime is how long no new instance must have been listed for the fleet to count as
// known, and maxJoinWait bounds that wait after campaignDelay: the entries of instances that
// start together appear within about two seconds.
const (
	joinQuietTime = presenceBatchDelay + 200*time.Millisecond
	maxJoinWait   = 2 * time.Second
)

// membershipSettled tells whether this process has had the time to learn of the other instances.
func (n *Node) membershipSettled() bool {
	age := n.now().Sub(n.startedAt)
	return age >= campaignDelay && (n.mesh.sinceJoin() >= joinQuietTime || age >= campaignDelay+maxJoinWait)
}

// noCoordinatorContact tells whether there was no contact with an instance that places units for
// coordinatorTimeout plus delay. A new process could not have had contact before its start, so
// it must also have waited for coordinatorTimeoutAtStart plus delay.
func (n *Node) noCoordinatorContact(delay time.Duration) bool {
	sinceStart := n.now().Sub(n.startedAt) - campaignDelay - joinQuietTime
	return n.mesh.coordinatorContactAge() >= coordinatorTimeout+delay && sinceStart >= coordinatorTimeoutAtStart+delay
}

// Entries of instances that are gone may rank first. So an instance that had no contact with
// an instance that places units for coordinatorTimeout campaigns too, each lower rank
// campaignRankDelay later.
const (
	coordinatorTimeout = 1200 * time.Millisecond
	// coordinatorTimeoutAtStart is the same after campaignDelay and joinQuietTime in a new
	// process: the first-ranked instance has acquired the lease by then and announced itself.
	coordinatorTimeoutAtStart = 300 * time.Millisecond
	campaignRankDelay         = 100 * time.Millisecond
)
