package counted

import "time"

// Op is what an order asks for.
type Op string

// Operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Unit is something that endpoints load as a whole: a model, or an adapter of
// one.
type Unit struct {
	Name string
	// Base is the model that an adapter belongs to; empty for a model.
	Base     string
	MemoryMB int64
	// Rank is the unit's place in the operator's list.
	Rank int
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the times of a load from the
	// weight store, the endpoint's disk and its host memory; 0 where unknown.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
}

// CellSettings is what the settings say of the cell.
type CellSettings struct {
	Units []Unit
	// CapacityMB and AdapterSlots are those of each endpoint; 0 slots means
	// that only memory bounds adapters.
	CapacityMB   int64
	AdapterSlots int
	// KVTokens is how many tokens of prompts and answers each endpoint has memory for; 0
	// where that is not known.
	KVTokens int
	// LoadsPerSecond is the weight store's rate.
	LoadsPerSecond float64
}

// Member is an endpoint of the cell.
type Member struct {
	Name, Address, FailureDomain string
	// StartedAtMS is when it was started, in Unix milliseconds of its own clock; 0
	// where it does not tell. One that starts again under its name holds and knows
	// nothing of before, and tells a later time.
	StartedAtMS int64
	Leaving     bool
	// Resident is what the endpoint's entry last told.
	Resident []string
}

// MemberList is the endpoints of the cell.
type MemberList struct{ Members []Member }

// Report is an endpoint's account of itself, a little behind the truth.
type Report struct {
	// StartedAtMS is that of its Member.
	StartedAtMS int64
	// OrderCount is how many orders it has taken since its start.
	OrderCount int64
	// Busy tells that a load or unload of a model is under way.
	Busy bool
	// Resident are the units it holds, Loading the adapters on their way.
	Resident, Loading []string
	// InMemory and OnDisk are the models of which it keeps copies.
	InMemory, OnDisk []string
}

// ReportReply is the end of an Ask; a nil Report means that none came, and Refused
// that the endpoint's machine refused the connection.
type ReportReply struct {
	Endpoint string
	// StartedAtMS is that of the Ask.
	StartedAtMS       int64
	RequestedAt       time.Time
	Report            *Report
	ConnectionRefused bool
}

// RequestsFailed says that requests to endpoints have failed.
type RequestsFailed struct{ Endpoints []string }

// EndpointsReplaced says that other incarnations have answered at the endpoints' addresses.
// StartedAtMS tells of which start of each that is said; 0 for any.
type EndpointsReplaced struct {
	Endpoints   []string
	StartedAtMS map[string]int64
}

// IsolationChanged says whether this instance hears none of the others, and so may not be heard
// by them.
type IsolationChanged struct{ Isolated bool }

// Result is what became of an order.
type Result int

// Results of orders.
const (
	// Accepted: the endpoint has it and carries it out.
	Accepted Result = iota
	// Refused: it has no effect and never will.
	Refused
	// Superseded: the endpoint has seen a later holder.
	Superseded
	// Unknown: it may take effect while the endpoint's count is the expected.
	Unknown
	// Replaced: another incarnation answers at the endpoint's address.
	Replaced
)

// OrderEnded is the end of a Send.
type OrderEnded struct {
	Endpoint string
	Order    Order
	Result   Result
}

// DemandReport is the demand for units as all instances together tell it.
type DemandReport struct {
	// Rate is the work a second that is asked for, by unit, in tokens.
	Rate map[string]float64
	// Waiting is the requests that wait for a replica, by unit.
	Waiting map[string]int
	// LastRequestAt is when each unit was last asked for.
	LastRequestAt map[string]time.Time
}

// LeaseAcquired says that this instance may order until it hears LeaseLost.
type LeaseAcquired struct {
	Epoch int64
	// HasPredecessor tells that another holder may have ordered before, and Wait for
	// how long the first order must wait for that.
	HasPredecessor bool
	OrderDelay     time.Duration
}

// LeaseLost says that it may no longer.
type LeaseLost struct{}

// Tick lets time pass.
type Tick struct{}

// Event is an input of a Controller.
type Event interface{ isEvent() }

func (CellSettings) isEvent()      {}
func (MemberList) isEvent()        {}
func (ReportReply) isEvent()       {}
func (RequestsFailed) isEvent()    {}
func (EndpointsReplaced) isEvent() {}
func (IsolationChanged) isEvent()  {}
func (OrderEnded) isEvent()        {}
func (DemandReport) isEvent()      {}
func (LeaseAcquired) isEvent()     {}
func (LeaseLost) isEvent()         {}
func (Tick) isEvent()              {}

// Order is one order to an endpoint.
type Order struct {
	Op   Op
	Unit string
	// ExpectedCount is what the endpoint must have taken for the order to count.
	ExpectedCount int64
	Epoch         int64
	// StartedAtMS is the start of the endpoint that the order is for. The endpoint
	// does not check it: one that has started again takes an order of the right count.
	StartedAtMS int64
}

// Action is an output of a Controller.
type Action interface{ isAction() }

// RequestReport asks an endpoint for its report. StartedAtMS is its start, by what is known.
type RequestReport struct {
	Endpoint, Address string
	StartedAtMS       int64
}

// SendOrder sends an order, once.
type SendOrder struct {
	Endpoint, Address string
	Order             Order
}

// AnnounceUnits says what an endpoint holds and takes requests for; routing everywhere
// is to go by it.
type AnnounceUnits struct {
	Endpoint    string
	StartedAtMS int64
	Units       []string
	// Draining are units that are about to be unloaded.
	Draining []string
	Change   Change
}

// Change is what a Tell brings to those that have heard the former ones.
type Change int

// News of a Tell, the most urgent last.
const (
	// Unchanged repeats what was told.
	Unchanged Change = iota
	// UnitsAdded brings units.
	UnitsAdded
	// UnitsWithdrawn takes units from routing.
	UnitsWithdrawn
)

// LogMove is a decision to log, with the numbers that led to it.
type LogMove struct{ Move Move }

// LogEvent is something that happened, to log.
type LogEvent struct{ Event, Endpoint, Unit, Detail string }

func (RequestReport) isAction() {}
func (SendOrder) isAction()     {}
func (AnnounceUnits) isAction() {}
func (LogMove) isAction()       {}
func (LogEvent) isAction()      {}
