package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// shardLabel is the label of the slots of a shard.
const shardLabel = "eiderspring.dev/claim-shard"

const (
	// eventCapacity bounds the queued events of a shard.
	eventCapacity = 1024
	// tickInterval is the time between ticks of a shard that has work.
	tickInterval = 10 * time.Millisecond
	// submitTimeout bounds the wait for the reply of a shard.
	submitTimeout = 2 * time.Second
)

// Owner runs shards on behalf of all instances. A shard is loaded on its first request.
type Owner struct {
	ctx    context.Context
	client store.Client
	now    func() time.Time
	cfg    func() ShardConfig
	nextID atomic.Int64

	mu     sync.Mutex
	shards map[int]*shardRunner
}

// NewOwner returns an owner whose shards end with ctx. cfg is called when a shard is first
// used.
func NewOwner(ctx context.Context, c store.Client, now func() time.Time, cfg func() ShardConfig) *Owner {
	return &Owner{ctx: ctx, client: c, now: now, cfg: cfg, shards: map[int]*shardRunner{}}
}

// Reply is a shard's reply to a submitted entry.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Result  *Result `cbor:"2,keyasint,omitempty"`
}

// Submit submits an entry to a shard and returns its reply. An error means the same as Unknown.
func (o *Owner) Submit(ctx context.Context, shard int, op Op) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r := o.shard(shard)
	id := o.nextID.Add(1)
	reply := make(chan Reply, 1)
	r.replies.Store(id, reply)
	defer r.replies.Delete(id)
	if err := r.events.Put(ctx, Submitted{ID: id, Op: op}); err != nil {
		return Reply{}, err
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		_ = r.events.Put(o.ctx, Abandoned{ID: id})
		return Reply{}, ctx.Err()
	}
}

func (o *Owner) shard(number int) *shardRunner {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.shards[number]
	if r == nil {
		r = &shardRunner{
			number: number, client: o.client, now: o.now, cfg: o.cfg(), events: ring.New[Event](eventCapacity, ring.Block),
		}
		r.machine = NewShard(r.cfg)
		o.shards[number] = r
		go r.run(o.ctx)
	}
	return r
}

// shardRunner passes events to one shard and executes its actions.
type shardRunner struct {
	number  int
	client  store.Client
	now     func() time.Time
	cfg     ShardConfig
	machine *Shard
	events  *ring.Ring[Event]
	replies sync.Map
	// ticking is set while a tick is scheduled.
	ticking atomic.Bool
}

func (r *shardRunner) run(ctx context.Context) {
	for {
		e, err := r.events.Take(ctx)
		if err != nil {
			return
		}
		for _, a := range r.machine.Step(r.now(), e) {
			r.execute(ctx, a)
		}
		if r.machine.Busy() && r.ticking.CompareAndSwap(false, true) {
			time.AfterFunc(tickInterval, func() {
				r.ticking.Store(false)
				_ = r.events.Put(ctx, Tick{})
			})
		}
	}
}

func (r *shardRunner) execute(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Replied:
		if c, waits := r.replies.Load(a.ID); waits {
			c.(chan Reply) <- Reply{Verdict: a.Verdict, Result: a.Result}
		}
	case Load:
		go func() { _ = r.events.Put(ctx, r.load(ctx)) }()
	case Write:
		go func() { _ = r.events.Put(ctx, r.write(ctx, a)) }()
	}
}

func (r *shardRunner) label() string { return fmt.Sprintf("%03d", r.number) }

func (r *shardRunner) load(ctx context.Context) Event {
	list, err := r.client.ListLabelled(ctx, store.KindClaim, shardLabel, r.label())
	if err != nil {
		return Loaded{Failed: true}
	}
	loaded := Loaded{}
	for _, o := range list.Items {
		var slot Slot
		if err := json.Unmarshal(o.Spec, &slot); err != nil {
			return Loaded{Failed: true}
		}
		loaded.Slots = append(loaded.Slots, StoredSlot{Slot: slot, Version: o.Metadata.ResourceVersion})
	}
	return loaded
}

// write does not resolve an unknown outcome itself: the shard loads again.
func (r *shardRunner) write(ctx context.Context, w Write) Event {
	name := fmt.Sprintf("shard-%s-%04d", r.label(), w.Slot.Index%r.cfg.Slots)
	o, err := store.NewObject(store.KindClaim, name, w.Slot)
	if err != nil {
		return Wrote{Result: commit.Conflict}
	}
	o.Metadata.Labels = map[string]string{shardLabel: r.label()}
	o.Metadata.ResourceVersion = w.Version
	version, result := store.Put(ctx, r.client, o)
	return Wrote{Result: result, Version: version}
}

// ErrNoOwner means that no instance replies for the shard.
var ErrNoOwner = errors.New("no instance answers for the key's shard")
