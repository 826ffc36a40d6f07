// Package reach decides whether this instance has lost its path to all endpoints.
//
// One endpoint that cannot be reached says nothing about the instance, and one that is silent
// may only be busy. Both raise a suspicion, which probes settle: connections that are opened to
// other endpoints and closed at once. The endpoint that failed is not probed, as it may have
// terminated, and a cut shows only where two endpoints are known. If one endpoint accepts, the path
// is there. If neither the
// first nor any of the endpoints probed next does, the instance is cut off, until probes have
// succeeded for a while. Connections that are already open do not count: they may work on while
// new ones are refused, or be silent while new ones work.
//
// Whether the endpoints are down or the path to them is, cannot be told from one instance. Those
// who act on the state of a Tracker must bear both.
//
// Tracker is a state machine without goroutine, clock, random source or I/O.
package reach
