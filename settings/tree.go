package settings

import "time"

// Kind is the protocol of a pool's endpoints.
type Kind string

// Kinds of pool.
const (
	// KindEngine is a pool of model engines with the OpenAI API.
	KindEngine Kind = "engine"
	// KindPlain is a pool of plain HTTP services.
	KindPlain Kind = "plain"
)

// Tree is the settings of a deployment.
type Tree struct {
	Deployment     string              `json:"deployment"`
	FailureDomains []string            `json:"failureDomains"`
	WeightStore    WeightStore         `json:"weightStore"`
	Policy         Policy              `json:"policy"`
	Pools          map[string]*Pool    `json:"pools"`
	Services       map[string]*Service `json:"services"`
	Callers        map[string]*Caller  `json:"callers"`
	// ClaimHorizonMS is how long an idempotency key is kept, in milliseconds; 0
	// means DefaultClaimHorizonMS.
	ClaimHorizonMS int64 `json:"claimHorizonMS,omitempty"`
	// PeerKeys are the keys for the communication between instances, in hex, the one to
	// encrypt with first. They precede the keys of an instance's own configuration.
	PeerKeys []string `json:"peerKeys,omitempty"`
	// Evacuated lists the failure domains whose endpoints must get no requests.
	Evacuated []string `json:"evacuated,omitempty"`
	// Regions maps failure domains to their regions; a domain that is missing has none.
	Regions map[string]string `json:"regions,omitempty"`
	// Edge is the caller-facing configuration from the deployment's operator, if requests
	// are routed by host and path. It is not part of the settings text.
	Edge *Edge `json:"-"`
}

// DefaultClaimHorizonMS is the default of Tree.ClaimHorizonMS.
const DefaultClaimHorizonMS = 15 * 60 * 1000

// ClaimHorizon returns how long an idempotency key is kept.
func (t *Tree) ClaimHorizon() time.Duration {
	if t.ClaimHorizonMS == 0 {
		return DefaultClaimHorizonMS * time.Millisecond
	}
	return milliseconds(t.ClaimHorizonMS)
}

// WeightStore describes the capacity of the platform's weight store.
type WeightStore struct {
	// LoadsPerSecond is the maximum rate at which loads may be started.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// Concurrent is the number of loads that run at full speed concurrently.
	Concurrent int `json:"concurrent"`
}

// Pool is a set of endpoints of one kind.
type Pool struct {
	Kind Kind `json:"kind"`
	// Endpoints is the intended number of endpoints.
	Endpoints int `json:"endpoints"`
	// MemoryMB is the accelerator memory of one endpoint, in MiB.
	MemoryMB int64 `json:"memoryMB,omitempty"`
	// ChecksFencing reports whether the endpoints refuse orders with an old epoch.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// MaxOrderDelayMS is the maximum time for which the network may delay an order to an
	// endpoint, in milliseconds; 0 means DefaultMaxOrderDelayMS.
	MaxOrderDelayMS int64 `json:"maxOrderDelayMS,omitempty"`
	// Concurrency is the number of requests that one endpoint runs concurrently.
	Concurrency int `json:"concurrency"`
	// AdapterSlots is the number of adapters that one endpoint holds; 0 means that only
	// memory limits it.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// KVTokens is the number of prompt and answer tokens that the KV cache of one endpoint
	// holds; 0 means unknown.
	KVTokens int `json:"kvTokens,omitempty"`
	// Connections is the number of connections that one endpoint accepts from all
	// instances together; 0 means unknown.
	Connections int `json:"connections,omitempty"`
	// ColdPerSecond is the number of requests per second that a cold endpoint accepts from
	// all instances together; 0 means that endpoints are never cold. ColdStartMS is how
	// long an endpoint is cold after its start, in milliseconds.
	ColdPerSecond float64           `json:"coldPerSecond,omitempty"`
	ColdStartMS   int64             `json:"coldStartMS,omitempty"`
	Policy        Policy            `json:"policy"`
	Models        map[string]*Model `json:"models,omitempty"`
}

// DefaultMaxOrderDelayMS is the default of Pool.MaxOrderDelayMS.
const DefaultMaxOrderDelayMS = 5000

// ColdStart returns how long an endpoint is cold after its start.
func (p *Pool) ColdStart() time.Duration { return milliseconds(p.ColdStartMS) }

// MaxOrderDelay returns the maximum time for which an order may be in flight.
func (p *Pool) MaxOrderDelay() time.Duration {
	if p.MaxOrderDelayMS == 0 {
		return DefaultMaxOrderDelayMS * time.Millisecond
	}
	return milliseconds(p.MaxOrderDelayMS)
}

// Model is a base model with its adapters and versions.
type Model struct {
	// WeightsMB is the size of the weights in MiB.
	WeightsMB int64 `json:"weightsMB"`
	// KVMB is the size of the KV cache reserved for each replica in MiB.
	KVMB int64 `json:"kvMB"`
	// LoadMS, DiskMS and WarmMS are the durations of a load from the weight store, from
	// the endpoint's disk and from its host memory, in milliseconds; 0 means unknown.
	LoadMS int64 `json:"loadMS,omitempty"`
	DiskMS int64 `json:"diskMS,omitempty"`
	WarmMS int64 `json:"warmMS,omitempty"`

	Policy   Policy              `json:"policy"`
	Adapters map[string]*Adapter `json:"adapters,omitempty"`
	Versions map[string]*Version `json:"versions,omitempty"`
	// Current is the version that the bare model name refers to; empty means the model's
	// own weights.
	Current string `json:"current,omitempty"`
}

// Adapter is a small set of weights on top of a base model.
type Adapter struct {
	SizeMB int64  `json:"sizeMB"`
	Policy Policy `json:"policy"`
}

// Version is another set of weights of the same model.
type Version struct {
	WeightsMB int64  `json:"weightsMB"`
	Policy    Policy `json:"policy"`
}

// Service is a name that callers request, with a policy of its own.
type Service struct {
	// Model is the model, adapter or version behind the service, or empty.
	Model string `json:"model,omitempty"`
	// Pool is the pool of plain endpoints behind the service, or empty.
	Pool   string `json:"pool,omitempty"`
	Policy Policy `json:"policy"`
}

// AllServices in Caller.Services permits all services and models.
const AllServices = "*"

// Caller is a client account that may send requests.
type Caller struct {
	// TokenSHA256 holds the hex SHA-256 of each valid bearer token.
	TokenSHA256 []string `json:"tokenSHA256"`
	// Services lists the services and models that the caller may use.
	Services []string `json:"services"`
	// Priority takes precedence over the priority of the requested service; nil leaves
	// that one in effect.
	Priority *int `json:"priority,omitempty"`
	// Allowance limits the caller's usage of all instances together; nil means no limit.
	Allowance *Allowance `json:"allowance,omitempty"`
	// Regions lists the regions in which the caller's requests may be served; empty means
	// all.
	Regions []string `json:"regions,omitempty"`
	// Weight is the caller's part of places that are short, relative to other callers'; nil
	// means 1.
	Weight *float64 `json:"weight,omitempty"`
}

// AllowanceUnit is the quantity that an allowance counts.
type AllowanceUnit string

// Units of an allowance.
const (
	// CountRequests counts each request as one.
	CountRequests AllowanceUnit = "requests"
	// CountTokens counts the tokens of the prompt and the maximum number of generated tokens.
	CountTokens AllowanceUnit = "tokens"
)

// Allowance is a token bucket that limits a caller's usage of all instances together.
type Allowance struct {
	Unit AllowanceUnit `json:"unit"`
	// PerSecond is the sustained rate, Burst the additional amount that may be used at once.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// DefaultTokens is the number of tokens counted for a request that does not state it.
	DefaultTokens int64 `json:"plainTokens,omitempty"`
}

// Cost returns the amount that a request counts against the allowance. tokens is the number
// that the request states, 0 if it states none.
func (a Allowance) Cost(tokens int64) float64 {
	switch {
	case a.Unit != CountTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(a.DefaultTokens)
	}
}
