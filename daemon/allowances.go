package daemon

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/settings"
)

// AllowanceConfig bounds by how much accounts may exceed their allowances for short times.
type AllowanceConfig struct {
	// WindowS is the window over which requests are counted, in seconds.
	WindowS float64 `json:"windowS"`
	// OverFraction is the fraction of the allowance by which a window may exceed it, and
	// Slack an additional amount, in the allowance's unit.
	OverFraction float64 `json:"over"`
	Slack        float64 `json:"slack"`
}

func (c AllowanceConfig) tolerance() allowance.Tolerance {
	return allowance.Tolerance{Window: time.Duration(c.WindowS * float64(time.Second)), OverFraction: c.OverFraction, Slack: c.Slack}
}

// allowances enforces the accounts' allowances at one node, and holds the aggregator of
// usage while this node aggregates for all. A nil value reports and receives nothing.
type allowances struct {
	limiter   *allowance.Limiter
	tolerance allowance.Tolerance
	process   string
	// holdsLease tells whether this instance holds the lease and so must aggregate;
	// instanceCount returns the number of listed instances.
	holdsLease    func() bool
	instanceCount func() int
	now           func() time.Time

	mu     sync.Mutex
	limits allowance.Limits
	// aggregator is nil while another instance aggregates. aggregatorID identifies this
	// process in its latest term as aggregator, and terms counts those terms.
	aggregator   *allowance.Aggregator
	aggregatorID allowance.AggregatorID
	terms        int
	// noAggregatorAt holds when each instance last reported that it had never had contact
	// with an aggregator. standIn is set while this instance aggregates as a stand-in, until
	// a holder of the lease does.
	noAggregatorAt map[string]time.Time
	standIn        bool
	// lastAggregatorAddress is where the aggregator receives packets, as of its last contact.
	lastAggregatorAddress string
	lastAggregatorContact time.Time
}

func newAllowances(c AllowanceConfig, process string, holdsLease func() bool, instanceCount func() int, now func() time.Time) *allowances {
	t := c.tolerance()
	return &allowances{
		limiter: allowance.NewLimiter(t, rand.Float64), tolerance: t, process: process, holdsLease: holdsLease, instanceCount: instanceCount, now: now,
		noAggregatorAt: map[string]time.Time{},
	}
}

// setLimits applies the allowances of the settings.
func (a *allowances) setLimits(t *settings.Tree) {
	limits := allowance.LimitsOf(t)
	a.limiter.SetLimits(limits)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	if a.aggregator != nil {
		a.aggregator.SetLimits(limits)
	}
}

// maxUsagesPerPacket and maxSharesPerPacket bound the entries of one packet.
const (
	maxUsagesPerPacket = 8
	maxSharesPerPacket = 30
)

// addUsage adds the pending usage of accounts at this instance to a packet, in at most room
// bytes.
func (a *allowances) addUsage(p *peer.Packet, room int) {
	if a == nil {
		return
	}
	p.NoAggregator = a.lacksAggregator()
	p.Usage, p.UsageFor = a.limiter.PendingUsage(min(maxUsagesPerPacket, room/allowance.UsageBytes))
}

// receive applies a packet of any instance, including this one.
func (a *allowances) receive(p peer.Packet) {
	if a == nil {
		return
	}
	if p.Aggregator != 0 {
		a.receiveAggregator(p)
		return
	}
	if len(p.Placements) > 0 || p.Instances > 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.NoAggregator {
		a.noAggregatorAt[p.From] = a.now()
	}
	if a.aggregator == nil {
		return
	}
	usage := p.Usage
	if p.UsageFor != a.aggregatorID {
		usage = nil
	}
	a.aggregator.RecordUsage(a.now(), p.From, p.Process, usage)
}

// receiveAggregator applies the shares that an aggregator announces. A stand-in steps down for
// an aggregator with a smaller ID.
func (a *allowances) receiveAggregator(p peer.Packet) {
	a.limiter.ReceiveShares(a.now(), p.Aggregator, p.Allowances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAggregatorAddress, a.lastAggregatorContact = p.Address, a.now()
	if p.Aggregator < a.aggregatorID {
		a.standIn = false
	}
}

// lacksAggregator tells whether this instance has limits to enforce and has never had contact
// with an aggregator.
func (a *allowances) lacksAggregator() bool {
	a.mu.Lock()
	needed := len(a.limits) > 0
	a.mu.Unlock()
	return needed && a.limiter.NoAggregator()
}

// aggregatorTimeout is for how long after the last contact the aggregator's address is valid,
// and a report of an instance that lacks an aggregator counts.
const aggregatorTimeout = 1500 * time.Millisecond

// aggregatorAddress returns where the aggregator receives packets; empty if there was no
// contact with one within aggregatorTimeout.
func (a *allowances) aggregatorAddress() string {
	if a == nil {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastAggregatorAddress == "" || a.now().Sub(a.lastAggregatorContact) >= aggregatorTimeout {
		return ""
	}
	return a.lastAggregatorAddress
}

// newAggregatorID returns the ID under which this process aggregates during a term.
func (a *allowances) newAggregatorID(term string) allowance.AggregatorID {
	if a.standIn {
		return allowance.StandInAggregatorID(term)
	}
	return allowance.HolderAggregatorID(term)
}

// standInQuorum is the fraction of the instances that must lack an aggregator before one
// stands in while nobody holds the lease. Such a fraction means that all have started
// together. Instances that had contact with an earlier aggregator continue with their shares
// of the limits, which a stand-in does not know.
const standInQuorum = 0.8

// aggregates tells whether this instance must aggregate, and decides whether it becomes a
// stand-in. mu must be held.
func (a *allowances) aggregates(now time.Time) bool {
	if a.holdsLease() {
		a.standIn = false
		return true
	}
	if a.standIn {
		return true
	}
	lacking := 0
	for _, at := range a.noAggregatorAt {
		if now.Sub(at) < aggregatorTimeout {
			lacking++
		}
	}
	a.standIn = lacking > 0 && float64(lacking) >= standInQuorum*float64(a.instanceCount()) && a.limiter.NoAggregator()
	return a.standIn
}

// announcements returns the packets to send to all instances while this one aggregates.
func (a *allowances) announcements() []peer.Packet {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if len(a.limits) == 0 || !a.aggregates(now) {
		a.aggregator = nil
		return nil
	}
	if a.aggregator == nil {
		a.terms++
		a.aggregatorID = a.newAggregatorID(fmt.Sprint(a.process, "/", a.terms))
		a.aggregator = allowance.NewAggregator(now, a.tolerance)
		a.aggregator.SetLimits(a.limits)
		a.aggregator.CarryOverDebts(a.limiter.LastShares(now))
	}
	shares, due := a.aggregator.Shares(now)
	if !due {
		a.limiter.RelinquishShares(now)
		return nil
	}
	var packets []peer.Packet
	for part := range slices.Chunk(shares, maxSharesPerPacket) {
		packets = append(packets, peer.Packet{Allowances: part, Aggregator: a.aggregatorID})
	}
	if len(packets) == 0 {
		// The aggregator announces itself even without shares to announce.
		packets = append(packets, peer.Packet{Aggregator: a.aggregatorID})
	}
	return packets
}

// maxAccountsShown bounds the accounts listed in the metrics.
const maxAccountsShown = 100

// allowanceStats is the metric on allowances.
type allowanceStats struct {
	Rejected int64                             `json:"rejected"`
	Accounts map[string]allowance.AccountStats `json:"accounts"`
}

// stats returns the state of at most maxAccountsShown accounts at this instance.
func (a *allowances) stats(c *settings.Catalog) allowanceStats {
	if c == nil {
		return allowanceStats{}
	}
	names := slices.Sorted(maps.Keys(c.Tree.Callers))
	accounts, rejected := a.limiter.Stats(a.now(), names[:min(len(names), maxAccountsShown)])
	return allowanceStats{Rejected: rejected, Accounts: accounts}
}
