// Package permit enforces the request rate limit that an endpoint reports, summed over all
// instances.
//
// An overloaded endpoint reports with its answers how many requests a second it accepts from
// all instances together. The instance that receives such a limit reports it to the others,
// and from then on a request is sent to the endpoint only with a permit. For each endpoint
// one instance issues permits: the first of a rendezvous hash over the instances, from a
// token bucket with the reported rate. Permits that are not used within permitLifetime
// expire. An instance requests permits when a request would be sent to the endpoint and no
// permit is available; meanwhile the request goes to another replica or waits.
//
// An issuer that does not reply is skipped for a while, and the next one of the hash issues
// at a fraction of the rate, because the first may still serve others. An instance that gets
// no reply from any issuer continues with half of an even part of the rate. All of these
// together stay below one and a half times the limit. A rate close to zero is raised to
// minRate, because only an answer shows that the limit has ended.
//
// The rate that an endpoint accepts while it is cold is enforced in the same way, but ends by
// time, and grows in steps (RecordCold, AdvanceWarmUp).
//
// Nothing is persisted: an issuer starts with an empty bucket, and a restarted endpoint
// counts as another endpoint. Limiter is a state machine without goroutine, clock, random
// source or I/O.
package permit
