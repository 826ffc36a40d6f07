// Package routing chooses the endpoint of an attempt.
//
// A Policy is a chain of filters, weighted scorers and a picker, each a small plugin. A
// Router applies a policy to the endpoints of an immutable View and reserves capacity at
// the chosen one. The package does no I/O and reads no clock: the caller passes in the
// time and the source of randomness.
package routing
