package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"time"

	"github.com/eiderspring/eiderspring/store"
)

// Errors of a Keeper.
var (
	// ErrUnknown means that the key may have run, or may yet.
	ErrUnknown = errors.New("the outcome of the idempotency key is not known")
	// ErrMismatch means that the key was used with other content.
	ErrMismatch = errors.New("the idempotency key was used with another request")
)

// Key identifies a request that may not be repeated.
type Key struct {
	Caller, Service, Key string
}

// objectName is the claim's name: a hash, as keys may hold any character.
func (k Key) objectName() string {
	sum := sha256.Sum256([]byte(k.Caller + "\x00" + k.Service + "\x00" + k.Key))
	return hex.EncodeToString(sum[:])
}

// Fingerprint identifies a request's content.
func Fingerprint(method, path string, body []byte) string {
	h := sha256.New()
	h.Write([]byte(method + "\x00" + path + "\x00"))
	h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}

// Keeper claims keys for one instance.
type Keeper struct {
	client store.Client
	writer *store.Writer
	holder string
	now    func() time.Time
}

// NewKeeper returns a keeper. holder names the instance and incarnation.
func NewKeeper(c store.Client, holder string, now func() time.Time) *Keeper {
	return &Keeper{client: c, writer: store.NewWriter(c), holder: holder, now: now}
}

// Claim is a key that this instance holds.
type Claim struct {
	keeper *Keeper
	object store.Object
	record Record
}

// Pauses between looks at a key that another attempt holds.
const (
	waitMin = 25 * time.Millisecond
	waitMax = 400 * time.Millisecond
)

// Begin claims the key, or returns the recorded result of an earlier attempt.
// It waits for an attempt under way until ctx ends. ErrUnknown is returned
// whenever it cannot be shown that the key has not run and will not.
func (k *Keeper) Begin(ctx context.Context, key Key, fingerprint string) (*Claim, *Result, error) {
	name := key.objectName()
	pause := waitMin
	// Creating first saves a read in the common case of a fresh key.
	c, err := k.create(ctx, name, fingerprint)
	for {
		if err == nil {
			return c, nil, nil
		}
		if !store.IsConflict(err) && !store.IsNotFound(err) {
			return nil, nil, ErrUnknown
		}
		var result *Result
		c, result, err = k.join(ctx, name, fingerprint)
		if result != nil || errors.Is(err, ErrMismatch) {
			return nil, result, err
		}
		if err == nil {
			return c, nil, nil
		}
		if !sleep(ctx, pause) {
			return nil, nil, ErrUnknown
		}
		pause = min(2*pause, waitMax)
	}
}

// errHeld means that another attempt holds the key; it reads as a conflict.
var errHeld = &store.StatusError{Code: 409, Kind: store.KindClaim, Message: "held"}

// join looks at an existing claim and acts by the verdict.
func (k *Keeper) join(ctx context.Context, name, fingerprint string) (*Claim, *Result, error) {
	o, err := k.client.Get(ctx, store.KindClaim, name)
	if err != nil {
		return nil, nil, err
	}
	var r Record
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return nil, nil, ErrUnknown
	}
	switch Decide(&r, fingerprint) {
	case Mismatch:
		return nil, nil, ErrMismatch
	case Replay:
		return nil, r.Result, nil
	case Reclaim:
		c, err := k.write(ctx, o, k.fresh(fingerprint), k.writer.Update)
		return c, nil, err
	default:
		return nil, nil, errHeld
	}
}

func (k *Keeper) create(ctx context.Context, name, fingerprint string) (*Claim, error) {
	o := store.Object{APIVersion: store.APIVersion, Kind: store.KindClaim, Metadata: store.Metadata{Name: name}}
	return k.write(ctx, o, k.fresh(fingerprint), k.writer.Create)
}

func (k *Keeper) fresh(fingerprint string) Record {
	return Record{State: Claimed, Holder: k.holder, Attempt: rand.Text(), Fingerprint: fingerprint, At: k.now()}
}

type writeFunc func(context.Context, store.Object) (store.Object, error)

func (k *Keeper) write(ctx context.Context, o store.Object, r Record, write writeFunc) (*Claim, error) {
	next, err := o.WithSpec(r)
	if err != nil {
		return nil, err
	}
	written, err := write(ctx, next)
	if err != nil {
		return nil, err
	}
	return &Claim{keeper: k, object: written, record: r}, nil
}

// Cancel frees the key before dispatch. The holder must not dispatch after
// calling it, whatever it returns: as only the holder could, the key has then
// not run and will not. An error only means that the key stays claimed, so
// that later requests with it are told that the outcome is unknown.
func (c *Claim) Cancel(ctx context.Context) error {
	r := c.record
	r.State = Cancelled
	_, err := c.keeper.write(ctx, c.object, r, c.keeper.writer.Update)
	return err
}

// Finish records the result. An error leaves the key claimed, so that a later
// request with it is told that the outcome is unknown.
func (c *Claim) Finish(ctx context.Context, result Result) error {
	r := c.record
	r.State = Done
	if len(result.Body) > MaxRecordedBody {
		result.Body, result.Truncated = nil, true
	}
	r.Result = &result
	_, err := c.keeper.write(ctx, c.object, r, c.keeper.writer.Update)
	return err
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
