package placement

// UnitSpec is a unit that should be reachable.
type UnitSpec struct {
	Name string
	// Base is the unit that must be resident with it, or empty.
	Base     string
	MemoryMB int64
	// Replicas is the least number of replicas that is wanted.
	Replicas int
	// LoadCost is the cost of one load, in requests that miss their target.
	LoadCost float64
	// Demand is the mean number of requests under way or waiting.
	Demand float64
	// Waiting is the number of requests that wait for the unit now.
	Waiting float64
}

// EndpointState is an endpoint as the planner sees it.
type EndpointState struct {
	Name          string
	FailureDomain string
	CapacityMB    int64
	FreeMB        int64
	// Concurrency is how many requests it runs at once.
	Concurrency int
	// AcceptsLoads tells whether it may be given loads: it is live, and what it
	// holds is known.
	AcceptsLoads bool
	// Live tells whether its replicas count: it is live.
	Live bool
	// Units is what is on record there, by unit.
	Units map[string]PlacedUnit
}

// PlacedUnit is a unit on record at an endpoint.
type PlacedUnit struct {
	State    UnitState
	MemoryMB int64
	Base     string
	// Stable tells that no order on its way can take the replica away.
	Stable bool
	// Blocked tells that the unit may not be loaded there.
	Blocked bool
	// Freeing tells that its memory will be free within a bounded time.
	Freeing bool
}

// Snapshot is all that Plan looks at. Units and Endpoints are ordered by name.
type Snapshot struct {
	Units     []UnitSpec
	Endpoints []EndpointState
	// LoadBudget is how many loads the weight store's budget allows now.
	LoadBudget int
}

// Op is what a move does.
type Op string

// Operations of a move.
const (
	OpLoad   Op = "load"
	OpUnload Op = "unload"
)

// Reason is why a move is worth making.
type Reason string

// Reasons for moves.
const (
	// ReasonUnreachable loads a unit that has no replica.
	ReasonUnreachable Reason = "unreachable"
	// ReasonSpare loads a replica that the settings want.
	ReasonSpare Reason = "spare"
	// ReasonDemand loads a replica because of demand.
	ReasonDemand Reason = "demand"
	// ReasonMakeRoom unloads a replica that can be spared, or loads one
	// elsewhere so that it can be, for a unit that has no place.
	ReasonMakeRoom Reason = "make_room"
	// ReasonUnwanted unloads a unit that is no longer in the settings.
	ReasonUnwanted Reason = "unwanted"
)

// Move is one load or unload, with the numbers that led to it.
type Move struct {
	Op       Op
	Endpoint string
	Unit     string
	Base     string
	MemoryMB int64
	Reason   Reason
	// For is the unit that room is made for.
	For string
	// Replicas is how many replicas the unit had, Demand its demand, and
	// FreeMB the endpoint's free memory before the move.
	Replicas int
	Demand   float64
	FreeMB   int64
}
