package settings

import "time"

// Kind says how the endpoints of a pool are spoken to.
type Kind string

// Kinds of pool.
const (
	// KindEngine is a pool of model engines with the OpenAI API.
	KindEngine Kind = "engine"
	// KindPlain is a pool of plain HTTP services.
	KindPlain Kind = "plain"
)

// Tree is a whole deployment's settings.
type Tree struct {
	Deployment     string              `json:"deployment"`
	FailureDomains []string            `json:"failureDomains"`
	WeightStore    WeightStore         `json:"weightStore"`
	Policy         Policy              `json:"policy"`
	Pools          map[string]*Pool    `json:"pools"`
	Services       map[string]*Service `json:"services"`
	Callers        map[string]*Caller  `json:"callers"`
	// ClaimHorizonMS is for how long an idempotency key is remembered, in
	// milliseconds; 0 means DefaultClaimHorizonMS.
	ClaimHorizonMS int64 `json:"claimHorizonMS,omitempty"`
	// PeerKeys are the keys of the link between instances, in hex, the one to
	// use first. They come before the keys of an instance's own configuration.
	PeerKeys []string `json:"peerKeys,omitempty"`
	// Evacuated are failure domains whose endpoints are to get nothing.
	Evacuated []string `json:"evacuated,omitempty"`
	// Regions maps each failure domain to its region; those that it lacks have none.
	Regions map[string]string `json:"regions,omitempty"`
	// Edge is what the deployment's operator says of the callers' side, where
	// callers are told apart by host and path; the settings' own text has none.
	Edge *Edge `json:"-"`
}

// DefaultClaimHorizonMS is for how long keys are remembered unless set.
const DefaultClaimHorizonMS = 15 * 60 * 1000

// ClaimHorizon is for how long an idempotency key is remembered.
func (t *Tree) ClaimHorizon() time.Duration {
	if t.ClaimHorizonMS == 0 {
		return DefaultClaimHorizonMS * time.Millisecond
	}
	return milliseconds(t.ClaimHorizonMS)
}

// WeightStore is what the platform's weight store allows.
type WeightStore struct {
	// LoadsPerSecond is the rate at which loads may be started.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	// Concurrent is the number of loads that run at full speed together.
	Concurrent int `json:"concurrent"`
}

// Pool is a set of endpoints of one kind.
type Pool struct {
	Kind Kind `json:"kind"`
	// Endpoints is the number of endpoints that the pool should have.
	Endpoints int `json:"endpoints"`
	// MemoryMB is the accelerator memory of one endpoint, in MiB.
	MemoryMB int64 `json:"memoryMB,omitempty"`
	// ChecksFencing tells whether the endpoints refuse orders with an old epoch.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// MaxOrderDelayMS is the longest time, in milliseconds, for which the
	// network may hold an order to an endpoint; 0 means DefaultMaxOrderDelayMS.
	MaxOrderDelayMS int64 `json:"maxOrderDelayMS,omitempty"`
	// Concurrency is how many requests one endpoint runs at once.
	Concurrency int `json:"concurrency"`
	// AdapterSlots is how many adapters one endpoint holds; 0 means that only
	// their memory bounds them.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// KVTokens is how many tokens of prompts and answers one endpoint has
	// memory for; 0 means that it is not known.
	KVTokens int `json:"kvTokens,omitempty"`
	// Connections is how many connections one endpoint takes from all
	// instances together; 0 means that it is not known.
	Connections int `json:"connections,omitempty"`
	// ColdPerSecond is how many requests a second a cold endpoint takes from all instances
	// together; 0 means that endpoints are never cold. ColdStartMS is how long one stays
	// cold behind its start, in milliseconds.
	ColdPerSecond float64           `json:"coldPerSecond,omitempty"`
	ColdStartMS   int64             `json:"coldStartMS,omitempty"`
	Policy        Policy            `json:"policy"`
	Models        map[string]*Model `json:"models,omitempty"`
}

// DefaultMaxOrderDelayMS is the order delay of pools that do not set it.
const DefaultMaxOrderDelayMS = 5000

// ColdStart is how long an endpoint stays cold behind its start.
func (p *Pool) ColdStart() time.Duration { return milliseconds(p.ColdStartMS) }

// MaxOrderDelay is the longest time for which an order may be on its way.
func (p *Pool) MaxOrderDelay() time.Duration {
	if p.MaxOrderDelayMS == 0 {
		return DefaultMaxOrderDelayMS * time.Millisecond
	}
	return milliseconds(p.MaxOrderDelayMS)
}

// Model is a base model and what derives from it.
type Model struct {
	// WeightsMB is the size of the weights in MiB.
	WeightsMB int64 `json:"weightsMB"`
	// KVMB is the KV cache reserved for each replica in MiB.
	KVMB int64 `json:"kvMB"`
	// Rank is the model's place in the operator's list.
	Rank int `json:"rank,omitempty"`
	// LoadMS, DiskMS and WarmMS are how long a load takes from the weight store,
	// from the endpoint's disk and from its host memory, in milliseconds; 0
	// means that it is not known.
	LoadMS int64 `json:"loadMS,omitempty"`
	DiskMS int64 `json:"diskMS,omitempty"`
	WarmMS int64 `json:"warmMS,omitempty"`

	Policy   Policy              `json:"policy"`
	Adapters map[string]*Adapter `json:"adapters,omitempty"`
	Versions map[string]*Version `json:"versions,omitempty"`
	// Current names the version that the bare model name stands for; empty
	// means the model's own weights.
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

// Service is a name that callers use, with a treatment of its own.
type Service struct {
	// Model is the model, adapter or version behind the service, or empty.
	Model string `json:"model,omitempty"`
	// Pool is the pool of plain endpoints behind the service, or empty.
	Pool   string `json:"pool,omitempty"`
	Policy Policy `json:"policy"`
}

// AllServices in Caller.Services permits every service and model.
const AllServices = "*"

// Caller is one who may send requests.
type Caller struct {
	// TokenSHA256 holds the hex SHA-256 of each valid bearer token.
	TokenSHA256 []string `json:"tokenSHA256"`
	// Services lists the services and models that the caller may use.
	Services []string `json:"services"`
	// Priority goes before that of what is asked for; nil leaves it as it is.
	Priority *int `json:"priority,omitempty"`
	// Allowance bounds what the caller may ask of all instances together; nil sets no
	// bound.
	Allowance *Allowance `json:"allowance,omitempty"`
	// Regions are those in which the caller's requests may be served; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// AllowanceUnit is what an allowance counts.
type AllowanceUnit string

// Units of an allowance.
const (
	// CountRequests counts each request as one.
	CountRequests AllowanceUnit = "requests"
	// CountTokens counts the tokens of the prompt and the most that may be generated.
	CountTokens AllowanceUnit = "tokens"
)

// Allowance is what a caller may ask of all instances together.
type Allowance struct {
	Unit AllowanceUnit `json:"unit"`
	// PerSecond is the rate that may be kept up, Burst what may come at once besides.
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// DefaultTokens is what a request counts in tokens that does not tell its own.
	DefaultTokens int64 `json:"plainTokens,omitempty"`
}

// Cost is what a request counts that tells so many tokens, 0 for none.
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
