// Package returnslot promises refused callers a time at which there is room for them.
//
// Callers that are refused together and told the same time come back together and are refused
// again. A Book therefore gives each of them a time of its own. Of the places that become free every
// other one may be promised, and goes to the caller that it was promised to if that comes in time.
// The rest is for those who wait in line, who gave no cause to wait longer.
//
// A promise holds its place until shortly after its time, whether or not its caller comes back.
// A Book makes no promise outside of the span that its caller asks for:
// who has no room in that span is told so.
//
// Book is a state machine without goroutine, clock, random source or I/O.
package returnslot
