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

// Errors of a Claimer.
var (
	// ErrUnknown means that the request with the key may have run, or may still run.
	ErrUnknown = errors.New("the outcome of the idempotency key is not known")
	// ErrMismatch means that the key was used with other content.
	ErrMismatch = errors.New("the idempotency key was used with another request")
)

// Shards is the number of shards. It is part of the storage format: instances that disagree on
// it would claim a key in two places.
const Shards = 16

// Key identifies a request that must not be repeated.
type Key struct {
	Caller, Service, Key string
}

// hash returns the form in which the key is stored: keys may hold any character.
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

// SubmitFunc submits an entry to the n-th choice among the instances that run a shard; it fails
// with ErrNoOwner if there is none.
type SubmitFunc func(ctx context.Context, shard, n int, op Op) (Reply, error)

// Claimer claims keys on behalf of one instance.
type Claimer struct {
	submit SubmitFunc
	now    func() time.Time
}

// NewClaimer returns a claimer that submits entries with submit.
func NewClaimer(submit SubmitFunc, now func() time.Time) *Claimer {
	return &Claimer{submit: submit, now: now}
}

// Claim is a key held by this instance.
type Claim struct {
	claimer *Claimer
	op      Op
}

// Bounds of the pause between polls of a key that another attempt holds.
const (
	minPollPause = 25 * time.Millisecond
	maxPollPause = 400 * time.Millisecond
)

// Begin claims the key, or returns the recorded result of an earlier attempt. It waits for an
// attempt in flight until ctx ends. ErrUnknown is returned whenever it cannot be shown that the
// request has not run and will not run.
func (c *Claimer) Begin(ctx context.Context, key Key, fingerprint string) (*Claim, *Result, error) {
	op := Op{Kind: OpClaim, Key: key.hash(), Attempt: rand.Text(), Fingerprint: fingerprint, At: c.now()}
	pause := minPollPause
	for {
		reply, err := c.send(ctx, op)
		if err != nil {
			return nil, nil, ErrUnknown
		}
		switch reply.Verdict {
		case Granted:
			return &Claim{claimer: c, op: op}, nil, nil
		case Replay:
			return nil, reply.Result, nil
		case Mismatch:
			return nil, nil, ErrMismatch
		case Unknown:
			return nil, nil, ErrUnknown
		}
		if !wait.For(ctx, pause) {
			return nil, nil, ErrUnknown
		}
		pause = min(2*pause, maxPollPause)
	}
}

// submitAttempts is the number of instances that are tried in turn. An entry may be submitted
// again, also to another instance: its attempt makes it idempotent.
const submitAttempts = 3

func (c *Claimer) send(ctx context.Context, op Op) (Reply, error) {
	var err error
	for n := range submitAttempts {
		var reply Reply
		reply, err = c.submit(ctx, shardOf(op.Key), n, op)
		if err == nil {
			return reply, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return Reply{}, err
}

// Cancel frees the key before dispatch. The holder must not dispatch after calling it, whatever
// it returns: as only the holder could, the request has then not run and will not run. An error
// only means that the key stays claimed, so that later requests with it get an unknown outcome.
func (c *Claim) Cancel(ctx context.Context) error { return c.end(ctx, OpCancel, nil) }

// Finish records the result. An error leaves the key claimed, so that later requests with it
// get an unknown outcome.
func (c *Claim) Finish(ctx context.Context, result Result) error {
	if len(result.Body) > MaxRecordedBody {
		result.Body, result.Truncated = nil, true
	}
	return c.end(ctx, OpFinish, &result)
}

func (c *Claim) end(ctx context.Context, kind OpKind, result *Result) error {
	op := c.op
	op.Kind, op.Result = kind, result
	reply, err := c.claimer.send(ctx, op)
	if err != nil {
		return err
	}
	if reply.Verdict != Ended {
		return ErrUnknown
	}
	return nil
}
