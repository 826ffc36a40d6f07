// Package load generates open-loop load on a running system, as its callers do,
// and records the outcomes and latencies that they observe.
//
// Latency counts from when a request was due, not from when it was sent, so
// that a slow system that delays the sender does not lower the latency measured
// (coordinated omission).
package load
