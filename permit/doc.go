// Package permit keeps the rate of requests that an endpoint names, summed over all
// instances.
//
// An endpoint in need tells with its answers how many requests a second it takes from all
// instances together. Whoever hears that tells the others, and from then on a request goes
// there only with a permit. Permits are issued by one instance for each endpoint, the first
// of a rendezvous hash over the instances, from a token bucket at the named rate; those
// that are not used within permitTime are void. An instance asks for one when a request
// would take the endpoint and none is left; meanwhile the request goes to another replica
// or waits.
//
// An issuer that does not answer is passed over for a while, and the next one of the hash
// issues at a part of the rate: the first may be there for others. An instance that no
// issuer answers goes on with half of an even part of the rate. All of these together stay
// below one and a half times the limit. A rate of next to nothing is raised to leastRate, as
// only an answer tells that the limit has ended.
//
// What an endpoint takes while it is cold is kept in the same way, but ends by time, and grows
// in steps (Cold, Warm).
//
// Nothing is kept: an issuer begins with an empty bucket, and an endpoint that is started
// again is another endpoint. Local is a state machine without goroutine, clock, random
// source or I/O.
package permit
