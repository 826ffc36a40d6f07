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

// shardLabel marks the slots of a shard.
const shardLabel = "eiderspring.dev/claim-shard"

const (
	// ownerEvents bounds the events that wait for a shard.
	ownerEvents = 1024
	// ownerTick is the time between ticks of a shard that has work.
	ownerTick = 10 * time.Millisecond
	// askTimeout bounds one answer of a shard.
	askTimeout = 2 * time.Second
)

// Owner runs shards for whoever asks. A shard is loaded when it is first asked
// for.
type Owner struct {
	ctx    context.Context
	client store.Client
	now    func() time.Time
	cfg    func() ShardConfig
	nextID atomic.Int64

	mu     sync.Mutex
	shards map[int]*shardDuty
}

// NewOwner returns an owner whose shards end with ctx. cfg is asked for when a
// shard is first used.
func NewOwner(ctx context.Context, c store.Client, now func() time.Time, cfg func() ShardConfig) *Owner {
	return &Owner{ctx: ctx, client: c, now: now, cfg: cfg, shards: map[int]*shardDuty{}}
}

// Reply is a shard's answer to an entry.
type Reply struct {
	Verdict Verdict `cbor:"1,keyasint"`
	Result  *Result `cbor:"2,keyasint,omitempty"`
}

// Submit asks a shard about an entry. An error means the same as Unknown.
func (o *Owner) Submit(ctx context.Context, shard int, op Op) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	d := o.shard(shard)
	id := o.nextID.Add(1)
	answer := make(chan Reply, 1)
	d.answers.Store(id, answer)
	defer d.answers.Delete(id)
	if err := d.events.Put(ctx, Submitted{ID: id, Op: op}); err != nil {
		return Reply{}, err
	}
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		_ = d.events.Put(o.ctx, Abandoned{ID: id})
		return Reply{}, ctx.Err()
	}
}

func (o *Owner) shard(number int) *shardDuty {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.shards[number]
	if d == nil {
		d = &shardDuty{
			number: number, client: o.client, now: o.now, cfg: o.cfg(), events: ring.New[Event](ownerEvents, ring.Block),
		}
		d.machine = NewShard(d.cfg)
		o.shards[number] = d
		go d.run(o.ctx)
	}
	return d
}

// shardDuty feeds one shard and carries its actions out.
type shardDuty struct {
	number  int
	client  store.Client
	now     func() time.Time
	cfg     ShardConfig
	machine *Shard
	events  *ring.Ring[Event]
	answers sync.Map
	// ticking is set while a tick is on its way.
	ticking atomic.Bool
}

func (d *shardDuty) run(ctx context.Context) {
	for {
		e, err := d.events.Take(ctx)
		if err != nil {
			return
		}
		for _, a := range d.machine.Step(d.now(), e) {
			d.carryOut(ctx, a)
		}
		if d.machine.Busy() && d.ticking.CompareAndSwap(false, true) {
			time.AfterFunc(ownerTick, func() {
				d.ticking.Store(false)
				_ = d.events.Put(ctx, Tick{})
			})
		}
	}
}

func (d *shardDuty) carryOut(ctx context.Context, a Action) {
	switch a := a.(type) {
	case Replied:
		if c, waits := d.answers.Load(a.ID); waits {
			c.(chan Reply) <- Reply{Verdict: a.Verdict, Result: a.Result}
		}
	case Load:
		go func() { _ = d.events.Put(ctx, d.load(ctx)) }()
	case Write:
		go func() { _ = d.events.Put(ctx, d.write(ctx, a)) }()
	}
}

func (d *shardDuty) label() string { return fmt.Sprintf("%03d", d.number) }

func (d *shardDuty) load(ctx context.Context) Event {
	list, err := d.client.ListLabelled(ctx, store.KindClaim, shardLabel, d.label())
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

// write does not resolve a lost answer itself: the shard loads again.
func (d *shardDuty) write(ctx context.Context, w Write) Event {
	name := fmt.Sprintf("shard-%s-%04d", d.label(), w.Slot.Index%d.cfg.Slots)
	o, err := store.NewObject(store.KindClaim, name, w.Slot)
	if err != nil {
		return Wrote{Result: commit.Conflict}
	}
	o.Metadata.Labels = map[string]string{shardLabel: d.label()}
	o.Metadata.ResourceVersion = w.Version
	version, result := store.Put(ctx, d.client, o)
	return Wrote{Result: result, Version: version}
}

// ErrNoOwner means that no instance answers for the shard.
var ErrNoOwner = errors.New("no instance answers for the key's shard")
