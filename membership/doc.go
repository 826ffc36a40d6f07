// Package membership tracks which instances and endpoints are live, leaving or gone, from the
// platform's list, which lags behind, and from this instance's own observations.
//
// List is a pure state machine: Step takes an event with its time and returns the changes. It
// has no clock, goroutine or I/O.
package membership
