package placement

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/engine"
)

// Event is an input of a Controller.
type Event interface{ isEvent() }

// LeaseAcquired says that this instance holds the cell's lease.
type LeaseAcquired struct{ Epoch int64 }

// LeaseLost says that it no longer does.
type LeaseLost struct{}

// LedgerRead is the stored ledger; a nil Ledger means that there is none.
type LedgerRead struct {
	Ledger  *Ledger
	Version string
}

// CommitEnded is the end of a Commit.
type CommitEnded struct {
	// Seq is that of the Commit.
	Seq    int64
	Result commit.Result
	// Version is the new resource version if the commit took effect.
	Version string
}

// CellSettings is what the settings say of the cell.
type CellSettings struct {
	// Units are ordered by name; Demand and Waiting are not set.
	Units []UnitSpec
	// CapacityMB, Concurrency and ChecksFencing are those of each endpoint.
	CapacityMB    int64
	Concurrency   int
	ChecksFencing bool
	// MaxOrderDelay is the longest time for which the network may hold an
	// order that was sent.
	MaxOrderDelay time.Duration
	// LoadsPerSecond and ConcurrentLoads are this cell's share of the weight
	// store's budget.
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
	// Version grows with every change of the list.
	Version   int64
	Endpoints []Member
	// Instances maps the name of each live or leaving instance to its
	// incarnation.
	Instances map[string]string
}

// InventoryReply is an endpoint's account of what it holds, asked for at AskedAt.
type InventoryReply struct {
	Endpoint    string
	RequestedAt time.Time
	// Report is nil if the endpoint gave none.
	Report *engine.Report
}

// OrderEnded is the end of one sending of an order.
type OrderEnded struct {
	Order  string
	Result SendResult
}

// SendResult is what became of one sending of an order.
type SendResult int

// Results of a sending.
const (
	// SendAccepted means that the endpoint answered that it has the order.
	SendAccepted SendResult = iota
	// SendRefused means that the endpoint has seen a newer epoch.
	SendRefused
	// SendUnknown means that the order may have arrived, or may yet.
	SendUnknown
)

// HolderSettled is an earlier controller's word that none of its orders up to
// Epoch can arrive any more.
type HolderSettled struct {
	Holder string
	Epoch  int64
}

// Tick lets time pass.
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

// ReadLedger asks for the stored ledger.
type ReadLedger struct{}

// Commit asks for a conditional write of the ledger; an empty Version means a
// create. The ledger must not be changed.
type Commit struct {
	// Seq tells commits apart: one of an earlier epoch may end in a later one.
	Seq     int64
	Ledger  *Ledger
	Version string
}

// SendOrder asks for one sending of an order.
type SendOrder struct {
	Endpoint, Address string
	Order             engine.Order
}

// RequestInventory asks an endpoint for its inventory.
type RequestInventory struct{ Endpoint, Address string }

// ReadSettled asks for an earlier controller's HolderSettled.
type ReadSettled struct{ Holder string }

// WriteSettled gives this controller's own HolderSettled to later ones.
type WriteSettled struct {
	Holder string
	Epoch  int64
}

// LogMove is a decision to log.
type LogMove struct{ Move Move }

// LogEvent is something that happened, to log.
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
