package daemon

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// versionedStore is a store of hold objects with conditional updates. Each call takes a moment, so
// that calls overlap.
type versionedStore struct {
	store.Client
	mu      sync.Mutex
	objects map[string]store.Object
	version int
	down    bool
	// losesAnswers makes writes take effect without an answer.
	losesAnswers bool
}

const storeCallTime = 5 * time.Millisecond

// call runs a call that reads or changes an object.
func (s *versionedStore) call(name string, do func(o store.Object, exists bool) (store.Object, int)) (store.Object, error) {
	time.Sleep(storeCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Object{}, context.DeadlineExceeded
	}
	o, exists := s.objects[name]
	o, code := do(o, exists)
	if code != 0 {
		return o, &store.StatusError{Code: code, Kind: store.KindHold, Name: name}
	}
	return o, nil
}

func (s *versionedStore) Get(_ context.Context, _ store.Kind, name string) (store.Object, error) {
	return s.call(name, func(o store.Object, exists bool) (store.Object, int) {
		if !exists {
			return o, http.StatusNotFound
		}
		return o, 0
	})
}

func (s *versionedStore) Create(_ context.Context, created store.Object) (store.Object, error) {
	return s.answer(s.call(created.Metadata.Name, func(o store.Object, exists bool) (store.Object, int) {
		if exists {
			return o, http.StatusConflict
		}
		return s.write(created), 0
	}))
}

func (s *versionedStore) Update(_ context.Context, updated store.Object) (store.Object, error) {
	return s.answer(s.call(updated.Metadata.Name, func(o store.Object, exists bool) (store.Object, int) {
		if !exists || o.Metadata.ResourceVersion != updated.Metadata.ResourceVersion {
			return o, http.StatusConflict
		}
		return s.write(updated), 0
	}))
}

func (s *versionedStore) write(o store.Object) store.Object {
	s.version++
	o.Metadata.ResourceVersion = strconv.Itoa(s.version)
	s.objects[o.Metadata.Name] = o
	return o
}

// answer returns the answer to a write.
func (s *versionedStore) answer(o store.Object, err error) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.losesAnswers {
		return store.Object{}, &store.UnansweredError{Err: io.ErrUnexpectedEOF}
	}
	return o, err
}

func (s *versionedStore) Delete(_ context.Context, _ store.Kind, name string) error {
	_, err := s.call(name, func(o store.Object, exists bool) (store.Object, int) {
		delete(s.objects, name)
		return o, 0
	})
	return err
}

func (s *versionedStore) List(context.Context, store.Kind) (store.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l store.List
	for _, o := range s.objects {
		l.Items = append(l.Items, o)
	}
	return l, nil
}

// holdsFleet is instances that share a store and hear nothing of each other.
type holdsFleet struct {
	t     *testing.T
	store *versionedStore
	tasks []*holdsTask
	next  byte
}

func newHoldsFleet(t *testing.T, instances int) *holdsFleet {
	f := &holdsFleet{t: t, store: &versionedStore{objects: map[string]store.Object{}}}
	for range instances {
		f.tasks = append(f.tasks, f.start())
	}
	return f
}

// start starts the process of an instance, which reads what is held.
func (f *holdsFleet) start() *holdsTask {
	d := newHoldsTask(f.store, func() bool { return false })
	d.reports = ring.New[quarantine.Report](pendingHoldsCapacity, ring.DropOldest)
	d.manager = quarantine.NewManager(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: time.Now, Log: logr.Discard(), Trials: d,
		Persist: func(r quarantine.Report) { _ = d.reports.Put(context.Background(), r) },
	})
	require.NoError(f.t, d.read(context.Background(), false))
	return d
}

// request returns a new request with the guilty part.
func (f *holdsFleet) request() quarantine.Request {
	f.next++
	return quarantine.Request{Fingerprint: quarantine.Fingerprint{f.next}, Parts: []quarantine.Fingerprint{quarantine.PromptPartFingerprint([]byte("guilty"))}}
}

// hold holds the guilty part at the first instance, and writes that.
func (f *holdsFleet) hold() {
	for i := range int64(3) {
		f.tasks[0].manager.RecordTermination(f.request(), false, "e", i)
	}
	f.writeAll()
}

// writeAll writes what the instances have to persist.
func (f *holdsFleet) writeAll() {
	for _, d := range f.tasks {
		for d.reports.Len() > 0 {
			report, err := d.reports.Take(context.Background())
			require.NoError(f.t, err)
			require.NoError(f.t, d.put(context.Background(), report))
		}
	}
}

// admitted lets a request come at each instance at the same time, and returns the number of those
// that are not held.
func (f *holdsFleet) admitted() int {
	var done sync.WaitGroup
	var mu sync.Mutex
	admitted := 0
	for _, d := range f.tasks {
		r := f.request()
		done.Go(func() {
			err := d.manager.Begin(context.Background(), &quarantine.InFlight{}, r, func() {})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				admitted++
			}
		})
	}
	done.Wait()
	return admitted
}

// TestStoreGrantsEachTrialOnce lets several instances claim the trial of a held part at the same time,
// one of them restarted and none in contact with another. It guards against a trial by each, and
// against trials that a restart of all makes anew.
func TestStoreGrantsEachTrialOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHoldsFleet(t, 1)
		f.hold()
		for range 4 {
			f.tasks = append(f.tasks, f.start())
		}
		require.Zero(t, f.admitted())
		longest := quarantine.DefaultLimits.Hold * 3 / 2
		time.Sleep(longest)
		require.Equal(t, 1, f.admitted())
		require.Zero(t, f.admitted(), "until the trial's own hold is over")
		for i := range f.tasks {
			f.tasks[i] = f.start()
		}
		time.Sleep(longest)
		require.Zero(t, f.admitted())
		time.Sleep(8 * longest)
		require.Equal(t, 1, f.admitted())
		time.Sleep(64 * longest)
		require.Zero(t, f.admitted(), "no third trial")
	})
}

// TestLostAnswerOfTheStoreWastesNoTrial guards against a trial that was claimed and that no request
// makes, because the store's answer to the claim was lost.
func TestLostAnswerOfTheStoreWastesNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHoldsFleet(t, 1)
		f.store.losesAnswers = true
		f.hold()
		time.Sleep(quarantine.DefaultLimits.Hold * 3 / 2)
		require.Equal(t, 1, f.admitted())
	})
}

// TestStoreOutOfReachGrantsNoTrial guards against trials by all instances while the store is down.
func TestStoreOutOfReachGrantsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHoldsFleet(t, 1)
		f.hold()
		f.tasks = append(f.tasks, f.start())
		time.Sleep(quarantine.DefaultLimits.Hold * 3 / 2)
		f.store.down = true
		require.Zero(t, f.admitted())
		f.store.down = false
		require.Equal(t, 1, f.admitted())
	})
}

// TestHoldsOfSeveralInstancesAreMerged guards against a trial that is forgotten as another instance
// writes what it knows of the part, and against an object that stays when the part is cleared.
func TestHoldsOfSeveralInstancesAreMerged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHoldsFleet(t, 1)
		f.hold()
		f.tasks = append(f.tasks, f.start())
		time.Sleep(quarantine.DefaultLimits.Hold * 3 / 2)
		require.Equal(t, 1, f.admitted())
		other := f.start()
		for _, d := range f.tasks {
			reports := d.manager.HeldReports()
			for i := range reports {
				reports[i].TrialsMS = nil
				require.NoError(t, other.put(context.Background(), reports[i]))
			}
		}
		var o store.Object
		for _, o = range f.store.objects {
		}
		report, err := other.decode(o)
		require.NoError(t, err)
		require.Len(t, report.TrialsMS, 1)
		f.tasks[0].manager.RecordAnswer(f.request())
		f.writeAll()
		require.Empty(t, f.store.objects)
	})
}
