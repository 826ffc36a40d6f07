package pipeline

import (
	"crypto/rand"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/quarantine"
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
	// Host is the host that was asked for; empty means that endpoints need not
	// know it.
	Host string
	// AttemptID is the id that endpoints know the request by; empty means that
	// each attempt gets an id of its own.
	AttemptID string
	// Regions are those in which the request may be served by what it asks for; empty means
	// all.
	Regions []string
	// SessionHash is the request's identity across its attempts, as SessionHash makes it; 0 if
	// the caller does not tell.
	SessionHash uint32
	// PromptTokens and OutputTokens are the length of the prompt and the most
	// that may be generated; 0 where the caller does not say.
	PromptTokens, OutputTokens int64
	// Timeout is how long the caller waits; 0 means that it did not say.
	Timeout time.Duration
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
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

	// Revision is that of the settings by which the request is served; 0 where
	// the dialect does not tell.
	Revision int64
	Call     Call
	Caller   settings.Identity
	Target   settings.Target
	Claim    *claim.Claim
	Attempts []Attempt
	// Fingerprint stands for the request across its attempts at any instance.
	Fingerprint quarantine.Fingerprint

	// Outcome and the fields below are what settle reports.
	Outcome    outcome.Outcome
	FirstToken time.Duration
	Bytes      int64
	Replayed   bool

	// charged is what the request counts against its caller's allowance.
	charged float64

	// flight is the request's entry among those in progress.
	flight quarantine.InFlight
	// overdue is set once its deadline has passed while its timer stood still.
	overdue atomic.Bool
	// reached is set once any byte of an answer may have reached the caller.
	reached bool
	// again is set if the caller was refused before and has come back.
	again bool
	// offset is that of the last event that was relayed; -1 for none.
	offset int64
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
	// NotStarted is set once it is certain that it has not run, Unsent if nothing of
	// it was even sent.
	NotStarted, Unsent bool

	response *http.Response
}

func (x *Exchange) attempt() *Attempt { return &x.Attempts[len(x.Attempts)-1] }

// tried returns the endpoints at which an attempt may have run. One that has not is
// asked again like any other, once it can be reached, has room and holds the unit.
func (x *Exchange) tried() []string {
	var names []string
	for i := range x.Attempts {
		if !x.Attempts[i].NotStarted {
			names = append(names, x.Attempts[i].Decision.Endpoint.Name)
		}
	}
	return names
}

// applyPriority puts the caller's priority before that of what is asked for.
func (x *Exchange) applyPriority(c *settings.Catalog) {
	x.Target.Policy.Priority = c.Priority(x.Caller.Priority, x.Target.Policy.Priority)
}

// SetCaller records whose request it is, once Target is known.
func (x *Exchange) SetCaller(who settings.Identity, c *settings.Catalog) {
	x.Caller = who
	x.applyPriority(c)
}

// regions are the sets of regions that bind the request.
func (x *Exchange) regions() [][]string {
	var sets [][]string
	for _, regions := range [][]string{x.Call.Regions, x.Caller.Regions} {
		if len(regions) > 0 {
			sets = append(sets, regions)
		}
	}
	return sets
}

// from is the address that the request came from, without its port. A caller may have
// several, so it identifies nobody.
func (x *Exchange) from() string {
	host, _, err := net.SplitHostPort(x.Request.RemoteAddr)
	if err != nil {
		return x.Request.RemoteAddr
	}
	return host
}

// timeout is how long the whole request may take.
func (x *Exchange) timeout() time.Duration {
	if x.Call.Timeout > 0 {
		return min(x.Call.Timeout, x.Target.Policy.Deadline)
	}
	return x.Target.Policy.Deadline
}

// deadline is when the request gets its final answer at the latest.
func (x *Exchange) deadline() time.Time { return x.Received.Add(x.timeout()) }

// firstBy is when the first token should be there, zero where there is no
// target that can still be met.
func (x *Exchange) firstBy() time.Time {
	if x.reached || x.Target.Unit == "" {
		return time.Time{}
	}
	return x.Received.Add(x.Target.Policy.FirstToken)
}

// gapAim is the longest pause between events, 0 where there is no target.
func (x *Exchange) gapAim() time.Duration {
	if !x.Call.Stream {
		return 0
	}
	return x.Target.Policy.BetweenTokens
}

// resumable tells whether a stream of which a part has reached the caller may
// be continued by another endpoint.
func (x *Exchange) resumable() bool { return x.Target.Policy.Resumable && x.offset >= 0 }

// attemptID returns the id of the next attempt.
func (x *Exchange) attemptID() string {
	if x.Call.AttemptID != "" {
		return x.Call.AttemptID
	}
	return rand.Text()
}

// triesLeft tells whether the request may go to one more endpoint. Attempts that have
// not run do not count, but they too are bounded.
func (x *Exchange) triesLeft() bool {
	ran := len(x.tried())
	most := maxAttempts
	if n := x.Target.Policy.MaxAttempts; n > 0 {
		most = min(n, most)
	}
	return ran < most && len(x.Attempts) < maxAttempts
}
