package claim

import "time"

// State is where a claim is in its life.
type State string

// States of a claim.
const (
	// Claimed means that the holder may dispatch, or has.
	Claimed State = "claimed"
	// Cancelled means that the holder gave the claim up before dispatch.
	Cancelled State = "cancelled"
	// Done means that the outcome is recorded.
	Done State = "done"
)

// Record is what is kept of a key.
type Record struct {
	State State `json:"state"`
	// Holder is the instance and incarnation that claimed the key.
	Holder string `json:"holder"`
	// Attempt identifies the claim; a new claim of a cancelled key has another.
	Attempt string `json:"attempt"`
	// Fingerprint identifies the request's content.
	Fingerprint string    `json:"fingerprint"`
	At          time.Time `json:"at"`
	Result      *Result   `json:"result,omitempty"`
}

// Result is the recorded answer.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType"`
	Body        []byte `json:"body"`
	// Truncated tells that the body was too large to record.
	Truncated bool `json:"truncated,omitempty"`
}

// MaxRecordedBody is the largest body that is recorded, in bytes.
const MaxRecordedBody = 64 << 10

// Verdict is what to do about a key.
type Verdict int

// Verdicts.
const (
	// Create means that the key is free and may be claimed.
	Create Verdict = iota
	// Reclaim means that a cancelled claim may be replaced.
	Reclaim
	// Wait means that another attempt holds the key.
	Wait
	// Replay means that the recorded result is the answer.
	Replay
	// Mismatch means that the key was used for another content.
	Mismatch
)

// Decide returns what to do about a key with the given record, nil if none.
func Decide(r *Record, fingerprint string) Verdict {
	switch {
	case r == nil:
		return Create
	case r.Fingerprint != fingerprint:
		return Mismatch
	case r.State == Cancelled:
		return Reclaim
	case r.State == Done:
		return Replay
	default:
		return Wait
	}
}
