// Package evacuation tracks which failure domains are evacuated. The endpoints of an
// evacuated domain receive no requests until the evacuation is withdrawn.
//
// The store holds one object for each evacuated domain. An instance learns of them from its
// own watch of the store, or from an announcement of the lease holder, which follows the
// store closely on behalf of all instances. Either source delivers the whole set as of a
// version of the store, and the set with the newest version is in force: a delayed
// announcement or a stalled watch reverts nothing.
//
// Tracker is a state machine without goroutine, clock, random source or I/O.
package evacuation
