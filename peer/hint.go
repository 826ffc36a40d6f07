package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/quarantine"
)

// HintVersion is the version of the hint's encoding. A neighbouring release may add
// fields, which are ignored; a hint of another version is rejected.
const HintVersion = 1

// MaxHintBytes is the maximum size of an encoded hint.
const MaxHintBytes = 1200

// Hint is the message that an instance sends to its neighbours.
type Hint struct {
	Version int `cbor:"1,keyasint"`
	// From identifies the sender, Process its current process.
	From    string `cbor:"2,keyasint"`
	Process string `cbor:"3,keyasint"`
	// Seq increases with every datagram of the process.
	Seq uint64 `cbor:"4,keyasint"`
	// SentMS is the sender's wall clock, in Unix milliseconds.
	SentMS int64 `cbor:"5,keyasint"`
	// Revision is the settings revision in force at the sender.
	Revision int64 `cbor:"6,keyasint"`
	// StoreAgeMS is the time since the object API last answered any instance that
	// the sender knows of, in milliseconds; negative if that is not known.
	StoreAgeMS int64 `cbor:"7,keyasint"`
	// Leaving is set when the sender has begun a planned stop.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// List is the version of the platform's list that the sender has. Releases without
	// this field send 0, which has no effect.
	List int64 `cbor:"9,keyasint,omitempty"`
	// Endings reports requests during which endpoints have ended.
	Endings []quarantine.Report `cbor:"10,keyasint,omitempty"`
	// EndingsDigest is a digest of all such reports that the sender has.
	EndingsDigest uint64 `cbor:"11,keyasint,omitempty"`
}

// Errors of decoding a message.
var (
	ErrTooLarge = errors.New("message is too large")
	ErrVersion  = errors.New("message has an unsupported version")
)

var hintDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeHint encodes a hint as CBOR (RFC 8949).
func EncodeHint(h Hint) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHint decodes a hint. It returns ErrTooLarge for more than MaxHintBytes and
// ErrVersion for another version.
func DecodeHint(data []byte) (Hint, error) {
	var h Hint
	if len(data) > MaxHintBytes {
		return h, ErrTooLarge
	}
	if err := hintDecoder.Unmarshal(data, &h); err != nil {
		return h, fmt.Errorf("hint: %w", err)
	}
	if h.Version != HintVersion {
		return h, ErrVersion
	}
	return h, nil
}
