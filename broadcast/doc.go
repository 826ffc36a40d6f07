// Package broadcast chooses what one instance tells all others with the bytes that its link
// has for that.
//
// In a large fleet the instance that places units tells all others what all have under way
// at each endpoint (Sums), and what each endpoint holds (Residency). Both grow with the
// endpoints, and each is sent once for every instance, so that together they may take more
// than any link carries. What does not fit is told later: changes before repeats, and of the
// sums those first by which the others would go wrong most.
//
// All are state machines without goroutine, clock, random source or I/O. One goroutine uses
// each at a time.
package broadcast
