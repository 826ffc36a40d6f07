// Package counted places units on endpoints whose orders carry an expected order count.
//
// An endpoint counts the orders that it has accepted and refuses an order that expects
// another count, as in a compare-and-set, so at most one order takes effect for each
// count. The state at a count fully describes what an endpoint holds, and nothing needs
// to be recorded elsewhere. See docs/decisions/0007.
//
// Controller is a state machine without clock, goroutine or I/O: Step takes an event and
// its time and returns actions. Its plan method computes moves from the current state.
package counted
