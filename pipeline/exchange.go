package pipeline

import (
	"crypto/rand"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/handover"
	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// Call is a decoded request.
type Call struct {
	// Name is the requested model, adapter, version or service.
	Name   string
	Method string
	// Path is the path, with query, at the endpoint.
	Path   string
	Body   []byte
	Stream bool
	// Host is the requested host; empty means that endpoints do not need it.
	Host string
	// AttemptID is the ID by which endpoints know the request; empty means that each
	// attempt gets its own ID.
	AttemptID string
	// Continuation is set for a request for the rest of a stream.
	Continuation Continuation
	// Regions are the regions in which what is requested may be served; empty means all.
	Regions []string
	// RequestHash identifies the request across its attempts, as computed by the function
	// RequestHash; 0 if too little is known of it.
	RequestHash uint32
	// PromptParts identifies the parts of the prompt that other requests may share, in order; of a
	// long prompt only the first and the last ones (SelectPromptParts).
	PromptParts []quarantine.Fingerprint
	// PromptTokens is the length of the prompt and OutputTokens the largest number of
	// tokens to generate; 0 if the caller does not say.
	PromptTokens, OutputTokens int64
	// Timeout is how long the caller waits; 0 if the caller does not say.
	Timeout time.Duration
	// IdempotencyKey is sent by the caller, or empty.
	IdempotencyKey string
	// Plain is set for a call to a path below /services/.
	Plain bool
	// fields locates the parts of Body that are rewritten.
	fields bodyFields
}

// Exchange is a request while the pipeline serves it. One goroutine at a time uses it.
type Exchange struct {
	ID       string
	Received time.Time
	Writer   http.ResponseWriter
	Request  *http.Request

	// Revision is the revision of the settings that apply to the request; 0 if the dialect
	// does not set it.
	Revision int64
	Call     Call
	Caller   settings.Identity
	Target   settings.Target
	Claim    *claim.Claim
	Attempts []Attempt
	// Fingerprint identifies the request across its attempts at all instances.
	Fingerprint quarantine.Fingerprint

	// Outcome and the fields below are reported by settle.
	Outcome    outcome.Outcome
	FirstToken time.Duration
	Bytes      int64
	Replayed   bool

	// handedOver is set for a request that another instance has handed over to this one,
	// triedBefore holds the endpoints at which that instance's attempts may have run, continues is
	// set if the request's stream goes on here.
	handedOver  *handover.Envelope
	triedBefore []string
	continues   bool
	// handedTo is the instance that has taken the request from this one; stays is set if none
	// takes it.
	handedTo string
	stays    bool
	// counted is set once the request counts as demand.
	counted bool

	// queuedAt is when the request first asked for admission; later once a part of its answer has
	// reached the caller.
	queuedAt time.Time

	// charged is what the request cost of its caller's allowance.
	charged float64

	// flight is the request's entry among those in flight.
	flight quarantine.InFlight
	// overdue is set if the deadline passed while the timer was suspended.
	overdue atomic.Bool
	// stopped is set if the instance ends before the answer has come.
	stopped atomic.Bool
	// answerStarted is set once any byte of an answer may have reached the caller.
	answerStarted bool
	// askedForPlace is set if the request has asked for a place that is lent.
	askedForPlace bool
	// returned is what is known of the request's return after a refusal.
	returned Return
	// offset is the offset of the last relayed event; -1 for none.
	offset int64
	// bound is set once the request is for the rest of a stream, softwareVersion is the version of
	// the endpoints' software at which the stream began; empty if unknown.
	bound           bool
	softwareVersion string
	// unfinished is the number of bytes of an event that had been assembled when the body of the
	// stream ended.
	unfinished int
	// recorder records the answer of a claimed request; nil for others.
	recorder *recorder
	// dispatched is set once any attempt may have started.
	dispatched bool
}

// Attempt is one attempt of the exchange at one endpoint.
type Attempt struct {
	ID       string
	Decision routing.Decision
	Resumes  int
	// NotStarted is set if the attempt provably has not run; Unsent is set if no part of
	// it was sent.
	NotStarted, Unsent bool
	// Rejected is set if the endpoint, whose places are lent, had none for the attempt.
	Rejected bool

	// waiter is what the attempt was admitted as.
	waiter   *admission.Waiter
	response *http.Response
	// answerBegan is set by the first event of a stream.
	answerBegan bool
	// events counts the events of the answer, from firstEventAt to lastEventAt.
	events                    int
	firstEventAt, lastEventAt time.Time
}

// suspects returns what the request may be held for.
func (x *Exchange) suspects() quarantine.Request {
	return quarantine.Request{Fingerprint: x.Fingerprint, Parts: x.Call.PromptParts, Account: x.Caller.Name}
}

// slot says for the log whether the caller came back in the slot that it was promised.
func (x *Exchange) slot() string {
	switch {
	case x.returned.InTime:
		return "kept"
	case x.returned.Promised:
		return "missed"
	default:
		return "none"
	}
}

func (x *Exchange) attempt() *Attempt { return &x.Attempts[len(x.Attempts)-1] }

// triedEndpoints returns the endpoints at which an attempt may have run. An endpoint at
// which none has run stays a candidate, once it is reachable, has capacity and holds the
// unit.
func (x *Exchange) triedEndpoints() []string {
	names := slices.Clone(x.triedBefore)
	for i := range x.Attempts {
		if !x.Attempts[i].NotStarted {
			names = append(names, x.Attempts[i].Decision.Endpoint.Name)
		}
	}
	return names
}

// applyPriority gives the caller's priority precedence over that of what is requested.
func (x *Exchange) applyPriority(c *settings.Catalog) {
	x.Target.Policy.Priority = c.Priority(x.Caller.Priority, x.Target.Policy.Priority)
}

// SetCaller sets the caller, once Target is known.
func (x *Exchange) SetCaller(who settings.Identity, c *settings.Catalog) {
	x.Caller = who
	x.applyPriority(c)
}

// regions returns the sets of regions that restrict the request.
func (x *Exchange) regions() [][]string {
	var sets [][]string
	for _, regions := range [][]string{x.Call.Regions, x.Caller.Regions} {
		if len(regions) > 0 {
			sets = append(sets, regions)
		}
	}
	return sets
}

// remoteHost returns the address that the request came from, without its port. It does not
// identify the caller, which may have several addresses.
func (x *Exchange) remoteHost() string {
	host, _, err := net.SplitHostPort(x.Request.RemoteAddr)
	if err != nil {
		return x.Request.RemoteAddr
	}
	return host
}

// timeout returns the time limit of the whole request.
func (x *Exchange) timeout() time.Duration {
	if x.Call.Timeout > 0 {
		return min(x.Call.Timeout, x.Target.Policy.Deadline)
	}
	return x.Target.Policy.Deadline
}

// deadline returns the latest time for the final answer.
func (x *Exchange) deadline() time.Time { return x.Received.Add(x.timeout()) }

// firstTokenBy returns when the first token is due; zero if there is no target that can
// still be met.
func (x *Exchange) firstTokenBy() time.Time {
	if x.begun() || x.Target.Unit == "" {
		return time.Time{}
	}
	return x.Received.Add(x.Target.Policy.FirstToken)
}

// eventGapTarget returns the longest allowed gap between events; 0 if there is no target.
func (x *Exchange) eventGapTarget() time.Duration {
	if !x.Call.Stream {
		return 0
	}
	return x.Target.Policy.BetweenTokens
}

// begun reports whether the caller has received a part of the answer.
func (x *Exchange) begun() bool { return x.answerStarted || x.continues }

// resumable reports whether another endpoint may continue a stream of which a part has
// reached the caller.
func (x *Exchange) resumable() bool { return x.Target.Policy.Resumable && x.offset >= 0 }

// bind binds the rest of the request's stream to the software version at which the stream began.
func (x *Exchange) bind(softwareVersion string) { x.bound, x.softwareVersion = true, softwareVersion }

// attemptID returns the ID of the next attempt.
func (x *Exchange) attemptID() string {
	if x.Call.AttemptID != "" {
		return x.Call.AttemptID
	}
	return rand.Text()
}

// untouched reports whether no endpoint may have run any part of the request, and nothing of it was answered, here
// or elsewhere.
func (x *Exchange) untouched() bool {
	return !x.dispatched && !x.answerStarted && (x.handedOver == nil || !x.continues)
}

// sent reports whether any part of an attempt was sent.
func (x *Exchange) sent() bool {
	return slices.ContainsFunc(x.Attempts, func(a Attempt) bool { return !a.Unsent })
}

// rejections returns how many attempts were rejected by endpoints whose places are lent.
func (x *Exchange) rejections() int {
	n := 0
	for i := range x.Attempts {
		if x.Attempts[i].Rejected {
			n++
		}
	}
	return n
}

// attemptsLeft reports whether the request may go to one more endpoint. Attempts that have
// not run do not count against the policy's limit, but they too are bounded by
// maxAttempts. Where places are lent, a rejection means that another request has come first:
// the request waits on in its order, and its time and the retry budget are the bounds.
func (x *Exchange) attemptsLeft() bool {
	ran := len(x.triedEndpoints())
	limit := maxAttempts
	if n := x.Target.Policy.MaxAttempts; n > 0 {
		limit = min(n, limit)
	}
	return ran < limit && len(x.Attempts)-x.rejections() < maxAttempts
}
