// Package soak runs the real program as separate processes on one machine,
// injects faults from outside, and checks the guarantees of the system against what
// callers and endpoints observe.
//
// A run is derived from a seed: NewSchedule generates the schedule of faults, Testbed
// starts the processes, Run injects the faults, Callers send requests and record the
// results, and Check, which does no I/O, looks for violations in the records. The
// stand-ins for the store and the endpoints are those of platform/fake and run as
// processes too.
package soak
