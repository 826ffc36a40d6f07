// Package outcome defines what became of a request. The same three outcomes
// are used in every layer, in logs, in metrics and towards callers.
package outcome

// Outcome is what became of a request.
type Outcome string

const (
	// Complete means that the whole answer reached the caller.
	Complete Outcome = "complete"
	// NotRun is proof that no endpoint started the request and that none will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Rejected means that the request was at fault; nothing was dispatched.
	Rejected Outcome = "rejected"
	// Cancelled means that the caller went away first.
	Cancelled Outcome = "cancelled"
)
