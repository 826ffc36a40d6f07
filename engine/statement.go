package engine

import (
	"errors"
	"time"
)

// Statement is what an endpoint says of itself with an answer, also with a refusal and with the
// answer to a call of the instance's own.
type Statement struct {
	// Leaving is set if the endpoint takes no new requests. It is final for the incarnation.
	Leaving bool
	// Rest is how long the endpoint wants nothing from this instance; 0 if it does not say.
	Rest time.Duration
	// Brittle is set if the endpoint terminates when it has to reject more than RejectionsPerSecond
	// requests a second for lack of capacity.
	Brittle             bool
	RejectionsPerSecond float64
}

// Errors of attempts that are not sent because of a Statement.
var (
	ErrLeaving = errors.New("the endpoint leaves")
	ErrResting = errors.New("the endpoint has asked for rest")
)

// Statements keeps what endpoints have said.
type Statements interface {
	// Record takes the statement of an endpoint in the answer to an attempt.
	Record(a Attempt, s Statement)
	// Check returns why an attempt must not be sent now; nil if it may.
	Check(a Attempt) error
}

// IsCall reports whether the attempt is a call of the instance's own, such as a request for a report,
// rather than a caller's request.
func (a Attempt) IsCall() bool { return a.ID == "" }

type noStatements struct{}

func (noStatements) Record(Attempt, Statement) {}
func (noStatements) Check(Attempt) error       { return nil }
