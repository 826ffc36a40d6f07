// Package handover defines how an instance that cannot reach endpoints hands callers' requests
// over to another instance, and chooses that instance.
//
// The receiver serves such a request as one of its own: it queues it, chooses the endpoints, obeys
// what they have said, and counts attempts and retries. What belongs to the caller stays with the
// sender: identification, allowance, idempotency key, and the final answer. The request is sent as
// the caller sent it, with an Envelope in its header that holds what the sender has done so far.
//
// A receiver that does not take a request refuses it before anything has run, and the sender tries
// another one. A request is handed over at most once: a receiver that cannot reach endpoints
// refuses, so that two instances without a path never send to each other. Every other answer is
// final. Answers of endpoints are passed on as they are; a failure of the receiver itself comes as
// a Failure in the header, so that the sender learns its outcome.
//
// Helpers is a state machine without goroutine, clock, random source or I/O.
package handover
