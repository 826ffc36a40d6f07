// Package routing chooses the endpoint of an attempt.
//
// A Policy is a chain of filters, weighted scorers and a picker, each a small
// plugin in a file of its own. A Router applies a policy to the endpoints of
// an immutable View and reserves a place at the one chosen. Nothing here does
// I/O or reads a clock: time and randomness come in with the call.
package routing
