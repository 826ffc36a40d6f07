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

// An instance sent requests to an endpoint 2.0 s after the store had acknowledged
// that it was gone; all others had stopped within 0.4 s. The store had been silent
// until 11.0 s. The instance's watch of endpoints had begun in the silence, and as
// nobody answers such a call it was given up only at 13.9 s, though the store had
// answered the instance's lease since 12.1 s:
//
//	12.1166 msg="lease acquired" epoch=2
//	13.8966 msg="watch ended" kind=servers confirmed_ms=8241 error="... context deadline exceeded"
//	14.0169 msg="store regained" away_ms=120
//	14.3651 msg="endpoint leaves" by="its entry" state=gone        (another instance)
//	16.4246 msg="endpoint leaves" by="its entry" state=gone        (this one)
//
// It took the return of its own watch for the return of the store. So it took the
// entry that was removed at 14.3 s for one that had lapsed while the store was away,
// and kept the endpoint for the two seconds that such an entry has to come back.

// watchSession answers the watches of one kind as the session above has it.
type watchSession struct {
	store.Client
	began   time.Time
	watches int
}

func (s *watchSession) List(context.Context, store.Kind) (store.List, error) {
	return store.List{ResourceVersion: "1", Items: []store.Object{memberObject("e1"), memberObject("e2")}}, nil
}

var errSilent = errors.New("no answer")

func (s *watchSession) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, handle func(store.Event)) error {
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

// until waits for a moment of the session.
func (s *watchSession) until(ctx context.Context, at time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(s.began.Add(at))):
	}
}

// lapseSession is a short outage in which the entry of e1 lapses.
type lapseSession struct {
	watchSession
	link *storeLink
}

func (s *lapseSession) Watch(ctx context.Context, _ store.Kind, _ string, _ store.WatchOptions, handle func(store.Event)) error {
	s.watches++
	if s.watches == 1 {
		s.until(ctx, 5*time.Second)
		return errSilent
	}
	s.link.callAnswered()
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

// namesListed returns the names of the newest listing.
func namesListed(events *ring.Ring[event], last []string) []string {
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

// entriesOf returns a duty that follows the entries of a session.
func entriesOf(session store.Client, link *storeLink) *entriesDuty {
	return &entriesDuty{
		client: session, decode: liveMember, entries: membership.NewEntries(), link: link, log: logr.Discard(), now: time.Now,
		inputs: ring.New[membership.EntryEvent](entryInputCapacity, ring.Block), events: ring.New[event](eventsCapacity, ring.Block),
		allowStale: func() bool { return false }, holderStoreBackSince: func() time.Time { return time.Time{} },
	}
}

// renew answers the lease, on another connection, but for the time of an outage.
func (s *watchSession) renew(ctx context.Context, link *storeLink, from, to time.Duration) {
	for at := range 40 {
		moment := time.Duration(at) * leaseRenewal
		s.until(ctx, moment)
		link.callStarted(0)
		if moment < from || moment > to {
			link.callAnswered()
		}
	}
}

func TestEndpointThatLeavesBehindAnOutageIsNotTakenForLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		session := &watchSession{began: time.Now()}
		link := &storeLink{log: logr.Discard(), now: time.Now}
		d := entriesOf(session, link)
		go d.watch(ctx)
		go d.run(ctx)
		go session.renew(ctx, link, 6*time.Second, 11*time.Second)
		session.until(ctx, 14200*time.Millisecond)
		synctest.Wait()
		live := namesListed(d.events, nil)
		require.ElementsMatch(t, []string{"e1", "e2"}, live)
		session.until(ctx, 15*time.Second)
		synctest.Wait()
		require.Equal(t, []string{"e2"}, namesListed(d.events, live))
		stop()
		synctest.Wait()
	})
}

// An entry that lapsed while the store was away for some seconds is kept until its
// member has had the time to renew it, and then goes.
func TestEntryThatLapsedInAnOutageIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		link := &storeLink{log: logr.Discard(), now: time.Now}
		session := &lapseSession{watchSession{began: time.Now()}, link}
		d := entriesOf(session, link)
		go d.watch(ctx)
		go d.run(ctx)
		go session.renew(ctx, link, 2*time.Second, 5*time.Second)
		session.until(ctx, 7500*time.Millisecond)
		synctest.Wait()
		live := namesListed(d.events, nil)
		require.ElementsMatch(t, []string{"e1", "e2"}, live)
		session.until(ctx, 9*time.Second)
		synctest.Wait()
		require.Equal(t, []string{"e2"}, namesListed(d.events, live))
		stop()
		synctest.Wait()
	})
}
