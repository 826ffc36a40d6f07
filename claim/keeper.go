package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eiderspring/eiderspring/wait"
)

// Errors of a Keeper.
var (
	// ErrUnknown means that the key may have run, or may yet.
	ErrUnknown = errors.New("the outcome of the idempotency key is not known")
	// ErrMismatch means that the key was used with other content.
	ErrMismatch = errors.New("the idempotency key was used with another request")
)

// Shards is the number of shards. It is part of the stored form: instances
// that disagree on it would claim a key in two places.
const Shards = 16

// Key identifies a request that may not be repeated.
type Key struct {
	Caller, Service, Key string
}

// hash is the key as it is stored: keys may hold any character.
func (k Key) hash() string {
	sum := sha256.Sum256([]byte(k.Caller + "\x00" + k.Service + "\x00" + k.Key))
	return hex.EncodeToString(sum[:16])
}

// shardOf returns the shard of a key's hash.
func shardOf(hash string) int { return int(xxhash.Sum64String(hash) % Shards) }

// Fingerprint identifies a request's content.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// SubmitFunc asks the n-th choice among the instances that run a shard; it fails
// with ErrNoOwner if there is none.
type SubmitFunc func(ctx context.Context, shard, n int, op Op) (Reply, error)

// Claimer claims keys for one instance.
type Claimer struct {
	ask SubmitFunc
	now func() time.Time
}

// NewClaimer returns a keeper.
func NewClaimer(ask SubmitFunc, now func() time.Time) *Claimer { return &Claimer{ask: ask, now: now} }

// Claim is a key that this instance holds.
type Claim struct {
	keeper *Claimer
	op     Op
}

// Pauses between looks at a key that another attempt holds.
const (
	waitMin = 25 * time.Millisecond
	waitMax = 400 * time.Millisecond
)

// Begin claims the key, or returns the recorded result of an earlier attempt.
// It waits for an attempt under way until ctx ends. ErrUnknown is returned
// whenever it cannot be shown that the key has not run and will not.
func (k *Claimer) Begin(ctx context.Context, key Key, fingerprint string) (*Claim, *Result, error) {
	op := Op{Kind: OpClaim, Key: key.hash(), Attempt: rand.Text(), Fingerprint: fingerprint, At: k.now()}
	pause := waitMin
	for {
		a, err := k.send(ctx, op)
		if err != nil {
			return nil, nil, ErrUnknown
		}
		switch a.Verdict {
		case Granted:
			return &Claim{keeper: k, op: op}, nil, nil
		case Replay:
			return nil, a.Result, nil
		case Mismatch:
			return nil, nil, ErrMismatch
		case Unknown:
			return nil, nil, ErrUnknown
		}
		if !wait.For(ctx, pause) {
			return nil, nil, ErrUnknown
		}
		pause = min(2*pause, waitMax)
	}
}

// askTries is how many instances are asked in turn. An entry may be sent
// again, also to another instance: its attempt makes it idempotent.
const askTries = 3

func (k *Claimer) send(ctx context.Context, op Op) (Reply, error) {
	var err error
	for n := range askTries {
		var a Reply
		a, err = k.ask(ctx, shardOf(op.Key), n, op)
		if err == nil {
			return a, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Reply{}, err
}

// Cancel frees the key before dispatch. The holder must not dispatch after
// calling it, whatever it returns: as only the holder could, the key has then
// not run and will not. An error only means that the key stays claimed, so
// that later requests with it are told that the outcome is unknown.
func (c *Claim) Cancel(ctx context.Context) error { return c.end(ctx, OpCancel, nil) }

// Finish records the result. An error leaves the key claimed, so that a later
// request with it is told that the outcome is unknown.
func (c *Claim) Finish(ctx context.Context, result Result) error {
	if len(result.Body) > MaxRecordedBody {
		result.Body, result.Truncated = nil, true
	}
	return c.end(ctx, OpFinish, &result)
}

func (c *Claim) end(ctx context.Context, kind OpKind, result *Result) error {
	op := c.op
	op.Kind, op.Result = kind, result
	a, err := c.keeper.send(ctx, op)
	if err != nil {
		return err
	}
	if a.Verdict != Ended {
		return ErrUnknown
	}
	return nil
}
