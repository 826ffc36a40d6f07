// Package admission decides when a request may go on: at once, after a wait
// in a bounded queue, or not at all.
//
// Queue is the deciding part, a state machine without clock, goroutine or
// I/O. Gate runs a queue for one pool and gives the waiting requests their
// answer.
package admission
