package daemon

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
	"github.com/eiderspring/eiderspring/wait"
)

const (
	// maxNamingWait bounds how long the first event of a stream waits until the store names its
	// version.
	maxNamingWait = 250 * time.Millisecond
	// namingSpread is the time within which instances that miss the same version write it: the first
	// write spares the others theirs.
	namingSpread = 100 * time.Millisecond
	// namedFor is for how long it counts that an entry named a version: a holder leaves out versions that
	// have been gone for streamversion.MaxKeep.
	namedFor = streamversion.MaxKeep / 2
)

// versionNames makes sure that the entry of a pool names a version before a stream begins at it. The holder
// of the lease names the versions that it sees, but there may be none, and this instance may end together
// with all others: then the entry alone tells that the version existed.
type versionNames struct {
	register *versionRegister

	// mu guards the fields below.
	mu sync.Mutex
	// named holds when entries were last known to name a version, pending the namings under way.
	named   map[versionName]time.Time
	pending map[versionName]*naming
	// restUntil is until when streams of a pool begin without a wait, as its entry could not be read or
	// written, or does not exist: then no version is taken for the only one.
	restUntil map[string]time.Time
}

// versionName is a version of a pool, as named in an era of the store.
type versionName struct {
	era           int64
	pool, version string
}

// naming is closed when an attempt to have a version named has ended.
type naming struct{ done chan struct{} }

func newVersionNames(r *versionRegister) *versionNames {
	return &versionNames{register: r, named: map[versionName]time.Time{}, pending: map[versionName]*naming{}, restUntil: map[string]time.Time{}}
}

// add records that the entry of a pool names versions.
func (n *versionNames) add(era int64, pool string, versions []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.register.now()
	maps.DeleteFunc(n.named, func(_ versionName, at time.Time) bool { return now.Sub(at) >= namedFor })
	for _, version := range versions {
		n.named[versionName{era, pool, version}] = now
	}
}

// await waits until the entry of a pool names a version, for at most maxNamingWait. Only the first streams
// at a version wait.
func (n *versionNames) await(ctx context.Context, pool, version string) {
	pending := n.start(versionName{n.register.era(), pool, version})
	if pending == nil {
		return
	}
	timer := time.NewTimer(maxNamingWait)
	defer timer.Stop()
	select {
	case <-pending.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// start returns the attempt to have a version named that is under way or begins now; nil if none is
// needed, or possible at present.
func (n *versionNames) start(name versionName) *naming {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.register.now()
	if at, named := n.named[name]; named && now.Sub(at) < namedFor || now.Before(n.restUntil[name.pool]) {
		return nil
	}
	if pending := n.pending[name]; pending != nil {
		return pending
	}
	pending := &naming{done: make(chan struct{})}
	n.pending[name] = pending
	go n.run(name, pending)
	return pending
}

// run has a version named, or lets streams begin without for registerRetry.
func (n *versionNames) run(name versionName, pending *naming) {
	defer close(pending.done)
	ctx, cancel := context.WithTimeout(context.Background(), registerReadTimeout)
	defer cancel()
	named, err := n.ensure(ctx, name)
	if err != nil {
		n.register.log.Info("software version not named", "pool", name.pool, "version", name.version, "error", err.Error())
	}
	if named {
		n.add(name.era, name.pool, []string{name.version})
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pending, name)
	if !named {
		n.restUntil[name.pool] = n.register.now().Add(registerRetry)
	}
}

// ensure reads the entry of a pool, and writes it with the version if it lacks it for longer than others
// may take to write it. It reports whether the entry names the version; there may be none.
func (n *versionNames) ensure(ctx context.Context, name versionName) (bool, error) {
	for waited := false; ; waited = true {
		o, e, err := n.register.get(ctx, name.pool)
		if err != nil || e == nil {
			return false, err
		}
		if e.Names(name.version) {
			return true, nil
		}
		if !waited {
			wait.For(ctx, jitter(namingSpread))
			continue
		}
		err = n.write(ctx, *o, e.With(name.version))
		if !store.IsConflict(err) {
			return err == nil, err
		}
	}
}

// write replaces an entry as it was read.
func (n *versionNames) write(ctx context.Context, o store.Object, e streamversion.Entry) error {
	updated, err := store.NewObject(store.KindSoftwareVersions, o.Metadata.Name, e)
	if err != nil {
		return err
	}
	updated.Metadata.ResourceVersion = o.Metadata.ResourceVersion
	_, err = n.register.writer.Update(ctx, updated)
	return err
}
