// Package lease grants one holder at a time the right to act, with a fencing token (epoch) that
// grows with every change of holder.
//
// Machine implements the protocol as a pure state machine. Its contract:
//
//   - Step takes an event and the time at which it happened, on the caller's monotonic clock,
//     and returns the actions to execute in order.
//   - At most one Write is in flight; its outcome is returned as Wrote.
//   - Read requests the record; the result is returned as Seen or Missing.
//
// The clocks of holder and challengers are never compared. A challenger waits for the whole
// duration since it last saw the record change; the holder counts from before it sent its
// renewal, so its own lease ends first as long as clocks run at about the same rate. A paused
// holder may still act after its lease has ended: its actions must be fenced by the epoch,
// never by the lease.
package lease
