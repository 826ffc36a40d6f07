// Package peer is the link between instances.
//
// Small datagrams over gnet carry hints: which revision of the settings the
// sender has in force, how new its platform's list is, and how long ago anyone
// it knows of heard the object API. They are sealed with a key and protected from
// replay; a lost one costs only time. Streams over quic-go with mutual TLS carry what must arrive: the
// root and the chunks of the settings.
//
// An instance talks to a bounded number of others, whatever the size of the
// fleet. Gossip is the deciding part, a state machine without clock, goroutine
// or I/O.
package peer
