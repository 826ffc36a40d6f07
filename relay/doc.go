// Package relay decides which instances of a large fleet read the list of endpoints from the
// platform's store, and which ask those, and encodes what they are told.
//
// The list grows with the endpoints, and each instance needs all of it: read from the store
// by each, what the store sends grows with instances times endpoints. So a few instances of
// each failure domain, the strongest, read it there, and the others ask one of them. Whoever
// was told goes on with a watch of its own from the version of the store that it was told,
// so that what the store says still wins.
//
// Nothing here has a goroutine, clock, random source or I/O.
package relay
