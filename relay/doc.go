// Package relay selects the instances of a large fleet that read the list of endpoints from the
// platform's store, assigns the other instances to them, and encodes what these relays send.
//
// The list grows with the endpoints, and each instance needs all of it: if every instance read
// it from the store, the store's traffic would grow with the number of instances times the
// number of endpoints. So a few instances of each failure domain, those with the most processor
// time, read it from the store as relays, and the others follow one of them. A follower
// continues with its own watch from the version of the store that it was sent, so that the
// store's state takes precedence.
//
// Nothing here has a goroutine, clock, random source or I/O.
package relay
