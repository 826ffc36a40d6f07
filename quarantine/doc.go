// Package quarantine prevents requests that terminate the endpoints which run them from
// terminating more of them.
//
// A request is identified by its Fingerprint, whichever instance its attempts arrive at.
// Tracker is the core: it tracks which endpoints have terminated under which request, from
// what this instance has observed and from the reports of others, and so which requests are
// held back. It has no clock and no lock; Manager wraps it and also tracks the requests in
// flight.
//
// Messages between instances and log lines call the termination of an endpoint its ending, as
// in peer.Packet.Endings and the log key endings.
//
// An endpoint runs many requests at once and all of them fail with it, so that one termination
// proves nothing about a request. Three rules protect innocent requests: a request is held
// only once several different endpoints have terminated under it; any complete success clears
// it, at all instances; and a held request is retried after a time that differs between
// requests, so that one that was held together with another runs alone.
package quarantine
