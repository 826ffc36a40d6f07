package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/store"
)

// An instance went while the store dropped its history, so nobody was told that its
// entry was removed, and the list that followed was only read for those that are in
// it. It was counted among the instances for good: the retries that all may make were
// divided among too many, and packets went to an address where nobody was.

// forgetfulStore lists fewer instances after it has dropped its history.
type forgetfulStore struct {
	store.Client
	mu    sync.Mutex
	lists [][]string
}

func (s *forgetfulStore) List(context.Context, store.Kind) (store.List, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := store.List{ResourceVersion: "1"}
	for _, name := range s.lists[0] {
		spec, err := json.Marshal(presence{Datagrams: name + ":1"})
		if err != nil {
			return l, err
		}
		l.Items = append(l.Items, store.Object{Metadata: store.Metadata{Name: name}, Spec: spec})
	}
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return l, nil
}

func (s *forgetfulStore) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, _ func(store.Event)) error {
	s.mu.Lock()
	last := len(s.lists) == 1
	s.mu.Unlock()
	if last {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(time.Second)
	return &store.StatusError{Code: 410}
}

func TestInstanceRemovedWithTheHistoryIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		m := &mesh{now: time.Now, listed: map[string]presence{}, onInstanceCount: func(int) {}}
		d := &presenceDuty{
			client: &forgetfulStore{lists: [][]string{{"n1", "n2", "n3"}, {"n1", "n3"}, {"n1", "n3"}}},
			link:   &storeLink{log: logr.Discard(), now: time.Now}, log: logr.Discard(), onInstance: m.updateInstance,
		}
		go d.watch(ctx)
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		require.Equal(t, 3, m.listedCount())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, 2, m.listedCount())
		stop()
		synctest.Wait()
	})
}

// keyStore has no key at first; reads that may be behind see it a while after it was made.
type keyStore struct {
	store.Client
	mu         sync.Mutex
	key        *store.Object
	createdAt  time.Time
	creates    int
	freshReads int
}

const keyVisibleAfter = 300 * time.Millisecond

func (s *keyStore) Get(context.Context, store.Kind, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.freshReads++
	if s.key == nil {
		return store.Object{}, &store.StatusError{Code: 404}
	}
	return *s.key, nil
}

func (s *keyStore) GetStale(context.Context, store.Kind, string) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.key == nil || time.Since(s.createdAt) < keyVisibleAfter {
		return store.Object{}, &store.StatusError{Code: 404}
	}
	return *s.key, nil
}

func (s *keyStore) ListStale(context.Context, store.Kind, string) (store.List, error) {
	return store.List{}, store.ErrOlder
}

func (s *keyStore) Create(_ context.Context, o store.Object) (store.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.creates++
	if s.key != nil {
		return store.Object{}, &store.StatusError{Code: 409}
	}
	s.key, s.createdAt = &o, time.Now()
	return o, nil
}

// Each of 295 instances that started together looked for the key of the datagrams, tried
// to make it and read it again. Now most find the one that a few have tried to make, and
// all have the same.
func TestFewCreateTheKeyAtACommonStart(t *testing.T) {
	const instances = 295
	synctest.Test(t, func(t *testing.T) {
		s := &keyStore{}
		var mu sync.Mutex
		keys := map[string]int{}
		for range instances {
			d := &presenceDuty{client: s, writer: store.NewWriter(s), log: logr.Discard(), onKey: func(key []byte) error {
				mu.Lock()
				defer mu.Unlock()
				keys[string(key)]++
				return nil
			}}
			go d.retry(t.Context(), "key", d.loadKey)
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Len(t, keys, 1, "all have the same key")
		for _, n := range keys {
			require.Equal(t, instances, n)
		}
		// A third of keyPause passes at most until the key that was made shows.
		require.Less(t, s.creates, instances/2)
		require.Less(t, s.freshReads, instances/2)
	})
}

// slowEntryStore answers for entries of instances late.
type slowEntryStore struct{ *keyStore }

func (s slowEntryStore) GetStale(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	if kind == store.KindInstance {
		time.Sleep(time.Second)
	}
	return s.keyStore.GetStale(ctx, kind, name)
}

// TestKeyIsNotReadBehindTheEntry guards against a link between instances that opens a call later
// than it can: behind a common start of hundreds of instances each call takes a tenth of a second
// and more.
func TestKeyReadDoesNotWaitForTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		made, err := store.NewObject(store.KindPeerKey, peerKeyName, peerKey{Key: hex.EncodeToString(make([]byte, peer.KeyBytes))})
		require.NoError(t, err)
		s := slowEntryStore{&keyStore{key: &made}}
		time.Sleep(keyVisibleAfter)
		began := time.Now()
		var opened time.Duration
		d := &presenceDuty{client: s, writer: store.NewWriter(s), instance: "i", log: logr.Discard(), onKey: func([]byte) error {
			opened = time.Since(began)
			return nil
		}}
		d.run(t.Context())
		require.GreaterOrEqual(t, time.Since(began), time.Second, "the entry was looked at")
		require.Less(t, opened, 100*time.Millisecond)
	})
}
