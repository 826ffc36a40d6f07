// Package admission decides whether a request proceeds at once, waits in a bounded queue,
// or is refused.
//
// Queue makes the decisions. It is a state machine without a clock, goroutines or I/O.
// Gate runs a queue for one pool and delivers the decisions to the waiting requests.
package admission
