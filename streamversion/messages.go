package streamversion

import (
	"crypto/sha256"
	"time"
)

// Key identifies a stream by the caller's attempt that brought its first event, and its account.
type Key [16]byte

// KeyOf returns the key of the stream that an attempt of a client account began; account is empty
// for none.
func KeyOf(account, attempt string) Key {
	// Attempt IDs come in a header, which holds no zero byte.
	sum := sha256.Sum256([]byte(account + "\x00" + attempt))
	var k Key
	copy(k[:], sum[:])
	return k
}

// Beginning is where a stream began.
type Beginning struct {
	_   struct{} `cbor:",toarray"`
	Key Key
	// Pool is the pool of the endpoint that began the stream, Version the version of its software.
	Pool, Version string
	// KeepMS is for how long the caller may ask for the rest, in milliseconds.
	KeepMS int64
}

// keep returns for how long the beginning is kept.
func (b Beginning) keep() time.Duration {
	return min(time.Duration(b.KeepMS)*time.Millisecond, MaxKeep)
}

// State is what an instance knows of a stream.
type State int64

// States of a stream at an instance.
const (
	Unknown State = iota
	Known
	// Conflicting means that two beginnings differ, as of an attempt ID that was used twice.
	Conflicting
	// Unread means that the store could not be read, which may know the stream. No instance answers so.
	Unread
)

// String returns the state in words.
func (s State) String() string {
	switch s {
	case Known:
		return "known"
	case Conflicting:
		return "conflicting"
	case Unread:
		return "not known yet"
	default:
		return "unknown"
	}
}

// Question asks another instance for a beginning.
type Question struct {
	_ struct{} `cbor:",toarray"`
	// Search identifies the search among those of the asking process, Round the round of it.
	Search, Round int64
	Key           Key
}

// Answer answers a Question. Beginning is set if State is Known.
type Answer struct {
	_             struct{} `cbor:",toarray"`
	Search, Round int64
	State         State
	Beginning     Beginning
}

// RecordRequest asks an instance to write beginnings of a part to the store. A beginning that goes from
// one instance to another keeps the time that is left.
type RecordRequest struct {
	_    struct{} `cbor:",toarray"`
	Part Part
	// Choice is the receiver's place among the instances that may write the part.
	Choice     int64
	Beginnings []Beginning
}
