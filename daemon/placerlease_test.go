package daemon

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/placement/counted"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// leaseStore holds one lease object.
type leaseStore struct {
	store.Client
	mu      sync.Mutex
	object  store.Object
	version int64
}

// Get implements store.Client.
func (s *leaseStore) Get(context.Context, store.Kind, string) (store.Object, error) {
	time.Sleep(answerLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == 0 {
		return store.Object{}, &store.StatusError{Code: 404, Kind: store.KindLease}
	}
	return s.object, nil
}

// Create implements store.Client.
func (s *leaseStore) Create(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, "")
}

// Update implements store.Client.
func (s *leaseStore) Update(_ context.Context, o store.Object) (store.Object, error) {
	return s.write(o, o.Metadata.ResourceVersion)
}

func (s *leaseStore) write(o store.Object, onlyAt string) (store.Object, error) {
	time.Sleep(answerLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if onlyAt != s.object.Metadata.ResourceVersion {
		return store.Object{}, &store.StatusError{Code: 409, Kind: store.KindLease}
	}
	s.version++
	o.Metadata.ResourceVersion = strconv.FormatInt(s.version, 10)
	s.object = o
	return o, nil
}

// TestBusyPlacerKeepsItsLease guards against a lease that is not renewed while its placer is
// busy and the placer's ring full, when the lease is acquired and later.
func TestBusyPlacerKeepsItsLease(t *testing.T) {
	for name, fullFor := range map[string]time.Duration{"full before it is acquired": 0, "full after it is acquired": time.Second} {
		t.Run(name, func(t *testing.T) {
			var expired time.Duration
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				p := newBusyPlacer()
				leases := &leaseStore{}
				p.runner = lease.NewRunner(lease.RunnerConfig{
					Name: "cell-pool", Client: leases, Now: time.Now, Changed: p.leaseChanged, Tick: leaseCheckInterval, Campaign: func() bool { return true },
					Lease: lease.Config{Holder: "i0", Duration: leaseDuration, RenewEvery: leaseRenewal, ClockDrift: leaseDrift},
				})
				go func() {
					time.Sleep(fullFor)
					p.report(ctx, 3000)
				}()
				time.Sleep(10 * time.Millisecond)
				go p.run(ctx)
				go p.runner.Run(ctx)
				for range 200 {
					time.Sleep(50 * time.Millisecond)
					if h, held := p.runner.Hold(); held && !time.Now().Before(h.Until) {
						expired += 50 * time.Millisecond
					}
				}
				stop()
				time.Sleep(30 * time.Second)
				synctest.Wait()
			})
			require.Zero(t, expired, "the instance considers itself the holder of a lease that has expired")
		})
	}
}

// TestHolderIsKnownWhileListsAreCopied guards against packets and calls to the store, the renewal
// of the lease among them, that wait for the lock under which the placers' lists are copied. If
// holds waits for it, the test does not end.
func TestHolderIsKnownWhileListsAreCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		runner := lease.NewRunner(lease.RunnerConfig{
			Name: "cell-pool", Client: &leaseStore{}, Now: time.Now, Changed: func(lease.Action) {}, Tick: leaseCheckInterval,
			Campaign: func() bool { return true },
			Lease:    lease.Config{Holder: "i0", Duration: leaseDuration, RenewEvery: leaseRenewal, ClockDrift: leaseDrift},
		})
		p := &placers{running: map[string]*placer{}}
		require.False(t, p.holds(), "no pool is known")
		p.add("pool", &placer{runner: runner})
		p.mu.Lock()
		defer p.mu.Unlock()
		require.False(t, p.holds(), "the lease is not acquired")
		go runner.Run(ctx)
		time.Sleep(leaseDuration)
		require.True(t, p.holds())
		stop()
		time.Sleep(time.Second)
		synctest.Wait()
		require.False(t, p.holds(), "the lease is released")
	})
}

// newBusyPlacer returns a placer that takes busyStep for each event.
func newBusyPlacer() *placer {
	return &placer{
		events: ring.New[counted.Event](placerEventsCapacity, ring.Block), log: logr.Discard(),
		controller: counted.NewController(counted.Config{}), announce: func([]outgoingPlacement) {},
		now: func() time.Time {
			time.Sleep(busyStep)
			return time.Now()
		},
	}
}

// report lets endpoints report, each reportEvery.
func (p *placer) report(ctx context.Context, endpoints int) {
	for n := range endpoints {
		go func() {
			// The first reports come together, as those that a new holder requests.
			for ctx.Err() == nil {
				_ = p.events.Put(ctx, counted.ReportReply{Endpoint: strconv.Itoa(n)})
				time.Sleep(reportEvery)
			}
		}()
	}
}
