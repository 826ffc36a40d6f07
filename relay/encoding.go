package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Formats of an encoded delta, identified by the first byte.
const (
	formatPlain byte = iota
	formatFlate
)

const (
	// compressAbove is the size in bytes from which a delta is compressed.
	compressAbove = 4 << 10
	// maxBytes bounds a decompressed delta: 400 bytes for each of 80,000 members.
	maxBytes = 32 << 20
	// maxMembers bounds the members of a delta.
	maxMembers = 1 << 17
)

// Errors of Decode.
var (
	ErrTooLarge      = errors.New("members delta is too large")
	ErrUnknownFormat = errors.New("members delta has an unknown format")
)

// Encode encodes a delta.
func Encode(d Delta) ([]byte, error) {
	data, err := cbor.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("members delta: %w", err)
	}
	if len(data) < compressAbove {
		return append([]byte{formatPlain}, data...), nil
	}
	encoded := bytes.NewBuffer([]byte{formatFlate})
	w, err := flate.NewWriter(encoded, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("members delta: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("members delta: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("members delta: %w", err)
	}
	return encoded.Bytes(), nil
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxMembers, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes a delta.
func Decode(encoded []byte) (d Delta, err error) {
	if len(encoded) == 0 {
		return d, ErrUnknownFormat
	}
	data := encoded[1:]
	switch encoded[0] {
	case formatPlain:
	case formatFlate:
		data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBytes+1))
		if err != nil {
			return d, fmt.Errorf("members delta: %w", err)
		}
	default:
		return d, ErrUnknownFormat
	}
	if len(data) > maxBytes {
		return d, ErrTooLarge
	}
	if err := decoder.Unmarshal(data, &d); err != nil {
		return Delta{}, fmt.Errorf("members delta: %w", err)
	}
	return d, nil
}
