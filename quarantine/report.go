package quarantine

import (
	"encoding/hex"
	"slices"
	"time"
)

// Report is what instances report to each other about one suspect, a request or a part of prompts:
// the endpoints that have terminated under it, its last success, and its trials. It has ages in
// milliseconds instead of times, because clocks differ.
type Report struct {
	Fingerprint []byte `cbor:"1,keyasint"`
	// Incarnations are the IncarnationHash values of the terminated endpoints, AgesMS how long
	// ago each terminated.
	Incarnations []uint64 `cbor:"2,keyasint,omitempty"`
	AgesMS       []int64  `cbor:"3,keyasint,omitempty"`
	// ServedMS is how long ago the request last succeeded with a complete answer, plus 1; 0 for
	// never.
	ServedMS int64 `cbor:"4,keyasint,omitempty"`
	// Shared is set for a part of prompts, which then has the Origin of each termination.
	Shared  bool     `cbor:"5,keyasint,omitempty"`
	Origins []uint64 `cbor:"6,keyasint,omitempty"`
	// TrialsMS is how long ago the part was tried again, the first trial first.
	TrialsMS []int64 `cbor:"7,keyasint,omitempty"`
}

// Name returns the suspect's fingerprint in hexadecimal digits, which names its object in a store.
func (r Report) Name() string { return hex.EncodeToString(r.Fingerprint) }

// MergeReports returns what two reports on the same suspect tell together.
func MergeReports(a, b Report) Report {
	r := &record{shared: a.Shared || b.Shared}
	// Any time will do, as reports have ages.
	now := time.Unix(0, 0)
	r.merge(now, a)
	r.merge(now, b)
	return r.report(now, Fingerprint(a.Fingerprint))
}

// Upper bounds of the encoded size of a Report, in bytes: without terminations, for each
// termination, and what a part of prompts adds to both.
const (
	reportBytes      = 32
	terminationBytes = 18
	sharedBytes      = 6
	originBytes      = 9
	trialBytes       = 9
)

// size returns an upper bound of the encoded size of the report, in bytes.
func (r Report) size() int {
	n := reportBytes + len(r.Incarnations)*terminationBytes
	if r.Shared {
		n += sharedBytes + len(r.Origins)*originBytes + len(r.TrialsMS)*trialBytes
	}
	return n
}

// valid reports whether all values are within the ranges that an instance can report.
func (r Report) valid(retention time.Duration) bool {
	if len(r.Fingerprint) != FingerprintBytes || len(r.Incarnations) != len(r.AgesMS) || len(r.Incarnations) > maxTerminations {
		return false
	}
	if len(r.TrialsMS) > maxTrials || len(r.Origins) > 0 && len(r.Origins) != len(r.Incarnations) {
		return false
	}
	for _, age := range slices.Concat(r.AgesMS, r.TrialsMS) {
		if age < 0 || age > retention.Milliseconds() {
			return false
		}
	}
	return r.ServedMS >= 0 && r.ServedMS <= retention.Milliseconds()+1
}
