package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
	"github.com/eiderspring/eiderspring/wait"
)

const (
	// registerInterval is the time between two looks at the versions of the endpoints.
	registerInterval = 200 * time.Millisecond
	// registerRetry is the pause after a write or read that failed.
	registerRetry = time.Second
	// registerReadTimeout bounds the read for a request.
	registerReadTimeout = time.Second
)

// versionRegister follows the software versions of each pool, writes the entry in the store that names
// them where this instance holds the pool's lease, and reads entries for requests.
type versionRegister struct {
	client store.Client
	writer *store.Writer
	// holds reports whether this instance holds the lease of a pool; follows whether it knows of
	// changed endpoints in time.
	holds   func(pool string) bool
	follows func() bool
	// first reports whether this process has seen the deployment begin, era returns the era of the store.
	first func() bool
	era   func() int64
	view  func() *routing.View
	log   logr.Logger
	now   func() time.Time

	// pools belongs to the goroutine of run.
	pools map[string]*registeredPool
	// names are the versions that the entries are known to name.
	names *versionNames

	// mu guards the fields below.
	mu sync.Mutex
	// reads are the reads for requests, by pool.
	reads map[string]*sharedRead[*streamversion.Entry]
	// several holds the pools of which this instance has seen several versions lately, clear those whose
	// entry, when it was last read, told of one version only.
	several, clear map[string]bool
}

func newVersionRegister(client store.Client, log logr.Logger, now func() time.Time) *versionRegister {
	v := &versionRegister{
		client: client, writer: store.NewWriter(client), log: log, now: now,
		pools: map[string]*registeredPool{}, reads: map[string]*sharedRead[*streamversion.Entry]{},
		several: map[string]bool{}, clear: map[string]bool{},
	}
	v.names = newVersionNames(v)
	return v
}

// registeredPool is a pool that this instance follows.
type registeredPool struct {
	register *streamversion.Register
	// loaded is set while this instance holds the pool's lease and knows the entry; object is the
	// entry, nil if there is none.
	loaded bool
	object *store.Object
	// era is that of the store in the last step.
	era int64
	// retryAt is when the store is asked again after a failure.
	retryAt time.Time
}

// run follows the pools, and writes the entries of those that this instance holds.
func (v *versionRegister) run(ctx context.Context) {
	for wait.For(ctx, registerInterval) {
		for pool := range v.view().Pools {
			if v.follows() {
				v.update(ctx, pool)
			}
		}
	}
}

// update advances the register of a pool and, at the holder of its lease, writes the entry if that is
// to change.
func (v *versionRegister) update(ctx context.Context, pool string) {
	p := v.pools[pool]
	if p == nil {
		p = &registeredPool{register: streamversion.NewRegister()}
		v.pools[pool] = p
	}
	era := v.era()
	p.register.Step(v.now(), era, presentVersions(v.view(), pool))
	v.noteVersions(pool, p.register)
	if !v.holds(pool) || p.era != era {
		// The store may have come back with an earlier entry.
		p.loaded, p.era = false, era
		return
	}
	if v.now().Before(p.retryAt) || !p.loaded && !v.load(ctx, pool, p) {
		return
	}
	e, changed := p.register.Entry(v.first())
	if !changed {
		return
	}
	if err := v.write(ctx, pool, p, e); err != nil {
		v.log.Info("software versions not written", "pool", pool, "error", err.Error())
		p.loaded, p.retryAt = false, v.now().Add(jitter(registerRetry))
		return
	}
	v.log.Info("software versions", "pool", pool, "versions", e.Versions, "complete", e.Complete)
}

// load reads the entry of a pool, and reports whether that has succeeded.
func (v *versionRegister) load(ctx context.Context, pool string, p *registeredPool) bool {
	o, e, err := v.get(ctx, pool)
	if err != nil {
		v.log.Info("software versions not read", "pool", pool, "error", err.Error())
		p.retryAt = v.now().Add(jitter(registerRetry))
		return false
	}
	p.object, p.loaded = o, true
	p.register.Load(v.now(), e)
	return true
}

// get reads the entry of a pool; nil if there is none.
func (v *versionRegister) get(ctx context.Context, pool string) (*store.Object, *streamversion.Entry, error) {
	o, err := v.client.Get(ctx, store.KindSoftwareVersions, pool)
	if store.IsNotFound(err) {
		v.noteEntry(pool, nil)
		return nil, nil, nil
	}
	if err != nil {
		return nil, nil, err
	}
	var e streamversion.Entry
	if err := json.Unmarshal(o.Spec, &e); err != nil {
		return nil, nil, &store.EncodeError{Kind: store.KindSoftwareVersions, Name: pool, Err: err}
	}
	v.noteEntry(pool, &e)
	return &o, &e, nil
}

// write writes the entry of a pool, unless another instance has changed it meanwhile.
func (v *versionRegister) write(ctx context.Context, pool string, p *registeredPool, e streamversion.Entry) error {
	o, err := store.NewObject(store.KindSoftwareVersions, pool, e)
	if err != nil {
		return err
	}
	if p.object == nil {
		o, err = v.writer.Create(ctx, o)
	} else {
		o.Metadata.ResourceVersion = p.object.Metadata.ResourceVersion
		o, err = v.writer.Update(ctx, o)
	}
	if err != nil {
		return err
	}
	p.object = &o
	p.register.Load(v.now(), &e)
	v.noteEntry(pool, &e)
	v.names.add(p.era, pool, e.Versions)
	return nil
}

// presentVersions returns the software versions of a pool's endpoints, each once.
func presentVersions(view *routing.View, pool string) []string {
	var versions []string
	for _, e := range view.Pools[pool] {
		if !slices.Contains(versions, e.SoftwareVersion) {
			versions = append(versions, e.SoftwareVersion)
		}
	}
	return versions
}

// only returns the version at which all streams of a pool began that a request may ask for, by an entry
// that is read after the request has come; false if it is not certain that there is only one.
func (v *versionRegister) only(ctx context.Context, pool string) (string, bool) {
	e, err := v.freshEntry(ctx, pool)
	if err != nil {
		v.log.Info("software versions not read", "pool", pool, "error", err.Error())
		return "", false
	}
	if e == nil || !v.follows() {
		return "", false
	}
	return e.Only(v.era(), presentVersions(v.view(), pool))
}

// freshEntry returns the entry of a pool as of a read that begins after the call.
func (v *versionRegister) freshEntry(ctx context.Context, pool string) (*streamversion.Entry, error) {
	return v.readOf(pool).get(ctx)
}

// readDelay is the time in which requests come together for one read.
const readDelay = 5 * time.Millisecond

// readOf returns the read of a pool's entry that requests share.
func (v *versionRegister) readOf(pool string) *sharedRead[*streamversion.Entry] {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reads[pool] == nil {
		read := func(ctx context.Context) (*streamversion.Entry, error) {
			_, e, err := v.get(ctx, pool)
			return e, err
		}
		v.reads[pool] = &sharedRead[*streamversion.Entry]{read: read, delay: readDelay, timeout: registerReadTimeout}
	}
	return v.reads[pool]
}

// needsRecords reports whether the entry of a pool may not tell at which version its streams began, so that
// each beginning has to be recorded.
func (v *versionRegister) needsRecords(pool string) bool {
	if len(presentVersions(v.view(), pool)) > 1 {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.several[pool] || !v.clear[pool]
}

// noteEntry keeps whether an entry tells of one version only; nil for an entry that does not exist.
func (v *versionRegister) noteEntry(pool string, e *streamversion.Entry) {
	only := false
	if e != nil {
		_, only = e.Only(v.era(), nil)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clear[pool] = only
}

// noteVersions keeps whether this instance has seen several versions of a pool.
func (v *versionRegister) noteVersions(pool string, r *streamversion.Register) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.several[pool] = r.Several()
}
