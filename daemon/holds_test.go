package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// holdStore is a store of hold objects.
type holdStore struct {
	store.Client
	mu      sync.Mutex
	objects map[string]store.Object
	lists   int
}

// listed returns how often the objects were listed.
func (s *holdStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *holdStore) List(context.Context, store.Kind) (store.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	var l store.List
	for _, o := range s.objects {
		l.Items = append(l.Items, o)
	}
	return l, nil
}

func (s *holdStore) Get(_ context.Context, _ store.Kind, name string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[name], nil
}

func (s *holdStore) Create(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, there := s.objects[o.Metadata.Name]; there {
		return o, &store.StatusError{Code: 409, Kind: o.Kind, Name: o.Metadata.Name}
	}
	o.Metadata.ResourceVersion = "1"
	s.objects[o.Metadata.Name] = o
	return o, nil
}

func (s *holdStore) Update(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[o.Metadata.Name] = o
	return o, nil
}

func (s *holdStore) Delete(_ context.Context, _ store.Kind, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

func newHoldsTask(s store.Client, isolated func() bool) *holdsTask {
	d := &holdsTask{
		client: s, writer: store.NewWriter(s), reports: ring.New[quarantine.Report](pendingHoldsCapacity, ring.DropOldest), isolated: isolated,
		retention: quarantine.DefaultLimits.Retention(), log: logr.Discard(), timeOfDay: time.Now,
	}
	d.manager = quarantine.NewManager(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: time.Now, Log: logr.Discard(), Persist: func(report quarantine.Report) { _ = d.reports.Put(context.Background(), report) },
	})
	return d
}

// TestIsolatedInstanceLearnsFromTheStore quarantines a request at one instance while another has
// contact with none. That one must learn of the hold from the store within three read
// intervals, and must stop reading once it has contact again.
func TestIsolatedInstanceLearnsFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		s := &holdStore{objects: map[string]store.Object{}}
		var isolated atomic.Bool
		here, there := newHoldsTask(s, func() bool { return false }), newHoldsTask(s, isolated.Load)
		go there.run(ctx)
		time.Sleep(time.Minute)
		require.Equal(t, 1, s.listed(), "one read at the start")
		isolated.Store(true)
		f := quarantine.Fingerprint{1, 2, 3}
		for i := range int64(3) {
			here.manager.RecordTermination(quarantine.Request{Fingerprint: f, Account: "account"}, false, "e", i)
		}
		go here.write(ctx)
		synctest.Wait()
		time.Sleep(3 * holdsReadInterval)
		require.Equal(t, 1, there.manager.Stats().Held)
		isolated.Store(false)
		time.Sleep(2 * holdsReadInterval)
		before := s.listed()
		time.Sleep(time.Minute)
		require.Equal(t, before, s.listed())
		stop()
		synctest.Wait()
	})
}

// TestOldHoldsAreRemoved writes a request twice, beside objects whose terminations have expired
// and objects that cannot be read. The expired ones must be removed and the others kept.
func TestOldHoldsAreRemoved(t *testing.T) {
	s := &holdStore{objects: map[string]store.Object{}}
	d := newHoldsTask(s, func() bool { return false })
	spec := func(text string) store.Object { return store.Object{Spec: json.RawMessage(text)} }
	for name, o := range map[string]store.Object{
		"00000000000000000000000000000001": spec(`{"endpoints":["1"],"endedMS":[1000]}`),
		"not-a-fingerprint":                spec(`{"endpoints":["1"],"endedMS":[1000]}`),
		"00000000000000000000000000000002": spec(`"nothing"`),
		"00000000000000000000000000000003": spec(`{"endpoints":["1"],"endedMS":[]}`),
	} {
		o.Metadata.Name = name
		s.objects[name] = o
	}
	report := quarantine.Report{Fingerprint: make([]byte, quarantine.FingerprintBytes), Incarnations: []uint64{1 << 63}, AgesMS: []int64{5}}
	require.NoError(t, d.put(context.Background(), report))
	report.Incarnations, report.AgesMS = append(report.Incarnations, 2), append(report.AgesMS, 1)
	require.NoError(t, d.put(context.Background(), report))
	require.NotContains(t, s.objects, "00000000000000000000000000000001")
	require.Len(t, s.objects, 4, "unreadable objects are kept")
	require.NoError(t, d.read(context.Background(), false))
	require.Equal(t, 1, d.manager.Stats().Known)
	got, err := d.decode(s.objects["00000000000000000000000000000000"])
	require.NoError(t, err)
	require.Equal(t, report.Incarnations, got.Incarnations)
}
