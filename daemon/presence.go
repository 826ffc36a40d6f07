package daemon

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	randv2 "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// presence is the spec of an instance's object: how others reach it.
type presence struct {
	Datagrams string `json:"datagrams"`
	// Streams is where it answers questions; empty where it does not.
	Streams       string `json:"streams,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Cores is the processor time that the instance has.
	Cores float64 `json:"cores"`
}

// peerKey is the spec of the object that holds the datagrams' key.
type peerKey struct {
	Key string `json:"key"`
}

// peerKeyName is the one object of its kind.
const peerKeyName = "datagrams"

// presenceDuty makes this instance known to the others, and the others to it.
// It writes when the instance first starts and when it stops; one that starts again behind a
// crash finds its entry as it was.
type presenceDuty struct {
	client   store.Client
	writer   *store.Writer
	instance string
	self     presence
	link     *storeLink
	log      logr.Logger
	// opened gets the key of the datagrams, found gets the entry of an instance;
	// nil says that it is gone.
	onKey      func(key []byte) error
	onInstance func(instance string, p *presence)
	// running is held while run is under way, which happens again in each era of the store.
	running sync.Mutex
	// ownKey is the datagrams' key that is in use: a store that has come back from a copy
	// may have lost it. run alone uses it.
	ownKey []byte
	// listedOnce is set once the list has been read.
	initialListRead atomic.Bool
	// known are the instances whose entries are there; the watch alone uses it.
	known map[string]bool
}

// presenceGather is how long entries of instances gather.
const presenceBatchDelay = time.Second

// presencePause is the pause before a call that failed is made again.
const presenceRetryDelay = 500 * time.Millisecond

func (d *presenceDuty) run(ctx context.Context) {
	d.running.Lock()
	defer d.running.Unlock()
	// Neither waits for the other: behind a common start each call waits for the store's link.
	var both sync.WaitGroup
	both.Go(func() { d.retry(ctx, "presence", d.register) })
	both.Go(func() { d.retry(ctx, "key", d.loadKey) })
	both.Wait()
}

// until makes a call until it succeeds.
func (d *presenceDuty) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		d.log.V(1).Info("not registered yet", "what", what, "error", err.Error())
		wait.For(ctx, jitter(presenceRetryDelay))
	}
}

// keyPause is the longest pause before an instance makes the key that it has not found:
// all start together at times, and one of them is enough.
const keyCreateJitter = 1200 * time.Millisecond

// key reads the datagrams' key, or makes it if there is none.
func (d *presenceDuty) loadKey(ctx context.Context) error {
	o, err := d.readKey(ctx)
	if store.IsNotFound(err) {
		wait.For(ctx, time.Duration(randv2.Int64N(int64(keyCreateJitter))))
		o, err = d.readKey(ctx)
	}
	if store.IsNotFound(err) {
		o, err = d.createKey(ctx)
	}
	if store.IsConflict(err) {
		o, err = d.client.Get(ctx, store.KindPeerKey, peerKeyName)
	}
	if err != nil {
		return err
	}
	var k peerKey
	if err := json.Unmarshal(o.Spec, &k); err != nil {
		return &store.EncodeError{Kind: o.Kind, Name: o.Metadata.Name, Err: err}
	}
	key, err := peer.ParseKey(k.Key)
	if err != nil {
		return err
	}
	if bytes.Equal(key, d.ownKey) {
		return nil
	}
	d.ownKey = key
	d.log.Info("link between instances opens")
	return d.onKey(key)
}

// findKey reads the key. It never changes, so an old answer is as good.
func (d *presenceDuty) readKey(ctx context.Context) (store.Object, error) {
	return d.readStale(ctx, store.KindPeerKey, peerKeyName)
}

// readBehind reads an object, where an old answer is as good.
func (d *presenceDuty) readStale(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	if reader, offered := d.client.(store.StaleReader); offered {
		return reader.GetStale(ctx, kind, name)
	}
	return d.client.Get(ctx, kind, name)
}

func (d *presenceDuty) createKey(ctx context.Context) (store.Object, error) {
	key := d.ownKey
	if key == nil {
		key = make([]byte, peer.KeyBytes)
		if _, err := rand.Read(key); err != nil {
			return store.Object{}, err
		}
	}
	o, err := store.NewObject(store.KindPeerKey, peerKeyName, peerKey{Key: hex.EncodeToString(key)})
	if err != nil {
		return o, err
	}
	return d.writer.Create(ctx, o)
}

func (d *presenceDuty) register(ctx context.Context) error {
	o, err := store.NewObject(store.KindInstance, d.instance, d.self)
	if err != nil {
		return err
	}
	if old, err := d.readStale(ctx, store.KindInstance, d.instance); err == nil && d.isCurrent(old) {
		// A write would go to the watches of all instances.
		return nil
	}
	_, err = d.client.Create(ctx, o)
	if !store.IsConflict(err) {
		return err
	}
	old, err := d.client.Get(ctx, store.KindInstance, d.instance)
	if err != nil || d.isCurrent(old) {
		return err
	}
	o.Metadata.ResourceVersion = old.Metadata.ResourceVersion
	_, err = d.client.Update(ctx, o)
	return err
}

// same tells whether this instance's object is as it should be.
func (d *presenceDuty) isCurrent(o store.Object) bool {
	var known presence
	return json.Unmarshal(o.Spec, &known) == nil && known == d.self
}

// withdraw removes the instance's object, for a planned stop.
func (d *presenceDuty) withdraw(ctx context.Context) {
	if err := d.client.Delete(ctx, store.KindInstance, d.instance); err != nil && !store.IsNotFound(err) {
		d.log.Info("presence not withdrawn", "error", err.Error())
	}
}

// whoIsThereMayBeOld: instances that nobody hears count for nothing, and those
// that are heard tell where they are themselves.
func staleInstancesAllowed() bool { return true }

// watch follows the other instances.
func (d *presenceDuty) watch(ctx context.Context) {
	r := store.NewReflector(d.client, store.KindInstance, store.WatchOptions{AllowStale: staleInstancesAllowed, Now: d.link.now},
		func(l store.List) {
			d.link.listed(store.KindInstance, l)
			d.applyList(l)
		},
		func(e store.Event) {
			d.link.heard()
			switch e.Type {
			case store.EventBookmark:
				// Many instances start together; their entries gather meanwhile.
				wait.For(ctx, presenceBatchDelay)
			case store.EventDeleted:
				d.remove(e.Object.Metadata.Name)
			default:
				d.update(e.Object)
			}
		},
		func(err error) { d.link.failed(store.KindInstance, err) })
	r.Run(ctx)
}

// listed notes who is listed, and that all others are gone: where history was dropped
// nothing else tells.
func (d *presenceDuty) applyList(l store.List) {
	before := d.known
	d.known = make(map[string]bool, len(l.Items))
	for _, o := range l.Items {
		d.update(o)
	}
	for name := range before {
		if !d.known[name] {
			d.remove(name)
		}
	}
	d.initialListRead.Store(true)
}

func (d *presenceDuty) remove(instance string) {
	delete(d.known, instance)
	d.onInstance(instance, nil)
}

func (d *presenceDuty) update(o store.Object) {
	d.known[o.Metadata.Name] = true
	var p presence
	if err := json.Unmarshal(o.Spec, &p); err != nil {
		d.log.Error(err, "presence unreadable", "name", o.Metadata.Name)
		return
	}
	d.onInstance(o.Metadata.Name, &p)
}
