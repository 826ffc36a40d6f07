// Package peer implements the communication between instances.
//
// Small UDP datagrams over gnet carry hints: the settings revision in force at
// the sender, the version of the platform's list that it has, and the time
// since the object API last answered any instance that it knows of. Datagrams
// are encrypted and authenticated with a shared key and protected from replay;
// a lost one only delays the information. QUIC streams over quic-go with mutual
// TLS carry what must arrive: the root and the chunks of the settings.
//
// Each instance sends hints to a bounded number of neighbours, whatever the
// size of the fleet. Gossip decides what is sent and fetched; it is a state
// machine without clock, goroutine or I/O.
package peer
