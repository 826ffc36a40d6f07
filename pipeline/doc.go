// Package pipeline serves a request at an instance through a chain of filters: decode,
// authenticate, resolve, claim, admit, route, dispatch, relay, settle.
//
// The first four run once. Admit to relay run for each attempt. Another attempt is made
// only if the previous one provably did not start, or for a repeatable request of which
// nothing has reached the caller. Settle always runs: it gives the caller a final answer,
// releases or finishes the claim, and writes the log line and the metrics.
package pipeline
