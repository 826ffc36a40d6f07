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
	return allowance.Tolerance{Window: time.Duration(c.WindowS * float64(time.Second)), Over: c.Over, Slack: c.Slack}
}

// allowances is a node's part in the accounts' allowances, and the ledger while it adds up.
// Nil ones tell and hear nothing.
type allowances struct {
	local     *allowance.Local
	tolerance allowance.Tolerance
	process   string
	// adds tells whether this instance is to add up.
	adds func() bool
	now  func() time.Time

	mu     sync.Mutex
	limits allowance.Limits
	// ledger is nil while another instance adds up; adder stands for it, reign counts how
	// often this process has begun to add up.
	ledger *allowance.Ledger
	adder  allowance.Adder
	reign  int
}

func newAllowances(c AllowanceConfig, process string, adds func() bool, now func() time.Time) *allowances {
	t := c.tolerance()
	return &allowances{local: allowance.NewLocal(t, rand.Float64), tolerance: t, process: process, adds: adds, now: now}
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
	p.Usage, p.UsageFor = a.local.Usage(min(maxUsages, room/allowance.UsageBytes))
}

// heard takes what a packet tells, also one of this instance's own.
func (a *allowances) heard(p peer.Packet) {
	if a == nil {
		return
	}
	if len(p.Allowances) > 0 || p.Adder != 0 {
		a.local.Hear(a.now(), p.Adder, p.Allowances)
		return
	}
	if len(p.Placements) > 0 || p.Instances > 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ledger == nil {
		return
	}
	usage := p.Usage
	if p.UsageFor != a.adder {
		usage = nil
	}
	a.ledger.Heard(a.now(), p.From, p.Process, usage)
}

// packets returns what is to be told to all, while this instance adds up.
func (a *allowances) packets() []peer.Packet {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.adds() {
		a.ledger = nil
		return nil
	}
	if len(a.limits) == 0 {
		return nil
	}
	now := a.now()
	if a.ledger == nil {
		a.reign++
		a.adder = allowance.AdderOf(fmt.Sprint(a.process, "/", a.reign))
		a.ledger = allowance.NewLedger(now, a.tolerance)
		a.ledger.SetLimits(a.limits)
	}
	words, told := a.ledger.Words(now)
	if !told {
		a.local.GiveUp(now)
		return nil
	}
	var packets []peer.Packet
	for part := range slices.Chunk(words, maxWords) {
		packets = append(packets, peer.Packet{Allowances: part, Adder: a.adder})
	}
	if len(packets) == 0 {
		// Who adds up is told also while there is nothing to tell.
		packets = append(packets, peer.Packet{Adder: a.adder})
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
