package placement

// UnitSpec is a unit that should be reachable.
type UnitSpec struct {
	Name string
	// Base is the unit that must be resident with it, or empty.
	Base     string
	MemoryMB int64
	// Replicas is the minimum number of replicas.
	Replicas int
	// LoadCost is the cost of one load, in requests that miss their target.
	LoadCost float64
	// Demand is the mean number of requests in flight or waiting.
	Demand float64
	// Waiting is the number of requests that are waiting for the unit now.
	Waiting float64
}

// EndpointState is the state of an endpoint as the planner sees it.
type EndpointState struct {
	Name          string
	FailureDomain string
	CapacityMB    int64
	FreeMB        int64
	// Concurrency is the number of requests that it runs at once.
	Concurrency int
	// AcceptsLoads is set if loads may be ordered: the endpoint is live and its contents
	// are known.
	AcceptsLoads bool
	// Live is set if the endpoint's replicas count.
	Live bool
	// Units is the record of the endpoint by unit.
	Units map[string]PlacedUnit
}

// PlacedUnit is a unit on record at an endpoint.
type PlacedUnit struct {
	State    UnitState
	MemoryMB int64
	Base     string
	// Stable is set if no order in flight can remove the replica.
	Stable bool
	// Blocked is set if the unit may not be loaded there.
	Blocked bool
	// Freeing is set if its memory will be free within a bounded time.
	Freeing bool
}

// Snapshot is the input of Plan. Units and Endpoints are ordered by name.
type Snapshot struct {
	Units     []UnitSpec
	Endpoints []EndpointState
	// LoadBudget is the number of loads that the weight store's budget allows now.
	LoadBudget int
}

// Op is the operation of a move.
type Op string

// Operations of a move.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Reason is the reason for a move.
type Reason string

// Reasons for moves.
const (
	// ReasonUnreachable loads a unit that has no replica.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSpare loads a replica to reach the number in the settings.
	ReasonSpare Reason = "spare"
	// ReasonDemand loads a replica because of demand.
	ReasonDemand Reason = "demand"
	// ReasonMakeRoom unloads a replica that is not needed, or loads one elsewhere so
	// that this one can be unloaded, for a unit that fits nowhere.
	ReasonMakeRoom Reason = "make_room"
	// ReasonUnwanted unloads a unit that is no longer in the settings.
	ReasonUnwanted Reason = "unwanted"
)

// Move is one load or unload, with the numbers behind the decision.
type Move struct {
	Op       Op
	Endpoint string
	Unit     string
	Base     string
	MemoryMB int64
	Reason   Reason
	// For is the unit for which memory is freed.
	For string
	// Replicas is the number of replicas of the unit, Demand its demand, and FreeMB the
	// endpoint's free memory, all before the move.
	Replicas int
	Demand   float64
	FreeMB   int64
}
