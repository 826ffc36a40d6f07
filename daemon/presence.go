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

// presence is the spec of an instance's object: where other instances reach it.
type presence struct {
	Datagrams string `json:"datagrams"`
	// Streams is where it accepts streams; empty if it does not.
	Streams       string `json:"streams,omitempty"`
	FailureDomain string `json:"failureDomain,omitempty"`
	// Cores is the processor time that the instance has.
	Cores float64 `json:"cores"`
}

// peerKey is the spec of the object that holds the key of the datagrams.
type peerKey struct {
	Key string `json:"key"`
}

// peerKeyName is the name of the only object of its kind.
const peerKeyName = "datagrams"

// presenceTask registers this instance in the store and follows the entries of the others. It
// writes when the instance first starts and when it stops; after a crash, a restarted instance
// finds its entry unchanged.
type presenceTask struct {
	client    store.Client
	writer    *store.Writer
	instance  string
	self      presence
	storeLink *storeLink
	log       logr.Logger
	// onKey receives the key of the datagrams, onInstance the entry of an instance; nil means
	// that it was removed.
	onKey      func(key []byte) error
	onInstance func(instance string, p *presence)
	// running is held while run executes, which happens again in each era of the store.
	running sync.Mutex
	// ownKey is the key of the datagrams that is in use: a store restored from a copy may have
	// lost it. Only run uses it.
	ownKey []byte
	// initialListRead is set once the list has been read.
	initialListRead atomic.Bool
	// known holds the instances that have entries; only the watch uses it.
	known map[string]bool
}

// presenceBatchDelay is how long changes of entries are batched.
const presenceBatchDelay = time.Second

// presenceRetryDelay is the pause before a failed call is repeated.
const presenceRetryDelay = 500 * time.Millisecond

func (d *presenceTask) run(ctx context.Context) {
	d.running.Lock()
	defer d.running.Unlock()
	// The two calls run concurrently: when many instances start together, each call waits for
	// the store's link.
	var both sync.WaitGroup
	both.Go(func() { d.retry(ctx, "presence", d.register) })
	both.Go(func() { d.retry(ctx, "key", d.loadKey) })
	both.Wait()
}

// retry makes a call until it succeeds.
func (d *presenceTask) retry(ctx context.Context, what string, call func(context.Context) error) {
	for ctx.Err() == nil {
		err := call(ctx)
		if err == nil {
			return
		}
		d.log.V(1).Info("registration failed; retrying", "what", what, "error", err.Error())
		wait.For(ctx, jitter(presenceRetryDelay))
	}
}

// keyCreateJitter is the longest pause before an instance creates a key that it has not found:
// instances may all start together, and one key is enough.
const keyCreateJitter = 1200 * time.Millisecond

// loadKey reads the key of the datagrams, or creates it if there is none.
func (d *presenceTask) loadKey(ctx context.Context) error {
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
	if err := d.onKey(key); err != nil {
		// The key does not count as in use, so that the next try opens the links again.
		d.log.Error(err, "links not opened with the datagram key")
		return err
	}
	d.ownKey = key
	d.log.Info("datagram key loaded")
	return nil
}

// readKey reads the key. It never changes, so a stale answer is as good.
func (d *presenceTask) readKey(ctx context.Context) (store.Object, error) {
	return d.readStale(ctx, store.KindPeerKey, peerKeyName)
}

// readStale reads an object if a stale answer is as good.
func (d *presenceTask) readStale(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	if reader, offered := d.client.(store.StaleReader); offered {
		return reader.GetStale(ctx, kind, name)
	}
	return d.client.Get(ctx, kind, name)
}

func (d *presenceTask) createKey(ctx context.Context) (store.Object, error) {
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

func (d *presenceTask) register(ctx context.Context) error {
	o, err := store.NewObject(store.KindInstance, d.instance, d.self)
	if err != nil {
		return err
	}
	if old, err := d.readStale(ctx, store.KindInstance, d.instance); err == nil && d.isCurrent(old) {
		// A write would be delivered to the watches of all instances.
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

// isCurrent reports whether the object of this instance in the store is up to date.
func (d *presenceTask) isCurrent(o store.Object) bool {
	var known presence
	return json.Unmarshal(o.Spec, &known) == nil && known == d.self
}

// withdraw removes the instance's object, for a planned stop.
func (d *presenceTask) withdraw(ctx context.Context) {
	if err := d.client.Delete(ctx, store.KindInstance, d.instance); err != nil && !store.IsNotFound(err) {
		d.log.Info("instance entry not removed", "error", err.Error())
	}
}

// staleInstancesAllowed permits stale lists of instances: those that are not in contact are
// ignored, and those in contact report their addresses themselves.
func staleInstancesAllowed() bool { return true }

// watch follows the entries of the other instances.
func (d *presenceTask) watch(ctx context.Context) {
	r := store.NewReflector(d.client, store.KindInstance, store.WatchOptions{AllowStale: staleInstancesAllowed, Now: d.storeLink.now, FirstListTimeout: checkStoreTimeout},
		func(l store.List) {
			d.storeLink.listReceived(store.KindInstance, l)
			d.applyList(l)
		},
		func(e store.Event) {
			d.storeLink.markReachable()
			switch e.Type {
			case store.EventBookmark:
				// Many instances start together; their entries are batched meanwhile.
				wait.For(ctx, presenceBatchDelay)
			case store.EventDeleted:
				d.remove(e.Object.Metadata.Name)
			default:
				d.update(e.Object)
			}
		},
		func(err error) { d.storeLink.watchFailed(store.KindInstance, err) })
	r.Run(ctx)
}

// applyList records the listed instances and removes all others: if the store has dropped its
// history, no event reports their removal.
func (d *presenceTask) applyList(l store.List) {
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

func (d *presenceTask) remove(instance string) {
	delete(d.known, instance)
	d.onInstance(instance, nil)
}

func (d *presenceTask) update(o store.Object) {
	d.known[o.Metadata.Name] = true
	var p presence
	if err := json.Unmarshal(o.Spec, &p); err != nil {
		d.log.Error(err, "invalid instance entry", "name", o.Metadata.Name)
		return
	}
	d.onInstance(o.Metadata.Name, &p)
}
