package placement

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/engine"
)

// Event is an input of a Controller.
type Event interface{ isEvent() }

// LeaseAcquired reports that this instance holds the cell's lease.
type LeaseAcquired struct{ Epoch int64 }

// LeaseLost reports that this instance no longer holds the cell's lease.
type LeaseLost struct{}

// LedgerRead is the stored ledger; a nil Ledger means that none is stored.
type LedgerRead struct {
	Ledger  *Ledger
	Version string
}

// CommitEnded is the result of a Commit.
type CommitEnded struct {
	// Seq is the sequence number of the Commit.
	Seq    int64
	Result commit.Result
	// Version is the new resource version if the commit took effect.
	Version string
}

// CellSettings is the settings of the cell.
type CellSettings struct {
	// Units are ordered by name; Demand and Waiting are not set.
	Units []UnitSpec
	// CapacityMB, Concurrency and ChecksFencing apply to each endpoint.
	CapacityMB    int64
	Concurrency   int
	ChecksFencing bool
	// MaxOrderDelay is the longest time for which the network may delay an order.
	MaxOrderDelay time.Duration
	// LoadsPerSecond and ConcurrentLoads are this cell's share of the weight store's
	// budget.
	LoadsPerSecond  float64
	ConcurrentLoads int
}

// Member is an endpoint of the cell on the platform's list.
type Member struct {
	Name, Address, FailureDomain, Incarnation string
	Leaving                                   bool
}

// MemberList is the platform's list. Endpoints are ordered by name.
type MemberList struct {
	// Version increases with every change of the list.
	Version   int64
	Endpoints []Member
	// Instances maps the name of each live or leaving instance to its incarnation.
	Instances map[string]string
}

// InventoryReply is the result of a RequestInventory that was sent at RequestedAt.
type InventoryReply struct {
	Endpoint    string
	RequestedAt time.Time
	// Report is nil if the endpoint returned none.
	Report *engine.Report
}

// OrderEnded is the end of one sending of an order.
type OrderEnded struct {
	Order  string
	Result SendResult
}

// SendResult is the result of one sending of an order.
type SendResult int

// Results of a sending.
const (
	// SendAccepted means that the endpoint confirmed that it has the order.
	SendAccepted SendResult = iota
	// SendRefused means that the endpoint has seen a newer epoch.
	SendRefused
	// SendUnknown means that the order may have arrived or may still arrive.
	SendUnknown
)

// HolderSettled is an earlier controller's statement that none of its orders up to Epoch
// can still arrive.
type HolderSettled struct {
	Holder string
	Epoch  int64
}

// Tick advances the controller's time.
type Tick struct{}

func (LeaseAcquired) isEvent()  {}
func (LeaseLost) isEvent()      {}
func (LedgerRead) isEvent()     {}
func (CommitEnded) isEvent()    {}
func (CellSettings) isEvent()   {}
func (MemberList) isEvent()     {}
func (InventoryReply) isEvent() {}
func (OrderEnded) isEvent()     {}
func (HolderSettled) isEvent()  {}
func (Tick) isEvent()           {}

// Action is an output of a Controller.
type Action interface{ isAction() }

// ReadLedger requests the stored ledger.
type ReadLedger struct{}

// Commit requests a conditional write of the ledger; an empty Version means a create.
// The ledger must not be modified.
type Commit struct {
	// Seq identifies the commit: a commit of an earlier epoch may end in a later one.
	Seq     int64
	Ledger  *Ledger
	Version string
}

// SendOrder requests one sending of an order.
type SendOrder struct {
	Endpoint, Address string
	Order             engine.Order
}

// RequestInventory requests the inventory of an endpoint.
type RequestInventory struct{ Endpoint, Address string }

// ReadSettled requests an earlier controller's HolderSettled.
type ReadSettled struct{ Holder string }

// WriteSettled stores this controller's own HolderSettled for later controllers.
type WriteSettled struct {
	Holder string
	Epoch  int64
}

// LogMove logs a decision.
type LogMove struct{ Move Move }

// LogEvent logs an event.
type LogEvent struct {
	Event    string
	Endpoint string
	Unit     string
	Detail   string
}

func (ReadLedger) isAction()       {}
func (Commit) isAction()           {}
func (SendOrder) isAction()        {}
func (RequestInventory) isAction() {}
func (ReadSettled) isAction()      {}
func (WriteSettled) isAction()     {}
func (LogMove) isAction()          {}
func (LogEvent) isAction()         {}
