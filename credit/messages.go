package credit

import "github.com/eiderspring/eiderspring/issuing"

// Key identifies one incarnation of an endpoint whose places are lent.
type Key struct {
	Name string
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds of the endpoint's
	// clock; 0 if the endpoint does not report it.
	StartedAtMS int64
}

// Want is a request that waits for a place.
type Want struct {
	_ struct{} `cbor:",toarray"`
	// ID identifies the request among those of its instance's process.
	ID uint64
	// Account is the hash of the client account; 0 for none. Weight is the account's weight
	// in hundredths.
	Account uint32
	Weight  int64
	// Priority is higher for more urgent requests.
	Priority int64
	// Late is set for a request that can no longer meet its target.
	Late bool
	// AgeMS is how long the request has waited, PatienceMS for how much longer starting it
	// makes sense, in milliseconds.
	AgeMS, PatienceMS int64
	// ReturnMS is for how long from now a return of the caller would be of use to it, in
	// milliseconds.
	ReturnMS int64
	// Endpoints is the number of endpoints that the request is wanted at. The Lender sets it.
	Endpoints int64
}

// Use is the number of an account's requests that an instance has running at an endpoint.
type Use struct {
	_       struct{} `cbor:",toarray"`
	Account uint32
	Running int64
}

// Ask states to the issuer of an endpoint's places what one instance has there, and what it
// would start there. It replaces the instance's earlier asks.
type Ask struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	// Seq increases with each ask of the process.
	Seq uint64
	// Rank is the number of issuers that precede this one.
	Rank int
	// Places is the number of requests that the endpoint runs at once.
	Places int64
	// Ack is the Number of the last grant that was received.
	Ack uint64
	// Running is the number of requests running at the endpoint, Unused the number of credits
	// that are held for requests not sent yet.
	Running, Unused int64
	// Uses are the accounts of the running requests, those with the most first.
	Uses []Use
	// Rejected is the number of requests that the endpoint has rejected for lack of places
	// since the process started.
	Rejected int64
	// Wants are the waiting requests, the first in order first.
	Wants []Want
	// Waiting is the number of all waiting requests, also of those that Wants has no room for.
	Waiting int64
	// RoundTripMS is the smoothed time from an ask to the grant that answers it, in milliseconds.
	RoundTripMS int64
}

// Refusal says that a waiting request cannot start at the endpoint in its time.
type Refusal struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// RetryAfterMS is after how long a place is reserved for the request, in milliseconds; 0 if
	// none could be reserved soon enough.
	RetryAfterMS int64
}

// Grant answers an Ask, and replaces earlier grants for the endpoint to the same process. The
// issuer sends further ones when places become free. A grant without a process and a number only
// tells that the endpoint is contended.
type Grant struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	// Process is the process that the grant is for.
	Process string
	// Seq is that of the last ask that the issuer has received.
	Seq uint64
	// Number increases with each grant of the issuer, also over its processes.
	Number uint64
	// Limit is the number of requests that the instance may have running at the endpoint.
	Limit int64
	// LifetimeMS is for how long unused credits of the grant are valid, in milliseconds from
	// the time at which the ask was sent.
	LifetimeMS int64
	Refusals   []Refusal
}

const (
	// MaxMessageBytes bounds the encoding of an ask or a grant, in bytes: one fits a datagram.
	MaxMessageBytes = 1200
	// maxNameBytes bounds the names of endpoints and processes, in bytes.
	maxNameBytes = 128
	// askHeadBytes and grantHeadBytes bound the encodings without names and lists, in bytes; the
	// others those of the entries of the lists.
	askHeadBytes   = 4 + 12*9
	grantHeadBytes = 4 + 7*9
	useBytes       = 1 + 5 + 9
	wantBytes      = 1 + 9 + 5 + 5 + 5 + 1 + 5 + 5 + 5 + 2
	refusalBytes   = 1 + 9 + 5
	// maxUses, maxWants and maxRefusals bound the lists in a message.
	maxUses     = 12
	maxWants    = 16
	maxRefusals = 40
	// maxCount bounds the numbers of requests and milliseconds in a message.
	maxCount = 1 << 31
)

// EncodedSize returns an upper bound of the encoded size of the ask, in bytes.
func (a Ask) EncodedSize() int {
	return askHeadBytes + len(a.Endpoint) + useBytes*len(a.Uses) + wantBytes*len(a.Wants)
}

// EncodedSize returns an upper bound of the encoded size of the grant, in bytes.
func (g Grant) EncodedSize() int {
	return grantHeadBytes + len(g.Endpoint) + len(g.Process) + refusalBytes*len(g.Refusals)
}

func (a Ask) key() Key { return Key{Name: a.Endpoint, StartedAtMS: a.StartedAtMS} }

func (g Grant) key() Key { return Key{Name: g.Endpoint, StartedAtMS: g.StartedAtMS} }

// valid reports whether all values are within their ranges.
func (a Ask) valid() bool {
	if a.Endpoint == "" || len(a.Endpoint) > maxNameBytes || len(a.Uses) > maxUses || len(a.Wants) > maxWants {
		return false
	}
	for _, u := range a.Uses {
		if !inRange(u.Running) {
			return false
		}
	}
	for _, w := range a.Wants {
		if !w.valid() {
			return false
		}
	}
	return a.Rank >= 0 && a.Rank < issuing.MaxIssuers && a.Places > 0 &&
		inRange(a.Places, a.Running, a.Unused, a.Rejected, a.Waiting, a.RoundTripMS)
}

func (w Want) valid() bool {
	return w.Weight > 0 && w.Endpoints > 0 && w.Priority > -maxCount && w.Priority < maxCount &&
		inRange(w.Weight, w.AgeMS, w.PatienceMS, w.ReturnMS, w.Endpoints)
}

// isNotice reports whether the grant only tells that the endpoint is contended.
func (g Grant) isNotice() bool { return g.Process == "" && g.Number == 0 }

// valid reports whether all values are within their ranges.
func (g Grant) valid() bool {
	if g.Endpoint == "" || len(g.Endpoint) > maxNameBytes || len(g.Refusals) > maxRefusals {
		return false
	}
	for _, r := range g.Refusals {
		if !inRange(r.RetryAfterMS) {
			return false
		}
	}
	return inRange(g.Limit, g.LifetimeMS)
}

func inRange(values ...int64) bool {
	for _, v := range values {
		if v < 0 || v > maxCount {
			return false
		}
	}
	return true
}
