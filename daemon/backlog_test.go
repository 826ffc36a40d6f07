package daemon

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// These tests guard against running out of memory after an outage of the store. The first
// watch response then brings all changes of the outage. If each changed entry yields a list of
// all endpoints, and each list is copied for the engines' controller faster than either is used,
// memory grows with changes times endpoints: after an outage of 9.2 s, two of 90 instances
// reached 184 MB in place of the usual 24 MB within half a second, and were killed with all their
// requests. Of several settings in one response (three arrived within a millisecond) only the
// newest may be decoded.

// backlogStore serves watches whose first response brings many changes.
type backlogStore struct {
	store.Client
	list    []store.Object
	backlog []store.Event
	answers int
	// consumed is set once the whole backlog was handled.
	consumed bool
}

func (s *backlogStore) List(context.Context, store.Kind) (store.List, error) {
	return store.List{ResourceVersion: "1", Items: s.list}, nil
}

func (s *backlogStore) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, handle func(store.Event)) error {
	s.answers++
	if s.answers == 1 {
		for _, e := range s.backlog {
			handle(e)
		}
		handle(bookmark("2"))
		s.consumed = true
	}
	<-ctx.Done()
	return ctx.Err()
}

func TestBacklogOfEntriesMakesOneList(t *testing.T) {
	const endpoints, rounds = 150, 20
	s := &backlogStore{}
	slots := 0
	for i := range endpoints {
		s.list = append(s.list, memberObject(fmt.Sprintf("e%d", i)))
	}
	for range rounds {
		for _, o := range s.list {
			s.backlog = append(s.backlog, store.Event{Type: store.EventModified, Object: o})
		}
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		d := &entriesTask{
			client: s, entries: membership.NewEntries(), storeLink: &storeLink{log: logr.Discard(), now: time.Now}, log: logr.Discard(), now: time.Now,
			inputs: ring.New[membership.EntryEvent](entryInputCapacity, ring.Block), events: ring.New[event](eventsCapacity, ring.Block),
			allowStale: func() bool { return false }, holderStoreBackSince: func() time.Time { return time.Time{} },
			decode: func(o store.Object) (membership.Member, error) {
				// Make each decoded entry differ from the previous ones.
				slots++
				m, err := liveMember(o)
				m.Slots = slots
				return m, err
			},
		}
		go d.watch(ctx)
		go d.run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.True(t, s.consumed, "the watch must not wait for the view")
		require.LessOrEqual(t, d.events.Len(), 2, "lists queued for the view")
		stop()
		synctest.Wait()
	})
}

func TestBacklogOfSettingsYieldsTheNewest(t *testing.T) {
	const versions = 50
	s := &backlogStore{}
	for v := range versions {
		o := memberObject("main")
		o.Metadata.ResourceVersion = fmt.Sprint(v + 1)
		s.backlog = append(s.backlog, store.Event{Type: store.EventModified, Object: o}, store.Event{Type: store.EventModified, Object: memberObject("other")})
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var decoded []string
		d := &settingsWatch{
			client: s, name: "main", log: logr.Discard(), storeLink: &storeLink{log: logr.Discard(), now: time.Now},
			events: ring.New[event](eventsCapacity, ring.Block), allowStale: func() bool { return false },
			decode: func(o store.Object) (*revision.Accepted, error) {
				decoded = append(decoded, o.Metadata.ResourceVersion)
				return &revision.Accepted{}, nil
			},
		}
		go d.run(ctx)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{fmt.Sprint(versions)}, decoded)
		stop()
		synctest.Wait()
	})
}
