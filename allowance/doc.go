// Package allowance limits what each account may request from all instances together.
//
// Each instance counts what its callers request and what it has admitted (Limiter), and
// reports both. One instance, the lease holder, aggregates them (Aggregator): a token bucket
// for each account with the account's rate and burst, from which it derives which share of
// all requests can be admitted. It announces that share to all instances. Below the limit the
// share is 1, however unevenly the callers are spread over the instances. Above it each
// instance admits that share of its requests by a random choice for each request, so that no
// request is favoured for its size or its position.
//
// An instance that receives no share for a while continues at the rate that it admitted when
// it last received one, for a short time, and then at an even part of the rate. The
// aggregator keeps charging for an instance that falls silent for longer than that, so that
// the sum also holds with instances that are cut off.
//
// Limiter and Aggregator are state machines without goroutine, clock, random source or I/O.
package allowance
