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
	Over  float64 `json:"over"`
	Slack float64 `json:"slack"`
}

func (c AllowanceConfig) tolerance() allowance.Tolerance {
	return allowance.Tolerance{Window: time.Duration(c.WindowS * float64(time.Second)), OverFraction: c.Over, Slack: c.Slack}
}

// allowances is a node's part in the accounts' allowances, and the ledger while it adds up.
// Nil ones tell and hear nothing.
type allowances struct {
	local     *allowance.Limiter
	tolerance allowance.Tolerance
	process   string
	// holds tells whether this instance holds the lease, and so is to add up; listed returns
	// how many instances there are.
	holds  func() bool
	listed func() int
	now    func() time.Time

	mu     sync.Mutex
	limits allowance.Limits
	// ledger is nil while another instance adds up; adder stands for it, reign counts how
	// often this process has begun to add up.
	ledger *allowance.Aggregator
	adder  allowance.AggregatorID
	reign  int
	// orphans holds when each instance last told that it had never heard an adder; standsIn
	// is set while this one adds up for them, until a holder of the lease does.
	orphans  map[string]time.Time
	standsIn bool
	// adderAddress is where the process that adds up receives packets, heard at adderAt.
	adderAddress string
	adderAt      time.Time
}

func newAllowances(c AllowanceConfig, process string, holds func() bool, listed func() int, now func() time.Time) *allowances {
	t := c.tolerance()
	return &allowances{
		local: allowance.NewLimiter(t, rand.Float64), tolerance: t, process: process, holds: holds, listed: listed, now: now,
		orphans: map[string]time.Time{},
	}
}

// adopt takes the allowances of settings.
func (a *allowances) adopt(t *settings.Tree) {
	limits := allowance.LimitsOf(t)
	a.local.SetLimits(limits)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
	if a.ledger != nil {
		a.ledger.SetLimits(limits)
	}
}

// maxUsages and maxWords bound what one packet tells.
const (
	maxUsages = 8
	maxWords  = 30
)

// tell adds to a packet of this instance what accounts have asked of it, in so many bytes.
func (a *allowances) tell(p *peer.Packet, room int) {
	if a == nil {
		return
	}
	p.NoAggregator = a.orphan()
	p.Usage, p.UsageFor = a.local.PendingUsage(min(maxUsages, room/allowance.UsageBytes))
}

// heard takes what a packet tells, also one of this instance's own.
func (a *allowances) heard(p peer.Packet) {
	if a == nil {
		return
	}
	if p.Aggregator != 0 {
		a.heardAdder(p)
		return
	}
	if len(p.Placements) > 0 || p.Instances > 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.NoAggregator {
		a.orphans[p.From] = a.now()
	}
	if a.ledger == nil {
		return
	}
	usage := p.Usage
	if p.UsageFor != a.adder {
		usage = nil
	}
	a.ledger.RecordUsage(a.now(), p.From, p.Process, usage)
}

// heardAdder takes the words of a process that adds up. One that stands in gives way.
func (a *allowances) heardAdder(p peer.Packet) {
	a.local.ReceiveShares(a.now(), p.Aggregator, p.Allowances)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adderAddress, a.adderAt = p.Address, a.now()
	if p.Aggregator < a.adder {
		a.standsIn = false
	}
}

// orphan tells whether this instance has never heard a process that adds up, and needs one.
func (a *allowances) orphan() bool {
	a.mu.Lock()
	needed := len(a.limits) > 0
	a.mu.Unlock()
	return needed && a.local.NoAggregator()
}

// adderHeard is for how long the address of the process that adds up counts.
const adderHeard = 1500 * time.Millisecond

// address is where the process that adds up receives packets, empty if none was heard lately.
func (a *allowances) address() string {
	if a == nil {
		return ""
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.adderAddress == "" || a.now().Sub(a.adderAt) >= adderHeard {
		return ""
	}
	return a.adderAddress
}

// newAdder returns what stands for this process from now on.
func (a *allowances) newAdder(reign string) allowance.AggregatorID {
	if a.standsIn {
		return allowance.StandInAggregatorID(reign)
	}
	return allowance.HolderAggregatorID(reign)
}

// mostOrphans is the part of the instances that must never have heard an adder for one to
// stand in before there is a holder of the lease: all have started together. Others would go
// on with their parts of the limits, which one that stands in knows nothing of.
const mostOrphans = 0.8

// adds tells whether this instance is to add up; mu must be held.
func (a *allowances) adds(now time.Time) bool {
	if a.holds() {
		a.standsIn = false
		return true
	}
	if a.standsIn {
		return true
	}
	orphans := 0
	for _, at := range a.orphans {
		if now.Sub(at) < adderHeard {
			orphans++
		}
	}
	a.standsIn = orphans > 0 && float64(orphans) >= mostOrphans*float64(a.listed()) && a.local.NoAggregator()
	return a.standsIn
}

// packets returns what is to be told to all, while this instance adds up.
func (a *allowances) packets() []peer.Packet {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	if len(a.limits) == 0 || !a.adds(now) {
		a.ledger = nil
		return nil
	}
	if a.ledger == nil {
		a.reign++
		a.adder = a.newAdder(fmt.Sprint(a.process, "/", a.reign))
		a.ledger = allowance.NewAggregator(now, a.tolerance)
		a.ledger.SetLimits(a.limits)
		a.ledger.CarryOverDebts(a.local.LastShares(now))
	}
	words, told := a.ledger.Shares(now)
	if !told {
		a.local.RelinquishShares(now)
		return nil
	}
	var packets []peer.Packet
	for part := range slices.Chunk(words, maxWords) {
		packets = append(packets, peer.Packet{Allowances: part, Aggregator: a.adder})
	}
	if len(packets) == 0 {
		// Who adds up is told also while there is nothing to tell.
		packets = append(packets, peer.Packet{Aggregator: a.adder})
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
	accounts, rejected := a.local.Stats(a.now(), names[:min(len(names), maxAccountsShown)])
	return allowanceStats{Rejected: rejected, Accounts: accounts}
}
