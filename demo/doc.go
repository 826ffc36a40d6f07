// Package demo runs a whole deployment in one process on loopback: the
// platform and the endpoints as stand-ins, several instances of the system,
// and callers that send the deployment's mix of requests. The stand-ins and
// the callers count the results by which the run is checked.
package demo
