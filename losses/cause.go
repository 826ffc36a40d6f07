package losses

import "strings"

// Cause is why a request was not answered, or late.
type Cause string

// Causes, in the words of the log's reasons.
const (
	// Late is a whole answer whose first byte came behind the target.
	Late Cause = "late"
	// NoReplica is a refusal as no endpoint held the unit.
	NoReplica Cause = "no-replica"
	// NoRoom is a refusal as those that held it were full.
	NoRoom Cause = "no-room"
	// NoneLeft is a request of which every endpoint that held the unit was tried.
	NoneLeft Cause = "none-left"
	// QueueFull is a refusal as too many waited.
	QueueFull Cause = "queue-full"
	// Stopping is a refusal by an instance that stopped.
	Stopping Cause = "stopping"
	// Rejected is an endpoint's own refusal, NotResident one for what it lacks.
	Rejected    Cause = "rejected"
	NotResident Cause = "not-resident"
	// Unreached is an endpoint to which no connection came about.
	Unreached Cause = "unreached"
	// CallerLeft is a caller who did not wait.
	CallerLeft Cause = "caller-left"
	// TimedOut is a request whose time was over.
	TimedOut Cause = "timed-out"
	// EndpointFailed is an answer that an endpoint broke off or lost.
	EndpointFailed Cause = "endpoint-broke"
	// Other is anything else.
	Other Cause = "other"
)

// causes maps parts of an error's text to causes; the first that fits counts.
var causes = []struct {
	text  string
	cause Cause
}{
	{"not admitted: stopping", Stopping},
	{"queue_full", QueueFull},
	{"no endpoint holds the unit", NoReplica},
	{"no endpoint has room", NoRoom},
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
	for _, c := range causes {
		if strings.Contains(text, c.text) {
			return c.cause
		}
	}
	return Other
}
