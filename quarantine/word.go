package quarantine

import "time"

// Report is what instances tell each other of one request: the endpoints that have ended
// under it, and when it was last answered well. Ages are in milliseconds, as clocks differ.
type Report struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	// Incarnations stand for starts of endpoints, by EndpointMark; AgesMS is how long ago
	// each ended.
	Incarnations []uint64 `cbor:"2,keyasint,omitempty"`
	AgesMS       []int64  `cbor:"3,keyasint,omitempty"`
	// ServedMS is how long ago the request was answered well and whole, plus 1; 0 for never.
	ServedMS int64 `cbor:"4,keyasint,omitempty"`
}

// Sizes of an encoded Word, at most: its own, and what each ending adds.
const (
	wordBytes   = 32
	endingBytes = 18
)

// size bounds the word's encoding, in bytes.
func (w Report) size() int { return wordBytes + len(w.Incarnations)*endingBytes }

// sound tells whether a word can be what an instance says.
func (w Report) sound(memory time.Duration) bool {
	if len(w.Fingerprint) != FingerprintBytes || len(w.Incarnations) != len(w.AgesMS) || len(w.Incarnations) > maxEndings {
		return false
	}
	for _, age := range w.AgesMS {
		if age < 0 || age > memory.Milliseconds() {
			return false
		}
	}
	return w.ServedMS >= 0 && w.ServedMS <= memory.Milliseconds()+1
}
