// Package authority tells whether an instance may still go by the keys in its settings.
//
// An account whose key is taken away must be refused within a bound everywhere, also by an
// instance that is cut off and hears nothing of it. So the right to go by the keys has an
// age: the time since a moment at which the settings in force here were certainly the
// newest that the store had acknowledged. Past the bound no request with a key runs.
//
// That moment is always one of this instance's own clock, taken before it asked: the store
// itself, by a call whose answer is not behind, or another instance, which answers an Ask
// by a call to the store that it began after it had heard the Ask. Neither the time that a
// datagram or an answer takes, nor a pause of either process at any point, can make the
// moment later than it was.
//
// Keeper and Echoes are state machines without I/O; times come in with each call.
package authority
