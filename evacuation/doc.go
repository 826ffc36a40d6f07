// Package evacuation keeps which failure domains are evacuated: their endpoints are to get
// nothing until the evacuation is taken back.
//
// The store holds one object for each such domain. An instance learns of them by its own
// watch, or by the word of the holder of the lease, which watches closely for all. Either
// brings the whole set as of a version of the store, and the set of the newest version is in
// force: a word that comes late, or a watch that has hung, takes nothing back.
//
// Keeper is a state machine without goroutine, clock, random source or I/O.
package evacuation
