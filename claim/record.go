package claim

import "time"

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Claimed means that the holder may dispatch, or has dispatched.
	Claimed State = "claimed"
	// Cancelled means that the holder cancelled the claim before dispatch.
	Cancelled State = "cancelled"
	// Done means that the result is recorded.
	Done State = "done"
)

// Record is the stored state of a key.
type Record struct {
	State State
	// Attempt identifies the claim; a new claim of a cancelled key has a new attempt.
	Attempt string
	// Fingerprint identifies the request's content.
	Fingerprint string
	At          time.Time
	Result      *Result
}

// Result is a recorded response.
type Result struct {
	Status      int    `json:"status" cbor:"1,keyasint"`
	ContentType string `json:"contentType" cbor:"2,keyasint"`
	Body        []byte `json:"body" cbor:"3,keyasint"`
	// Truncated reports that the body was too large to record.
	Truncated bool `json:"truncated,omitempty" cbor:"4,keyasint,omitempty"`
}

// MaxRecordedBody is the size in bytes of the largest body that is recorded.
const MaxRecordedBody = 8 << 10

// Verdict is the decision on a request with a key.
type Verdict int

// Verdicts.
const (
	// Unknown means that nothing can be concluded about the key.
	Unknown Verdict = iota
	// Free means that the key may be claimed.
	Free
	// Granted means that the attempt holds the claim and may dispatch.
	Granted
	// Held means that another attempt holds the claim.
	Held
	// Replay means that the recorded result is the response.
	Replay
	// Mismatch means that the key was used for a request with other content.
	Mismatch
	// Ended means that the claim's end is recorded.
	Ended
)

// Decide returns the verdict on a claim that attempt makes at a time, for a key with the given
// record, nil if there is none. A record older than horizon does not count.
func Decide(r *Record, attempt, fingerprint string, at time.Time, horizon time.Duration) Verdict {
	switch {
	case r == nil || at.Sub(r.At) >= horizon:
		return Free
	case r.Attempt == attempt && r.State == Claimed:
		return Granted
	case r.Fingerprint != fingerprint:
		return Mismatch
	case r.State == Cancelled:
		return Free
	case r.State == Done:
		return Replay
	default:
		return Held
	}
}
