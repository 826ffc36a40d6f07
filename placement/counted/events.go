package counted

import "time"

// Op is the operation of an order.
type Op string

// Operations of orders.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Unit is something that endpoints load as a whole: a model or an adapter of a model.
type Unit struct {
	Name string
	// Base is the model that an adapter belongs to; empty for a model.
	Base     string
	MemoryMB int64
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the durations of a load from
	// the weight store, the endpoint's disk and its host memory; 0 if unknown.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
}

// CellSettings is the settings of the cell.
type CellSettings struct {
	Units []Unit
	// CapacityMB and AdapterSlots apply to each endpoint; 0 slots means that only memory
	// limits adapters.
	CapacityMB   int64
	AdapterSlots int
	// Concurrency is the number of requests that each endpoint runs concurrently; 0 if
	// unknown.
	Concurrency int
	// KVTokens is the number of tokens of prompts and answers for which each endpoint
	// has memory; 0 if unknown.
	KVTokens int
	// LoadsPerSecond is the weight store's rate.
	LoadsPerSecond float64
}

// Member is an endpoint of the cell.
type Member struct {
	Name, Address, FailureDomain string
	// StartedAtMS is when the endpoint was started, in Unix milliseconds of its own
	// clock; 0 if it does not report it. An endpoint that restarts under the same name
	// holds nothing, has no record of earlier orders, and reports a later time.
	StartedAtMS int64
	Leaving     bool
	// Resident is the resident units according to the endpoint's entry.
	Resident []string
}

// MemberList is the list of the endpoints of the cell.
type MemberList struct{ Members []Member }

// Report is an endpoint's report of its own state, slightly stale.
type Report struct {
	// StartedAtMS is when the endpoint was started, as in Member.
	StartedAtMS int64
	// OrderCount is the number of orders that it has accepted since its start.
	OrderCount int64
	// Busy is set while a load or unload of a model is in progress.
	Busy bool
	// Resident is the units that it holds, Loading the adapters that it is loading.
	Resident, Loading []string
	// InMemory and OnDisk are the models of which it keeps copies.
	InMemory, OnDisk []string
}

// ReportReply is the result of a RequestReport. A nil Report means that no report was
// received, and ConnectionRefused that the endpoint's machine refused the connection.
type ReportReply struct {
	Endpoint string
	// StartedAtMS is copied from the RequestReport.
	StartedAtMS       int64
	RequestedAt       time.Time
	Report            *Report
	ConnectionRefused bool
}

// RequestsFailed reports that requests to endpoints have failed.
type RequestsFailed struct{ Endpoints []string }

// EndpointsReplaced reports that other incarnations have answered at the endpoints'
// addresses. StartedAtMS is the start of each endpoint that the report is about; 0 for
// any.
type EndpointsReplaced struct {
	Endpoints   []string
	StartedAtMS map[string]int64
}

// IsolationChanged reports whether this instance receives nothing from the other
// instances, and so may not reach them either.
type IsolationChanged struct{ Isolated bool }

// Result is the result of an order.
type Result int

// Results of orders.
const (
	// Accepted: the endpoint has the order and executes it.
	Accepted Result = iota
	// Refused: the order has no effect and never will.
	Refused
	// Superseded: the endpoint has seen a later holder.
	Superseded
	// Unknown: the order may take effect while the endpoint's count is the expected one.
	Unknown
	// Replaced: another incarnation answers at the endpoint's address.
	Replaced
)

// OrderEnded is the result of a SendOrder.
type OrderEnded struct {
	Endpoint string
	Order    Order
	Result   Result
}

// DemandReport is the demand for units as reported by all instances together.
type DemandReport struct {
	// Rate is the requested work by unit, in tokens per second.
	Rate map[string]float64
	// Waiting is the number of requests that are waiting for a replica, by unit.
	Waiting map[string]int
	// Running is the number of requests at endpoints, by unit; nil if no instance reports
	// it.
	Running map[string]int
	// LastRequestAt is when each unit was last requested.
	LastRequestAt map[string]time.Time
}

// LeaseAcquired reports that this instance may send orders until LeaseLost.
type LeaseAcquired struct {
	Epoch int64
	// HasPredecessor is set if another holder may have sent orders before; OrderDelay is
	// how long the first order must be delayed because of that.
	HasPredecessor bool
	OrderDelay     time.Duration
}

// LeaseLost reports that this instance may no longer send orders.
type LeaseLost struct{}

// Tick advances the controller's time.
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
	// ExpectedCount is the order count that the endpoint must have for the order to take
	// effect.
	ExpectedCount int64
	Epoch         int64
	// StartedAtMS is the start of the endpoint that the order is for. The endpoint does
	// not check it: after a restart it accepts an order with the right count.
	StartedAtMS int64
}

// Action is an output of a Controller.
type Action interface{ isAction() }

// RequestReport requests an endpoint's report. StartedAtMS is its last known start.
type RequestReport struct {
	Endpoint, Address string
	StartedAtMS       int64
}

// SendOrder sends an order once.
type SendOrder struct {
	Endpoint, Address string
	Order             Order
}

// AnnounceUnits announces the units that an endpoint holds and serves. Routing on all
// instances follows it.
type AnnounceUnits struct {
	Endpoint    string
	StartedAtMS int64
	Units       []string
	// Draining is the units that are about to be unloaded.
	Draining []string
	Change   Change
}

// Change is how an announcement changes the previous one.
type Change int

// Changes of an announcement, the most urgent last.
const (
	// Unchanged repeats the previous announcement.
	Unchanged Change = iota
	// UnitsAdded adds units to routing.
	UnitsAdded
	// UnitsWithdrawn withdraws units from routing.
	UnitsWithdrawn
)

// LogMove logs a decision with the numbers behind it.
type LogMove struct{ Move Move }

// LogEvent logs an event.
type LogEvent struct{ Event, Endpoint, Unit, Detail string }

func (RequestReport) isAction() {}
func (SendOrder) isAction()     {}
func (AnnounceUnits) isAction() {}
func (LogMove) isAction()       {}
func (LogEvent) isAction()      {}
