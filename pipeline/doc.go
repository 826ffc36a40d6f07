// Package pipeline is the way of a request through an instance, as a chain of
// filters: decode, authenticate, resolve, claim, admit, route, dispatch,
// relay, settle.
//
// The first four run once. Admit to relay run for each attempt; another
// attempt is made only on proof that the last one did not start, or for a
// repeatable request of which nothing has reached the caller. Settle always
// runs: it gives the caller a final answer, frees or finishes the claim, and
// writes the log line and the metrics.
package pipeline
