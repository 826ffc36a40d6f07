package quarantine

import "time"

// Report is what instances report to each other about one request: the endpoints that have
// terminated under it, and its last success. It has ages in milliseconds instead of times,
// because clocks differ.
type Report struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	// Incarnations are the IncarnationHash values of the terminated endpoints, AgesMS how long
	// ago each terminated.
	Incarnations []uint64 `cbor:"2,keyasint,omitempty"`
	AgesMS       []int64  `cbor:"3,keyasint,omitempty"`
	// ServedMS is how long ago the request last succeeded with a complete answer, plus 1; 0 for
	// never.
	ServedMS int64 `cbor:"4,keyasint,omitempty"`
}

// Upper bounds of the encoded size of a Report: without terminations, and for each
// termination.
const (
	reportBytes      = 32
	terminationBytes = 18
)

// size returns an upper bound of the encoded size of the report, in bytes.
func (r Report) size() int { return reportBytes + len(r.Incarnations)*terminationBytes }

// valid reports whether all values are within the ranges that an instance can report.
func (r Report) valid(retention time.Duration) bool {
	if len(r.Fingerprint) != FingerprintBytes || len(r.Incarnations) != len(r.AgesMS) || len(r.Incarnations) > maxTerminations {
		return false
	}
	for _, age := range r.AgesMS {
		if age < 0 || age > retention.Milliseconds() {
			return false
		}
	}
	return r.ServedMS >= 0 && r.ServedMS <= retention.Milliseconds()+1
}
