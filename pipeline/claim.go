package pipeline

import (
	"context"
	"errors"

	"github.com/eiderspring/eiderspring/claim"
)

// Claims claims idempotency keys; *claim.Claimer implements it.
type Claims interface {
	Begin(ctx context.Context, key claim.Key, fingerprint string) (*claim.Claim, *claim.Result, error)
}

// claimKey claims the idempotency key of a request that may not be repeated.
type claimKey struct {
	claims Claims
}

// Process implements Filter.
func (f claimKey) Process(ctx context.Context, x *Exchange) error {
	if x.Target.Policy.Repeatable || x.Call.IdempotencyKey == "" {
		return nil
	}
	key := claim.Key{Caller: x.Caller.Name, Service: x.Call.Name, Key: x.Call.IdempotencyKey}
	held, result, err := f.claims.Begin(ctx, key, claim.Fingerprint(x.Call.Method, x.Call.Path, x.Call.Body))
	if err != nil {
		return &ClaimError{Reused: errors.Is(err, claim.ErrMismatch), Err: err}
	}
	if result != nil {
		return x.replay(result)
	}
	x.Claim = held
	x.recorder = &recorder{}
	return nil
}

// errReplayed ends the pipeline after a recorded answer was sent.
var errReplayed = errors.New("replayed")

// errNotRecorded is returned for a key whose request has run with an answer too large to
// record.
var errNotRecorded = errors.New("the key has run, but its answer was too large to record")

func (x *Exchange) replay(r *claim.Result) error {
	if r.Truncated {
		return &ClaimError{Err: errNotRecorded}
	}
	h := x.Writer.Header()
	h.Set("Content-Type", r.ContentType)
	h.Set(replayedHeader, "true")
	x.Writer.WriteHeader(r.Status)
	x.answerStarted, x.Replayed = true, true
	n, err := x.Writer.Write(r.Body)
	x.Bytes = int64(n)
	if err != nil {
		return &RelayError{CallerGone: true, Err: err}
	}
	return errReplayed
}

// recorder records an answer of up to claim.MaxRecordedBody bytes.
type recorder struct {
	result claim.Result
}

func (r *recorder) write(b []byte) {
	if r == nil || r.result.Truncated {
		return
	}
	if len(r.result.Body)+len(b) > claim.MaxRecordedBody {
		r.result.Body, r.result.Truncated = nil, true
		return
	}
	r.result.Body = append(r.result.Body, b...)
}
