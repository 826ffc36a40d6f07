package daemon

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/store"
)

// silentReads is a client of which the next reads get no answer, as on a connection that has
// become silent. They end with the client's own timeout at the latest.
type silentReads struct {
	store.Client
	silent atomic.Int64
}

// Get implements store.Client.
func (c *silentReads) Get(ctx context.Context, kind store.Kind, name string) (store.Object, error) {
	if c.silent.Add(-1) < 0 {
		return c.Client.Get(ctx, kind, name)
	}
	ctx, cancel := context.WithTimeout(ctx, store.DefaultCallTimeout)
	defer cancel()
	<-ctx.Done()
	return store.Object{}, &store.UnansweredError{Kind: kind, Name: name, Err: ctx.Err()}
}

// change records a further revision of the settings, and returns how long after that the given
// instance has it in force; ten seconds if it has not by then.
func (f *settingsFleet) change(instance int) time.Duration {
	began, last := time.Now(), f.instances[instance].revision()
	f.store.record(store.EventModified, store.Object{Kind: "settings", Metadata: store.Metadata{Name: "main"}, Spec: json.RawMessage(`{}`)})
	time.Sleep(10 * time.Second)
	at, known := f.instances[instance].inForceSince(last + 1)
	if !known {
		return time.Since(began)
	}
	return at.Sub(began)
}

// TestUnansweredReadOfSettingsIsRepeatedInTime guards against an instance that waits for one
// read of newer settings, which another has announced, while its watch gets stale answers.
func TestUnansweredReadOfSettingsIsRepeatedInTime(t *testing.T) {
	var delay time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		size := fleetSize{instances: 6, endpoints: 15, mbits: 1000, cores: 0.4}
		f := newSettingsFleet(t, size)
		late := f.instances[3].config
		reads := &silentReads{Client: late.client}
		late.client = reads
		f.run(ctx, size.endpoints)
		time.Sleep(8 * time.Second)
		reads.silent.Store(1)
		delay = f.change(3)
		stop()
		// The placer ends when its ring is empty.
		time.Sleep(reportEvery + (placerEventsCapacity+2)*busyStep)
		synctest.Wait()
	})
	require.Less(t, delay, milliseconds(DefaultNodeConfig().Fresh.SettingsMS))
}

// lostWire delivers nothing.
type lostWire struct{}

// Send implements peer.Datagrams.
func (lostWire) Send(string, []byte) {}

// Close implements peer.Datagrams.
func (lostWire) Close() {}

// TestSettingsAreInTimeWhenTheHolderIsLost guards against instances that rest by their settings
// after the holder of the lease, which announced newer ones to them, was lost before or after the
// change.
func TestSettingsAreInTimeWhenTheHolderIsLost(t *testing.T) {
	var last time.Duration
	for lostAfter := -700 * time.Millisecond; lostAfter <= 500*time.Millisecond; lostAfter += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			size := fleetSize{instances: 6, endpoints: 15, mbits: 1000, cores: 0.4}
			f := newSettingsFleet(t, size)
			f.run(ctx, size.endpoints)
			holder := f.instances[0].mesh
			time.AfterFunc(8*time.Second+lostAfter, func() {
				holder.mu.Lock()
				defer holder.mu.Unlock()
				holder.datagrams = lostWire{}
			})
			time.Sleep(8 * time.Second)
			began := time.Now()
			last = max(last, f.change(1))
			for _, i := range f.instances[2:] {
				at, known := i.inForceSince(2)
				if !known {
					at = time.Now()
				}
				last = max(last, at.Sub(began))
			}
			stop()
			// The placer ends when its ring is empty.
			time.Sleep(reportEvery + (placerEventsCapacity+2)*busyStep)
			synctest.Wait()
		})
	}
	t.Logf("in force at the last instance after %v", last)
	require.Less(t, last, milliseconds(DefaultNodeConfig().Fresh.SettingsMS))
}

// TestSettingsAreInTimeAtAFormerHolder guards against an instance that has lost the lease, relies on
// its successor, and is late because its placer is still busy with earlier reports.
func TestSettingsAreInTimeAtAFormerHolder(t *testing.T) {
	var delay time.Duration
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		size := fleetSize{instances: 301, endpoints: 3000, mbits: 1000, cores: 0.4}
		f := newFleetHeldBy(t, size, 1)
		f.reportsEnd = time.Now().Add(7500 * time.Millisecond)
		f.run(ctx, size.endpoints)
		time.Sleep(8 * time.Second)
		delay = f.change(0)
		stop()
		// The placer ends when its ring is empty.
		time.Sleep(reportEvery + (placerEventsCapacity+2)*busyStep)
		synctest.Wait()
	})
	require.Less(t, delay, milliseconds(DefaultNodeConfig().Fresh.SettingsMS))
}
