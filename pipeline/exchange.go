package pipeline

import (
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// Call is a decoded request.
type Call struct {
	// Name is the model, adapter, version or service that is asked for.
	Name   string
	Method string
	// Path is the path, with query, at the endpoint.
	Path   string
	Body   []byte
	Stream bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Plain is set for a call below /services/.
	Plain bool
	// fields locates what is rewritten in Body.
	fields bodyFields
}

// Exchange is a request on its way through the pipeline. One goroutine works
// on it at a time.
type Exchange struct {
	ID       string
	Received time.Time
	Writer   http.ResponseWriter
	Request  *http.Request

	Call     Call
	Caller   settings.Identity
	Target   settings.Target
	Claim    *claim.Claim
	Attempts []Attempt

	// Outcome and the fields below are what settle reports.
	Outcome    outcome.Outcome
	FirstToken time.Duration
	Bytes      int64
	Replayed   bool

	// reached is set once any byte of an answer may have reached the caller.
	reached bool
	// record keeps the answer of a claimed request, nil for others.
	record *recorder
	// dispatched is set once any attempt may have started.
	dispatched bool
}

// Attempt is one try of the exchange at one endpoint.
type Attempt struct {
	ID       string
	Decision routing.Decision
	Resumes  int

	response *http.Response
}

func (x *Exchange) attempt() *Attempt { return &x.Attempts[len(x.Attempts)-1] }

func (x *Exchange) tried() []string {
	names := make([]string, len(x.Attempts))
	for i, a := range x.Attempts {
		names[i] = a.Decision.Endpoint.Name
	}
	return names
}
