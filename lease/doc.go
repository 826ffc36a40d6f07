// Package lease gives one holder at a time the right to act, with a fencing
// number (epoch) that grows with every change of holder.
//
// Machine is the protocol as a pure state machine. Its contract:
//
//   - Step takes an event with the time at which it happened, on the caller's
//     monotonic clock, and returns the actions to carry out in order.
//   - At most one Write is under way; its end comes back as Wrote.
//   - Read asks for the record; what it finds comes back as Seen or Missing.
//
// The clocks of holder and challengers are never compared. A challenger waits
// for the whole duration since it last saw the record change; the holder
// counts from before it sent its renewal, so its own lease ends first as long
// as clocks run at about the same rate. A paused holder may still act after
// its lease: what it does must be fenced by the epoch, never by the lease.
package lease
