// Package clock provides a time that advances while the machine is suspended.
//
// The runtime's monotonic clock stands still during suspension. A process that wakes up would
// treat its state as no older than before, and would consider a lease its own that another
// instance has acquired meanwhile. This package makes no decisions: state machines take the
// time as an argument and decide by it.
//
// The time does not help with timers of the runtime, which fire late by the length of the
// suspension. A right to act must therefore not depend on a timer: the time is read again right
// before the action. Other code that waits on a timer is notified by the onWake function of
// New.
package clock
