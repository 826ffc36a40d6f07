// Package broadcast selects what one instance sends to all others within the bandwidth of its
// link.
//
// In a large fleet the coordinator sends to all instances the total load of each endpoint
// (Totals), and which units each endpoint holds (Residency). Both grow with the number of
// endpoints, and each is sent once to every instance, so that together they may exceed the
// capacity of any link. What does not fit is sent later: changes before repeats, and first the
// totals by which the receivers deviate most.
//
// All types are state machines without goroutine, clock, random source or I/O. Each is used by
// one goroutine at a time.
package broadcast
