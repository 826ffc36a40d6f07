// Package permit keeps the rate of requests that an endpoint names for all instances
// together.
//
// An endpoint in need tells with its answers how many requests a second it takes. Local
// records what each endpoint has said last, by answers that came here and by the words of
// other instances. It is a state machine without goroutine, clock, random source or I/O.
package permit
