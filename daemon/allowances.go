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

// AllowanceConfig is by how much the accounts' allowances may be exceeded for moments.
type AllowanceConfig struct {
	// WindowS is the window in which they are counted, in seconds.
	WindowS float64 `json:"windowS"`
	// Over is the part of the allowance by which it may be exceeded in a window, and Slack
	// what may come on top, in the allowance's unit.
	OverFraction float64 `json:"over"`
	Slack        float64 `json:"slack"`
}

func (c AllowanceConfig) tolerance() allowance.Tolerance {
	return allowance.Tolerance{Window: time.Duration(c.WindowS * float64(time.Second)), OverFraction: c.OverFraction, Slack: c.Slack}
}

// allowances is a node's part in the accounts' allowances, and the ledger while it adds up.
// Nil ones tell and hear nothing.
type allowances struct {
	limiter   *allowance.Limiter
	tolerance allowance.Tolerance
	process   string
	// holds tells whether this instance holds the lease, and so is to add up; listed returns
	// how many instances there are.
	holdsLease    func() bool
	instanceCount func() int
	now           func() time.Time

	mu     sync.Mutex
	limits allowance.Limits
	// ledger is nil while another instance adds up; adder stands for it, reign counts how
	// often this process has begun to add up.
	aggregator   *allowance.Aggregator
	aggregatorID allowance.AggregatorID
	terms        int
	// orphans holds when each instance last told that it had never heard an adder; standsIn
	// is set while this one adds up for them, until a holder of the lease does.
	noAggregatorAt map[string]time.Time
	standIn        bool
	// adderAddress is where the process that adds up receives packets, heard at adderAt.
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

// adopt takes the allowances of settings.
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

// maxUsages and maxWords bound what one packet tells.
const (
	maxUsagesPerPacket = 8
	maxSharesPerPacket = 30
)

// tell adds to a packet of this instance what accounts have asked of it, in so many bytes.
func (a *allowances) addUsage(p *peer.Packet, room int) {
	if a == nil {
		return
	}
	p.NoAggregator = a.lacksAggregator()
	p.Usage, p.UsageFor = a.limiter.PendingUsage(min(maxUsagesPerPacket, room/allowance.UsageBytes))
}

// heard takes what a packet tells, also one of this instance's own.
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

// heardAdder takes the words of a process that adds up. One that stands in gives way.
func (a *allowances) receiveAggregator(p peer.Packet) {
	a.limiter.ReceiveShares(a.now(), p.Aggregator, p.Allowances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastAggregatorAddress, a.lastAggregatorContact = p.Address, a.now()
	if p.Aggregator < a.aggregatorID {
		a.standIn = false
	}
}

// orphan tells whether this instance has never heard a process that adds up, and needs one.
func (a *allowances) lacksAggregator() bool {
	a.mu.Lock()
	needed := len(a.limits) > 0
	a.mu.Unlock()
	return needed && a.limiter.NoAggregator()
}

// adderHeard is for how long the address of the process that adds up counts.
const aggregatorTimeout = 1500 * time.Millisecond

// address is where the process that adds up receives packets, empty if none was heard lately.
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

// newAdder returns what stands for this process from now on.
func (a *allowances) newAggregatorID(term string) allowance.AggregatorID {
	if a.standIn {
		return allowance.StandInAggregatorID(term)
	}
	return allowance.HolderAggregatorID(term)
}

// mostOrphans is the part of the instances that must never have heard an adder for one to
// stand in before there is a holder of the lease: all have started together. Others would go
// on with their parts of the limits, which one that stands in knows nothing of.
const standInQuorum = 0.8

// adds tells whether this instance is to add up; mu must be held.
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

// packets returns what is to be told to all, while this instance adds up.
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
		// Who adds up is told also while there is nothing to tell.
		packets = append(packets, peer.Packet{Aggregator: a.aggregatorID})
	}
	return packets
}

// maxAccountsShown bounds the accounts that the metrics list.
const maxAccountsShown = 100

// allowanceStats is what an instance shows of the allowances.
type allowanceStats struct {
	Rejected int64                             `json:"rejected"`
	Accounts map[string]allowance.AccountStats `json:"accounts"`
}

// stats returns the state of accounts here, of maxAccountsShown at most.
func (a *allowances) stats(c *settings.Catalog) allowanceStats {
	if c == nil {
		return allowanceStats{}
	}
	names := slices.Sorted(maps.Keys(c.Tree.Callers))
	accounts, rejected := a.limiter.Stats(a.now(), names[:min(len(names), maxAccountsShown)])
	return allowanceStats{Rejected: rejected, Accounts: accounts}
}
