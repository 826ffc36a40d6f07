package placement

import (
	"strconv"
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/engine"
)

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	// Cell is the name of the cell.
	Cell string
	// Holder identifies this instance as NAME/INCARNATION, optionally followed by a
	// slash and more.
	Holder string
	// ResendInterval is the delay before an order that was not accepted is sent again.
	ResendInterval time.Duration
	// InventoryInterval is the time between inventories of an endpoint without open
	// orders, OpenOrderInventoryInterval that of an endpoint with open orders.
	InventoryInterval, OpenOrderInventoryInterval time.Duration
	// InventorySpacing limits the rate of inventories of endpoints without open orders:
	// at most one is requested in this time over all of them.
	InventorySpacing time.Duration
	// PlanInterval is the time between plans.
	PlanInterval time.Duration
}

// DefaultControllerConfig returns the default configuration for a cell.
func DefaultControllerConfig(cell, holder string) ControllerConfig {
	return ControllerConfig{
		Cell: cell, Holder: holder, ResendInterval: time.Second,
		InventoryInterval: 2 * time.Second, OpenOrderInventoryInterval: 250 * time.Millisecond,
		InventorySpacing: 250 * time.Millisecond, PlanInterval: 250 * time.Millisecond,
	}
}

// phase is the progress of a controller in taking over the ledger.
type phase int

const (
	// phaseIdle: the lease is not held.
	phaseIdle phase = iota
	// phaseReading: the ledger is being read.
	phaseReading
	// phaseTakingOver: the commit that raises the epoch is in flight. Nothing is decided
	// and nothing is sent until it has taken effect.
	phaseTakingOver
	// phaseRunning: the controller decides and sends orders.
	phaseRunning
)

// Controller decides for one cell while its instance holds the cell's lease.
//
// Invariants: an order is sent only if it is recorded in committed under this
// controller's epoch; working is committed plus the changes of the next commit; at most
// one commit is in flight.
type Controller struct {
	cfg   ControllerConfig
	phase phase
	epoch int64

	settings  CellSettings
	members   []Member
	instances map[string]string
	// listVersion is the version of the list from which members and instances come.
	listVersion int64

	committed     *Ledger
	working       *Ledger
	ledgerVersion string
	dirty         bool
	// inFlightCommit is the ledger being written to the store; nil for none.
	inFlightCommit *Ledger
	commitSeq      int64

	orders               map[string]*openOrder
	nextID               int64
	history              sendHistory
	fences               map[string]*fence
	inventoryRequestedAt map[string]time.Time
	inventoryPending     map[string]bool
	demand               demandEstimates
	budget               loadBudget
	nextPlanAt           time.Time
	// holderMissingSince is when each earlier holder was first missing from the list,
	// unlistedSince when each endpoint on record was.
	holderMissingSince map[string]time.Time
	unlistedSince      map[string]time.Time
	// settledEpoch is the epoch for which WriteSettled was last emitted.
	settledEpoch  int64
	settledReadAt time.Time
	// predecessorSettledAt is when this controller last learned that an earlier
	// controller's orders can no longer arrive.
	predecessorSettledAt time.Time
	ledgerReadAt         time.Time
}

// openOrder is the sending state of an order in the ledger.
type openOrder struct {
	endpoint, unit string
	op             engine.OrderOp
	memoryMB       int64
	inFlight       bool
	sent           bool
	accepted       bool
	// endedAt is when the last sending ended.
	endedAt time.Time
}

// NewController returns a controller that does not hold the lease.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{
		cfg: cfg, orders: map[string]*openOrder{}, fences: map[string]*fence{}, inventoryRequestedAt: map[string]time.Time{},
		inventoryPending: map[string]bool{}, history: newSendHistory(), demand: newDemandEstimates(), holderMissingSince: map[string]time.Time{}, unlistedSince: map[string]time.Time{},
	}
}

// Step applies an event and returns the resulting actions in order.
func (c *Controller) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case LeaseAcquired:
		c.settledEpoch = 0
		c.phase, c.epoch = phaseReading, e.Epoch
		c.ledgerReadAt = time.Time{}
		// The history keeps what this process sent in earlier epochs. Fences belong to
		// the epoch: a second takeover in the same epoch must not adopt an inventory
		// again, as that does not exclude copies of orders already sent in it.
		clear(c.orders)
		clear(c.fences)
	case LeaseLost:
		c.phase = phaseIdle
	case LedgerRead:
		actions = c.ledgerRead(now, e)
	case CommitEnded:
		actions = c.commitEnded(now, e)
	case CellSettings:
		c.settings = e
		c.budget.configure(now, e.LoadsPerSecond)
	case MemberList:
		c.members, c.instances, c.listVersion = e.Endpoints, e.Instances, e.Version
	case HolderSettled:
		c.holderSettled(now, e)
	case InventoryReply:
		actions = c.inventoryReceived(now, e)
	case OrderEnded:
		actions = c.orderEnded(now, e)
	}
	return append(actions, c.advance(now)...)
}

// Running reports whether the controller is making decisions.
func (c *Controller) Running() bool { return c.phase == phaseRunning }

// Ledger returns the last committed ledger. The caller must not modify it.
func (c *Controller) Ledger() *Ledger { return c.committed }

// advance performs all work that is due.
func (c *Controller) advance(now time.Time) []Action {
	switch c.phase {
	case phaseReading:
		return c.requestLedger(now)
	case phaseTakingOver:
		return c.commit()
	case phaseRunning:
		actions := c.reconcileMembers(now)
		actions = append(actions, c.settlePredecessors(now)...)
		actions = append(actions, c.plan(now)...)
		actions = append(actions, c.commit()...)
		actions = append(actions, c.send(now)...)
		return append(actions, c.requestInventories(now)...)
	default:
		return c.announceSettled(now)
	}
}

// ledgerReadInterval is the time between reads of the ledger.
const ledgerReadInterval = 500 * time.Millisecond

func (c *Controller) requestLedger(now time.Time) []Action {
	// A holder that is not on the list yet would be treated as gone, and without
	// settings the maximum order delay is unknown.
	if now.Sub(c.ledgerReadAt) < ledgerReadInterval || c.settings.Units == nil || c.holderGone(c.cfg.Holder) {
		return nil
	}
	c.ledgerReadAt = now
	return []Action{ReadLedger{}}
}

// ledgerRead starts the takeover. If the answer to one of this controller's commits was
// lost, the ledger already has its epoch; taking it over again is harmless.
func (c *Controller) ledgerRead(now time.Time, e LedgerRead) []Action {
	if c.phase != phaseReading {
		return nil
	}
	l := e.Ledger
	if l == nil {
		l = NewLedger()
	}
	if l.Epoch > c.epoch || l.Epoch == c.epoch && l.Holder != c.cfg.Holder {
		return []Action{LogEvent{Event: "ledger has a newer epoch", Detail: strconv.FormatInt(l.Epoch, 10)}}
	}
	c.working, c.ledgerVersion, c.committed = l.Clone(), e.Version, nil
	c.recordListVersion()
	c.working.TakeOver(c.epoch, c.cfg.Holder, c.newOrderID)
	c.history.recordTakeover(now)
	clear(c.inventoryRequestedAt)
	c.dirty, c.inFlightCommit, c.phase = true, nil, phaseTakingOver
	c.trackOrders()
	return nil
}

// trackOrders adds the open orders of working to orders and removes those that are no
// longer in the ledger.
func (c *Controller) trackOrders() {
	next := make(map[string]*openOrder)
	for name, e := range c.working.Endpoints {
		for unit, u := range e.Units {
			if u.Order == "" {
				continue
			}
			if known := c.orders[u.Order]; known != nil {
				next[u.Order] = known
				continue
			}
			op := engine.OpLoad
			if u.State == Unloading {
				op = engine.OpUnload
			}
			next[u.Order] = &openOrder{endpoint: name, unit: unit, op: op, memoryMB: u.MemoryMB}
		}
	}
	c.orders = next
}

func (c *Controller) newOrderID() string {
	c.nextID++
	return c.cfg.Cell + "." + strconv.FormatInt(c.epoch, 10) + "." + strconv.FormatInt(c.nextID, 10)
}

// commit starts a commit if there are changes to commit and no commit is in flight.
func (c *Controller) commit() []Action {
	if !c.dirty || c.inFlightCommit != nil {
		return nil
	}
	c.inFlightCommit, c.dirty = c.working.Clone(), false
	c.commitSeq++
	return []Action{Commit{Seq: c.commitSeq, Ledger: c.inFlightCommit, Version: c.ledgerVersion}}
}

func (c *Controller) commitEnded(_ time.Time, e CommitEnded) []Action {
	sent := c.inFlightCommit
	if sent == nil || e.Seq != c.commitSeq {
		return nil
	}
	c.inFlightCommit = nil
	if c.phase == phaseIdle {
		return nil
	}
	if e.Result == commit.Done {
		c.committed, c.ledgerVersion = sent, e.Version
		if c.phase == phaseTakingOver {
			c.phase = phaseRunning
			return []Action{LogEvent{Event: "cell taken over", Detail: strconv.FormatInt(c.epoch, 10)}}
		}
		return nil
	}
	// The stored state is unknown until the ledger is read again. Until then nothing
	// uncommitted may be sent, and the takeover is repeated.
	c.phase, c.ledgerReadAt = phaseReading, time.Time{}
	return []Action{LogEvent{Event: "commit not confirmed"}}
}

// recordListVersion records the version of the list that decisions are based on. It
// reports whether the list is as new as any that a controller has acted on.
func (c *Controller) recordListVersion() bool {
	if c.listVersion > c.working.ListVersion {
		c.working.ListVersion, c.dirty = c.listVersion, true
	}
	return c.listVersion == c.working.ListVersion
}
