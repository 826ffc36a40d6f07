// Package authority decides whether an instance may still accept the keys in its settings.
//
// An account whose key is revoked must be refused within a bound on every instance, also on one
// that is partitioned and receives no update. The authority to accept keys therefore has an
// age: the time since a moment at which the settings in force here were certainly the newest
// that the store had acknowledged. Beyond the bound, no request with a key runs.
//
// That moment is always a time of this instance's own clock, taken before it sent a request: to
// the store itself, in a call whose answer is not stale, or to another instance, which replies
// to a confirmation request after a call to the store that it started after receiving the
// request. Neither network delay nor a pause of either process at any point can make the
// recorded moment later than the actual one.
//
// Tracker and Responder are state machines without I/O; times are passed with each call.
package authority
