package daemon

import (
	"context"
	"expvar"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
)

// recordStore is a store that counts what its calls cost.
type recordStore struct {
	versionedStore
	mu                   sync.Mutex
	lists, writes, bytes int
	largest              int
}

func newRecordStore() *recordStore {
	return &recordStore{versionedStore: versionedStore{objects: map[string]store.Object{}}}
}

func (s *recordStore) List(ctx context.Context, kind store.Kind) (store.List, error) {
	s.mu.Lock()
	s.lists++
	s.mu.Unlock()
	time.Sleep(storeCallTime)
	if s.isDown() {
		return store.List{}, context.DeadlineExceeded
	}
	return s.versionedStore.List(ctx, kind)
}

func (s *recordStore) Create(ctx context.Context, o store.Object) (store.Object, error) {
	s.count(o)
	return s.versionedStore.Create(ctx, o)
}

func (s *recordStore) Update(ctx context.Context, o store.Object) (store.Object, error) {
	s.count(o)
	return s.versionedStore.Update(ctx, o)
}

func (s *recordStore) count(o store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.bytes += len(o.Spec)
	s.largest = max(s.largest, len(o.Spec))
}

// listed returns the number of lists.
func (s *recordStore) listed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

func (s *recordStore) isDown() bool {
	s.versionedStore.mu.Lock()
	defer s.versionedStore.mu.Unlock()
	return s.down
}

func (s *recordStore) setDown(down bool) {
	s.versionedStore.mu.Lock()
	defer s.versionedStore.mu.Unlock()
	s.down = down
}

// streams returns the streams whose beginnings the store keeps.
func (s *recordStore) streams(t *testing.T) *streamversion.Records {
	records := streamversion.NewRecords()
	err := readStreamRecords(t.Context(), s, logr.Discard(), func(_ store.Object, slot []streamversion.Record) { records.Add(slot) })
	require.NoError(t, err)
	return records
}

// attachRecords has an instance record its streams, in a pool with two software versions.
func attachRecords(ctx context.Context, s *streamVersions, client store.Client) {
	register := newVersionRegister(client, logr.Discard(), time.Now)
	register.era = func() int64 { return 1 }
	endpoints := []*routing.Endpoint{{SoftwareVersion: "v1.1.3"}, {SoftwareVersion: "v1.1.4"}}
	register.view = func() *routing.View {
		return &routing.View{Pools: map[string][]*routing.Endpoint{"annotateur": endpoints}}
	}
	records := newStreamRecords(s, register, client)
	s.records.Store(records)
	go records.run(ctx)
}

// newRecordingFleet returns the streamVersions of a fleet that records its streams in a store.
func newRecordingFleet(t *testing.T, n int) (*lineNet, []*streamVersions, *recordStore) {
	line, fleet := newStreamFleet(t, n)
	objects := newRecordStore()
	for _, s := range fleet {
		attachRecords(t.Context(), s, objects)
	}
	return line, fleet, objects
}

// Stated targets that the records must fit.
const (
	targetWritesPerS  = 400
	targetObjectBytes = 1 << 20
)

// TestRecordsFitTheStore guards against records that take more writes, larger objects or more of an
// instance's link than the stated targets, where each request is a stream of a pool with two versions, and
// against streams that are not recorded.
func TestRecordsFitTheStore(t *testing.T) {
	const seconds = 4
	for instances, perSecond := range map[int]int{9: 46, targetNodes: targetRequestsPerS} {
		synctest.Test(t, func(t *testing.T) {
			line, fleet, objects := newRecordingFleet(t, instances)
			streams := perSecond * seconds
			for i := range streams {
				began(fleet[i%instances], fmt.Sprintf("%016x", i))
				time.Sleep(time.Second / time.Duration(perSecond))
			}
			time.Sleep(time.Second)
			require.Equal(t, streams, objects.streams(t).Len())
			busiest := 0
			for _, n := range line.bytes {
				busiest = max(busiest, n)
			}
			t.Logf("%d instances, %d streams a second: %d writes, %d bytes in them, %d lists a second; largest object %d bytes; %d objects; busiest instance receives %d bytes a second",
				instances, perSecond, objects.writes/seconds, objects.bytes/seconds, objects.lists/seconds, objects.largest, len(objects.objects), busiest/seconds)
			require.LessOrEqual(t, objects.writes/seconds, targetWritesPerS)
			require.LessOrEqual(t, objects.largest, targetObjectBytes)
		})
	}
}

// TestRecordsAreWrittenByAnotherInstance guards against streams that are not recorded as their writer does not
// reach the store, while others do.
func TestRecordsAreWrittenByAnotherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newStreamFleet(t, 9)
		down, up := newRecordStore(), newRecordStore()
		down.setDown(true)
		current, _ := fleet[0].currentFleet()
		writer := current.Writers(current.PartOf(streamversion.KeyOf("", ""), ""))[0]
		for _, s := range fleet {
			objects := up
			if s.mesh.instance == writer {
				objects = down
			}
			attachRecords(t.Context(), s, objects)
		}
		for i, s := range fleet {
			began(s, fmt.Sprint(i))
		}
		time.Sleep(2*time.Second + recordsTick)
		synctest.Wait()
		require.Equal(t, len(fleet), up.streams(t).Len())
	})
}

// TestRecordsWaitForTheStore guards against streams that are not recorded as the store is away when they begin,
// though it is back while their callers may still take them up.
func TestRecordsWaitForTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet, objects := newRecordingFleet(t, 9)
		objects.setDown(true)
		for i, s := range fleet {
			began(s, fmt.Sprint(i))
		}
		time.Sleep(20 * time.Second)
		objects.setDown(false)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, len(fleet), objects.streams(t).Len())
	})
}

// TestFormerReleaseIgnoresRecords guards against an instance of the former release, beside new ones, that
// takes records for something else; what it would have written is unknown to the store.
func TestFormerReleaseIgnoresRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet := newStreamFleet(t, 9)
		objects := newRecordStore()
		for _, s := range fleet[1:] {
			attachRecords(t.Context(), s, objects)
		}
		var keys []streamversion.Key
		for i, s := range fleet {
			keys = append(keys, began(s, fmt.Sprint(i)))
		}
		time.Sleep(time.Second)
		synctest.Wait()
		for i, key := range keys {
			b, state := fleet[(i+1)%len(fleet)].Find(t.Context(), key)
			require.Equal(t, streamversion.Known, state)
			require.Equal(t, "v1.1.3", b.Version)
		}
	})
}

// TestStreamIsNotKnownYetWhileTheStoreIsAway guards against an instance that could not read the records and
// says of a stream that it is unknown, or doesn't read them again.
func TestStreamIsNotKnownYetWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, fleet, objects := newRecordingFleet(t, 3)
		key := began(fleet[0], "a")
		time.Sleep(time.Second)
		reader := &streamVersions{vars: new(expvar.Map).Init(), log: logr.Discard(), now: time.Now, table: streamversion.NewTable()}
		_, state := reader.Recorded(t.Context(), key)
		require.Equal(t, streamversion.Unread, state, "the store is not followed yet")
		reader.recorded.Store(newRecordReader(objects, logr.Discard()))
		objects.setDown(true)
		_, state = reader.Recorded(t.Context(), key)
		require.Equal(t, streamversion.Unread, state)
		objects.setDown(false)
		b, state := reader.Recorded(t.Context(), key)
		require.Equal(t, streamversion.Known, state)
		require.Equal(t, "v1.1.3", b.Version)
		_, state = reader.Recorded(t.Context(), streamversion.KeyOf("", "never begun"))
		require.Equal(t, streamversion.Unknown, state)
	})
}

// TestCallersShareAReadOfTheRecords guards against a read of the store for each caller that comes back behind an
// end of all instances.
func TestCallersShareAReadOfTheRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 300
		_, fleet, objects := newRecordingFleet(t, 9)
		keys := map[streamversion.Key]bool{}
		for i := range streams {
			keys[began(fleet[i%9], fmt.Sprint(i))] = true
		}
		time.Sleep(time.Second)
		synctest.Wait()
		before := objects.listed()
		reader := newRecordReader(objects, logr.Discard())
		var callers sync.WaitGroup
		var known sync.Map
		for key := range maps.Keys(keys) {
			callers.Go(func() {
				_, state := reader.find(t.Context(), key)
				known.Store(key, state == streamversion.Known)
			})
		}
		callers.Wait()
		for key := range keys {
			found, _ := known.Load(key)
			require.Equal(t, true, found)
		}
		require.Equal(t, before+1, objects.listed())
	})
}

// BenchmarkReadOfAllRecords reads what the store keeps where each of the stated target's requests is a stream of a
// pool with two versions, which its caller may take up for a minute.
func BenchmarkReadOfAllRecords(b *testing.B) {
	const streams, perSlot = 60 * targetRequestsPerS, 64
	objects := newRecordStore()
	until := time.Now().Add(time.Minute)
	bytes := 0
	for slot := range streams / perSlot {
		var records []streamversion.Record
		for i := range perSlot {
			records = append(records, streamversion.Record{
				Key: streamversion.KeyOf("", fmt.Sprint(slot, " ", i)), Place: streamversion.Place{Pool: "annotateur", Version: "v1.1.3"}, UntilS: until.Unix(),
			})
		}
		o, err := store.NewObject(store.KindStreamRecord, fmt.Sprint(slot), streamversion.PackSlot(records))
		require.NoError(b, err)
		bytes += len(o.Spec)
		objects.write(o)
	}
	b.ReportAllocs()
	b.ReportMetric(float64(bytes), "bytes")
	for b.Loop() {
		reader := newRecordReader(objects, logr.Discard())
		_, state := reader.find(b.Context(), streamversion.KeyOf("", "0 0"))
		require.Equal(b, streamversion.Known, state)
	}
}
