// Package membership tracks which instances and endpoints are live, leaving
// or gone, from the platform's lagging list and from own observations.
//
// List is a pure state machine: Step takes an event that carries its time and
// returns the changes. It has no clock, goroutine or I/O.
package membership
