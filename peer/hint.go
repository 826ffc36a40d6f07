package peer

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/quarantine"
)

// HintVersion is the version of the hint's form. A neighbouring release may
// add fields, which this one ignores; another version is refused.
const HintVersion = 1

// MaxHintBytes bounds an encoded hint.
const MaxHintBytes = 1200

// Hint is what an instance tells its neighbours.
type Hint struct {
	Version int `cbor:"1,keyasint"`
	// From and Process name the sender and its process.
	From    string `cbor:"2,keyasint"`
	Process string `cbor:"3,keyasint"`
	// Seq grows with every datagram of the process.
	Seq uint64 `cbor:"4,keyasint"`
	// SentMS is the sender's wall clock, in Unix milliseconds.
	SentMS int64 `cbor:"5,keyasint"`
	// Revision is that of the settings in force at the sender.
	Revision int64 `cbor:"6,keyasint"`
	// StoreAgeMS is how long ago the object API last answered any instance
	// that the sender knows of, in milliseconds.
	StoreAgeMS int64 `cbor:"7,keyasint"`
	// Leaving tells that the sender makes a planned stop.
	Leaving bool `cbor:"8,keyasint,omitempty"`
	// List is the version of the platform's list that the sender has; a release that
	// does not tell it leaves it 0, which asks for nothing.
	List int64 `cbor:"9,keyasint,omitempty"`
	// Endings are requests under which endpoints have ended.
	Endings []quarantine.Report `cbor:"10,keyasint,omitempty"`
	// EndingsDigest stands for all that the sender knows of them.
	EndingsDigest uint64 `cbor:"11,keyasint,omitempty"`
}

// Errors of decoding a hint.
var (
	ErrTooLarge = errors.New("hint is too large")
	ErrVersion  = errors.New("hint is of another version")
)

var hintDecoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 4}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeHint returns the hint's encoding.
func EncodeHint(h Hint) ([]byte, error) { return cbor.Marshal(h) }

// DecodeHint reads a hint.
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
