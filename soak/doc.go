// Package soak runs the real program as separate processes on one machine,
// injects faults from outside them, and checks the product's promises from what
// callers and endpoints see.
//
// A run is drawn from a seed: Draw makes the schedule of faults, Site starts the
// processes and carries the schedule out, Callers ask and record, and Judge, which
// has no I/O, decides on the records. The stand-ins are those of platform/fake, as
// processes too.
package soak
