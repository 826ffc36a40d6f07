package daemon

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
)

// These tests guard against an instance that routes requests to an endpoint for 2 s after the
// store acknowledged its removal, while all other instances stop within 0.4 s. An entry that
// lapsed while the store was unreachable is kept for two seconds, so that its member can renew
// it. If a watch that began in the outage hangs until after its end, and the instance takes the
// return of its own watch for the return of the store, it mistakes a later removal for such a
// lapse. In the script below the store does not answer until 11.0 s, a watch that began in the
// outage and was last confirmed 8.2 s ago fails at 13.9 s, and the entry is removed at 14.3 s.
// The store answers the instance's lease calls from the end of the outage on; in the failure
// itself it had answered them since 12.1 s, before the watch failed.

// watchScript answers the watches of one kind with the timing above.
type watchScript struct {
	store.Client
	startedAt time.Time
	watches   int
}

func (s *watchScript) List(context.Context, store.Kind) (store.List, error) {
	return store.List{ResourceVersion: "1", Items: []store.Object{memberObject("e1"), memberObject("e2")}}, nil
}

var errSilent = errors.New("no answer")

func (s *watchScript) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, handle func(store.Event)) error {
	s.watches++
	switch s.watches {
	case 1:
		s.until(ctx, 10*time.Second)
		return errSilent
	case 2:
		s.until(ctx, 13900*time.Millisecond)
		return errSilent
	}
	handle(bookmark("2"))
	s.until(ctx, 14300*time.Millisecond)
	handle(store.Event{Type: store.EventDeleted, Object: memberObject("e1")})
	handle(bookmark("3"))
	<-ctx.Done()
	return ctx.Err()
}

// until waits until a time after the start of the script.
func (s *watchScript) until(ctx context.Context, at time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(s.startedAt.Add(at))):
	}
}

// lapseScript has a short outage in which the entry of e1 lapses.
type lapseScript struct {
	watchScript
	storeLink *storeLink
}

func (s *lapseScript) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, handle func(store.Event)) error {
	s.watches++
	if s.watches == 1 {
		s.until(ctx, 5*time.Second)
		return errSilent
	}
	s.storeLink.callAnswered()
	handle(store.Event{Type: store.EventDeleted, Object: memberObject("e1")})
	handle(bookmark("2"))
	<-ctx.Done()
	return ctx.Err()
}

func memberObject(name string) store.Object {
	return store.Object{Metadata: store.Metadata{Name: name, ResourceVersion: "1"}}
}

func bookmark(version string) store.Event {
	return store.Event{Type: store.EventBookmark, Object: store.Object{Metadata: store.Metadata{ResourceVersion: version}}}
}

func liveMember(o store.Object) (membership.Member, error) {
	return membership.Member{Name: o.Metadata.Name, Incarnation: o.Metadata.Name, Pool: "plain", State: membership.Live}, nil
}

// lastListedNames returns the names of the newest queued listing; last if none is queued.
func lastListedNames(events *ring.Ring[event], last []string) []string {
	for events.Len() > 0 {
		e, err := events.Take(context.Background())
		if err != nil {
			return last
		}
		last = nil
		for _, m := range e.(membersListed).listing.Members {
			last = append(last, m.Name)
		}
	}
	return last
}

// newEntriesTask returns a task that follows the entries of a store.
func newEntriesTask(client store.Client, link *storeLink) *entriesTask {
	return &entriesTask{
		client: client, decode: liveMember, entries: membership.NewEntries(), storeLink: link, log: logr.Discard(), now: time.Now,
		inputs: ring.New[membership.EntryEvent](entryInputCapacity, ring.Block), events: ring.New[event](eventsCapacity, ring.Block),
		allowStale: func() bool { return false }, holderStoreBackSince: func() time.Time { return time.Time{} },
	}
}

// renew makes the store answer lease calls, on another connection, except during an outage
// between two times.
func (s *watchScript) renew(ctx context.Context, link *storeLink, from, to time.Duration) {
	for at := range 40 {
		moment := time.Duration(at) * leaseRenewal
		s.until(ctx, moment)
		link.callStarted(0)
		if moment < from || moment > to {
			link.callAnswered()
		}
	}
}

func TestEndpointThatLeavesAfterAnOutageIsNotTakenForLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		session := &watchScript{startedAt: time.Now()}
		link := &storeLink{log: logr.Discard(), now: time.Now}
		d := newEntriesTask(session, link)
		go d.watch(ctx)
		go d.run(ctx)
		go session.renew(ctx, link, 6*time.Second, 11*time.Second)
		session.until(ctx, 14200*time.Millisecond)
		synctest.Wait()
		live := lastListedNames(d.events, nil)
		require.ElementsMatch(t, []string{"e1", "e2"}, live)
		session.until(ctx, 15*time.Second)
		synctest.Wait()
		require.Equal(t, []string{"e2"}, lastListedNames(d.events, live))
		stop()
		synctest.Wait()
	})
}

// An entry that lapsed while the store was unreachable for some seconds is kept until its
// member has had the time to renew it, and is then removed.
func TestEntryThatLapsedInAnOutageIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		link := &storeLink{log: logr.Discard(), now: time.Now}
		session := &lapseScript{watchScript{startedAt: time.Now()}, link}
		d := newEntriesTask(session, link)
		go d.watch(ctx)
		go d.run(ctx)
		go session.renew(ctx, link, 2*time.Second, 5*time.Second)
		session.until(ctx, 7500*time.Millisecond)
		synctest.Wait()
		live := lastListedNames(d.events, nil)
		require.ElementsMatch(t, []string{"e1", "e2"}, live)
		session.until(ctx, 9*time.Second)
		synctest.Wait()
		require.Equal(t, []string{"e2"}, lastListedNames(d.events, live))
		stop()
		synctest.Wait()
	})
}
