// Package outcome defines the outcomes of a request. The same values are used in every layer,
// in logs, in metrics and in responses to callers.
package outcome

// Outcome is the outcome of a request.
type Outcome string

const (
	// Complete means that the whole response reached the caller.
	Complete Outcome = "complete"
	// NotRun proves that no endpoint started the request and that none will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Rejected means that the request was invalid; nothing was dispatched.
	Rejected Outcome = "rejected"
	// Cancelled means that the caller disconnected first.
	Cancelled Outcome = "cancelled"
)
