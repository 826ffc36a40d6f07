// Package credit lends the places of contended endpoints, so that all instances together send
// an endpoint no more requests than it runs at once.
//
// Instances that each count the others' requests by messages some tenths of a second old send
// an endpoint with few places more than it takes: it rejects the excess, and whoever waits
// elsewhere is overtaken. While an endpoint is contended, one instance therefore lends its
// places: the first of a rendezvous hash over the instances (package issuing, shared with
// package permit). An instance that has requests for the endpoint sends an Ask, which states
// what it has running there and which requests wait; the issuer answers with a Grant, which
// states how many requests the instance may have running there, for how long the grant is
// valid, and which of the waiting requests cannot start in their time. Both messages carry
// state instead of changes, so that a lost, repeated or late one does no harm.
//
// The issuer serves waiting requests in one order for the whole fleet: by priority, as raised by
// age and lowered for a missed target, then the accounts that use the least of the endpoint for
// their weight, then by age. Places are never left unused while a request waits
// for them: an account alone may use all. Requests whose turn comes after their patience are
// refused at once, with the time of a place that is kept for their return; this goes by how fast
// places became free while all were lent, and nothing is refused before that was observed.
//
// An endpoint is contended from the moment at which two thirds of its places are known to be in
// use, or so many more than shortly before that all may be soon, or at which it rejects a request
// or one waits for it, until none of these has held for contendedTime. An endpoint that is not contended needs no credit. The issuer tells all other
// instances when an endpoint becomes contended, because each that doesn't know would send it as
// many requests as it has places.
//
// Places stay reserved for a borrower until its own ask shows that it has not, or no longer,
// received the credits, or until it has been silent for borrowerLifetime: credits in use and on
// their way never exceed the places of an issuer, but for what is in transit: where an endpoint keeps
// requests for a moment, some more are sent, so that its places are not idle while returns and credits
// are under way. One that rejects them gets none for a while. An answer to an ask states no more places than the
// borrower can use by that ask. What runs there besides is estimated from sums.
// An endpoint that rejects requests all the same gets fewer for a while.
//
// An issuer that does not reply is skipped for a while, and the next one of the hash lends a
// part of the places, as the first may still serve others. An instance that gets no reply from
// any goes by what it knows of the others' requests, as without this package. Credits expire:
// those of an instance that has ended, is cut off or is suspended return to the issuer after
// borrowerLifetime.
//
// Nothing is persisted. Lender is a state machine without goroutine, clock, random source or
// I/O; package daemon runs it.
package credit
