package daemon

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// takeoverReplies is the number of inventories that a cell requests at once when it is taken over,
// one of each endpoint.
const takeoverReplies = 3000

// newBusyCell returns a cell that takes busyStep for each event, and the cells of its instance.
func newBusyCell() (*cellTask, *cells) {
	objects := &leaseStore{}
	d := &cellTask{
		cell: "pool", client: objects, writer: store.NewWriter(objects), events: ring.New[placement.Event](cellEventsCapacity, ring.Block), log: logr.Discard(),
		controller: placement.NewController(placement.DefaultControllerConfig("pool", "i0/1/p")),
		now: func() time.Time {
			time.Sleep(busyStep)
			return time.Now()
		},
	}
	return d, &cells{name: "i0", log: logr.Discard(), stopping: func() bool { return false }, running: map[string]*cellTask{"pool": d}, instances: []string{"i0"}}
}

// replyAtOnce lets all endpoints reply together.
func (d *cellTask) replyAtOnce(ctx context.Context) {
	for n := range takeoverReplies {
		go func() { _ = d.events.Put(ctx, placement.InventoryReply{Endpoint: strconv.Itoa(n)}) }()
	}
}

// TestBusyCellDelaysNoView guards against settings and leaving endpoints that are late because the
// view waits until a busy cell takes the settings and the list.
func TestBusyCellDelaysNoView(t *testing.T) {
	var inForce, left bool
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		d, c := newBusyCell()
		h := newViewHarness()
		h.events, h.updateCells = ring.New[event](eventsCapacity, ring.Block), c.update
		go h.run(ctx)
		tree := func(pools ...string) *settings.Tree {
			t := &settings.Tree{Pools: map[string]*settings.Pool{}}
			for _, name := range pools {
				t.Pools[name] = &settings.Pool{}
			}
			return t
		}
		put := func(version int64, state membership.State) {
			_ = h.events.Put(ctx, membersListed{membership.Listing{Version: version, Members: []membership.Member{
				{Name: "i0", Incarnation: "1", Pool: membership.InstancePool, State: membership.Live},
				{Name: "e", Incarnation: "1", Pool: "plain", State: state}, {Name: "added", Incarnation: "1", Pool: "added", State: membership.Live},
			}}})
		}
		put(1, membership.Live)
		time.Sleep(time.Second)
		d.replyAtOnce(ctx)
		go d.run(ctx)
		time.Sleep(time.Second)
		put(2, membership.Leaving)
		_ = h.events.Put(ctx, settingsAccepted{accepted: &revision.Accepted{Entry: revision.Entry{Revision: 2}, Tree: tree("plain", "added")}})
		time.Sleep(milliseconds(DefaultNodeConfig().Fresh.SettingsMS))
		inForce, left = len(h.router.View().Pools["added"]) > 0, !h.acceptsRequests("e")
		stop()
		time.Sleep((takeoverReplies + cellEventsCapacity) * busyStep)
		synctest.Wait()
	})
	assert.True(t, left, "a leaving endpoint gets requests")
	require.True(t, inForce, "the endpoints of the settings in force are not routed to")
}

// TestBusyCellKeepsItsLease guards against a lease that is not renewed while its cell is busy and
// the cell's ring full, when the lease is acquired.
func TestBusyCellKeepsItsLease(t *testing.T) {
	var expired time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		d, _ := newBusyCell()
		runner := lease.NewRunner(lease.RunnerConfig{
			Name: "cell-pool", Lease: lease.NewConfig("i0/1/p"), Client: &leaseStore{}, Now: time.Now, Changed: d.leaseChanged,
			Campaign: func() bool { return true },
		})
		d.replyAtOnce(ctx)
		time.Sleep(10 * time.Millisecond)
		go d.run(ctx)
		go runner.Run(ctx)
		for range 400 {
			time.Sleep(50 * time.Millisecond)
			if h, held := runner.Hold(); held && !time.Now().Before(h.Until) {
				expired += 50 * time.Millisecond
			}
		}
		stop()
		time.Sleep((takeoverReplies + cellEventsCapacity) * busyStep)
		synctest.Wait()
	})
	require.Zero(t, expired, "the instance considers itself the holder of a lease that has expired")
}

// TestBusyCellHoldsNoLock guards against a lease that is not renewed, and callers' keys that are
// not claimed, because the instances are locked until a busy cell takes the list.
func TestBusyCellHoldsNoLock(t *testing.T) {
	free := false
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		d, c := newBusyCell()
		d.replyAtOnce(ctx)
		time.Sleep(10 * time.Millisecond)
		go d.run(ctx)
		go c.update(&settings.Catalog{Tree: &settings.Tree{}}, membership.NewList())
		time.Sleep(time.Second)
		if free = c.mu.TryLock(); free {
			c.mu.Unlock()
		}
		stop()
		time.Sleep((takeoverReplies + cellEventsCapacity) * busyStep)
		synctest.Wait()
	})
	require.True(t, free, "the list waits for the cell while the instances are locked")
}
