package relay

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Forms of packed news, told by the first byte.
const (
	formPlain byte = iota
	formFlate
)

const (
	// packAbove is from how many bytes on news is compressed.
	packAbove = 4 << 10
	// maxBytes bounds news that is unpacked: 400 bytes for each of 80,000 members.
	maxBytes = 32 << 20
	// maxMembers bounds the members of news.
	maxMembers = 1 << 17
)

// Errors of Decode.
var (
	ErrTooLarge      = errors.New("news is too large")
	ErrUnknownFormat = errors.New("news has an unknown form")
)

// Encode packs news.
func Encode(n Delta) ([]byte, error) {
	data, err := cbor.Marshal(n)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	if len(data) < packAbove {
		return append([]byte{formPlain}, data...), nil
	}
	packed := bytes.NewBuffer([]byte{formFlate})
	w, err := flate.NewWriter(packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("news: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("news: %w", err)
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

// Decode unpacks news.
func Decode(packed []byte) (n Delta, err error) {
	if len(packed) == 0 {
		return n, ErrUnknownFormat
	}
	data := packed[1:]
	switch packed[0] {
	case formPlain:
	case formFlate:
		data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBytes+1))
		if err != nil {
			return n, fmt.Errorf("news: %w", err)
		}
	default:
		return n, ErrUnknownFormat
	}
	if len(data) > maxBytes {
		return n, ErrTooLarge
	}
	if err := decoder.Unmarshal(data, &n); err != nil {
		return Delta{}, fmt.Errorf("news: %w", err)
	}
	return n, nil
}
