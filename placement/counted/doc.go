// Package counted places units on endpoints whose orders carry a count.
//
// An endpoint counts the orders that it has taken and refuses an order that
// expects another count, so for each count at most one order ever takes effect.
// The state at a count is the whole truth about what an endpoint holds, and
// nothing need be recorded elsewhere. See docs/decisions/0007.
//
// Controller is a state machine without clock, goroutine or I/O: Step takes an
// event that carries its time and returns actions. Plan, its deciding part, is
// a function from a snapshot to moves.
package counted
