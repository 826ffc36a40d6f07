package losses

import "strings"

// Cause is why a request was not answered, or answered late.
type Cause string

// Causes, named after the reasons in the logs.
const (
	// Late is a complete answer whose first byte arrived after the target time.
	Late Cause = "late"
	// NoReplica is a refusal because no endpoint held the unit.
	NoReplica Cause = "no-replica"
	// NoRoom is a refusal because the endpoints that held the unit were full.
	NoRoom Cause = "no-room"
	// NoneLeft is a request for which every endpoint that held the unit was tried.
	NoneLeft Cause = "none-left"
	// QueueFull is a refusal because too many requests were waiting.
	QueueFull Cause = "queue-full"
	// Stopping is a refusal by an instance that was shutting down.
	Stopping Cause = "stopping"
	// Rejected is a refusal by the endpoint itself, NotResident one because the endpoint does
	// not hold the unit.
	Rejected    Cause = "rejected"
	NotResident Cause = "not-resident"
	// Unreached is a failure to connect to the endpoint.
	Unreached Cause = "unreached"
	// CallerLeft is a caller that disconnected before the answer.
	CallerLeft Cause = "caller-left"
	// TimedOut is a request whose deadline expired.
	TimedOut Cause = "timed-out"
	// EndpointFailed is an answer that the endpoint aborted or lost.
	EndpointFailed Cause = "endpoint-broke"
	// Other is any other cause.
	Other Cause = "other"
)

// causePatterns maps substrings of an error's text to causes; the first match wins.
var causePatterns = []struct {
	substring string
	cause     Cause
}{
	{"not admitted: stopping", Stopping},
	{"queue_full", QueueFull},
	{"no endpoint holds the unit", NoReplica},
	{"no endpoint has room", NoRoom},
	{"turn_too_late", NoRoom},
	{"no endpoint is left", NoneLeft},
	{"status 421", NotResident},
	{"status 503", Rejected},
	{"status 429", Rejected},
	{"connection refused", Unreached},
	{"context canceled", CallerLeft},
	{"broken pipe", CallerLeft},
	{"deadline exceeded", TimedOut},
	{"unexpected EOF", EndpointFailed},
	{"connection reset", EndpointFailed},
	{"EOF", EndpointFailed},
}

func causeOf(text string) Cause {
	for _, p := range causePatterns {
		if strings.Contains(text, p.substring) {
			return p.cause
		}
	}
	return Other
}
