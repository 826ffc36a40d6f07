// Package allowance bounds what each account may ask of all instances together.
//
// Each instance counts what its callers ask for and what it has admitted (Local), and tells
// both. One instance, the holder of the lease, adds them up (Ledger): a token bucket for
// each account with the account's rate and burst, from which it works out which share of
// all that is asked can be admitted. It tells that share to all. Below the limit the share
// is 1, however unevenly the callers are spread over the instances. Beyond it each
// instance admits that share of its requests, drawn one by one, so that none is favoured
// for its size or its place.
//
// An instance that hears no share for a while goes by what it admitted when it last heard
// one, for a short time, and then by an even part of the rate. The ledger goes on counting
// an instance that falls silent for longer than that, so that the sum holds also with
// instances that are cut off.
//
// Both are state machines without goroutine, clock, random source or I/O.
package allowance
