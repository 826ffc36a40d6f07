package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/membership"
)

// Snapshot is the members as of a version of the store.
type Snapshot struct {
	Version string              `cbor:"1,keyasint"`
	Members []membership.Member `cbor:"2,keyasint"`
}

// maxSnapshotBytes bounds a snapshot that is unpacked: 400 bytes for each of 80,000 members.
const maxSnapshotBytes = 32 << 20

// maxMembers bounds the members of a snapshot.
const maxMembers = 1 << 17

// ErrTooLarge is a snapshot beyond its bounds.
var ErrTooLarge = errors.New("snapshot is too large")

// Encode packs a snapshot.
func Encode(s Snapshot) ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return packed.Bytes(), nil
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxMembers, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode unpacks a snapshot.
func Decode(packed []byte) (s Snapshot, err error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxSnapshotBytes+1))
	if err != nil {
		return s, fmt.Errorf("snapshot: %w", err)
	}
	if len(data) > maxSnapshotBytes {
		return s, ErrTooLarge
	}
	if err := decoder.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("snapshot: %w", err)
	}
	return s, nil
}
