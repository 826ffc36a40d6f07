// Package condition judges the endpoints of a pool by what happens to requests there: how fast
// they are, and how many of their attempts fail.
//
// A Tracker belongs to one instance. It is fed with the results of the instance's own attempts
// (Observe, ObserveTime), with the slowdown that endpoints state themselves (ObserveHint), and
// with what other instances report (ReceiveReport, ReceiveTotal). All evidence decays. Decide
// turns it into the condition of each endpoint:
//
//   - Speed is relative to the middle endpoint of the pool, and exactly 1 unless it is clearly
//     another.
//   - LeftOut endpoints fail far more often than the rest of their pool. They get no requests
//     but trials: in each time slot a rendezvous hash names one instance that may try one. An
//     instance that dies is not named in the next slot. At most a third of a pool is left out,
//     and none where the rest of the pool fails as well.
//
// A Tracker is a state machine without goroutine, clock, random source or I/O, used by one
// goroutine at a time. Nothing of it is stored: another incarnation of an endpoint has a clean
// record.
package condition
