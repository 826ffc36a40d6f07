package outlook

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// reported returns a forecaster that has received a second of reports from two instances, which
// start perSecond requests a second together while the given requests wait at the first.
func reported(perSecond int, waiting map[int]int) *Forecaster {
	var f Forecaster
	for ms := 0; ms <= 1000; ms += 100 {
		n := int64(perSecond * ms / 2000)
		f.ReceiveStarts(at(ms), "a", "p", []Starts{{Unit: "m", Started: n, Waiting: waiting}})
		f.ReceiveStarts(at(ms), "b", "p", []Starts{{Unit: "m", Started: n}})
	}
	return &f
}

// TestQueueByPriority guards against refusing an urgent request because of less urgent ones that
// wait: eight urgent and twelve others wait where 20 start in a second.
func TestQueueByPriority(t *testing.T) {
	f := reported(20, map[int]int{5: 8, 1: 12})
	entries := f.Forecast(at(1000), nil)
	require.Len(t, entries, 1)
	var b Board
	b.Receive(at(1010), entries)
	in := func(priority int) time.Duration {
		got, known := b.Look(at(1010), "m", priority)
		require.Equal(t, known, got.In > 0)
		return got.In
	}
	require.InDelta(t, 776, in(0).Milliseconds(), 100, "20 wait, four or five fewer may have to start")
	require.Equal(t, in(0), in(1))
	require.InDelta(t, 259, in(3).Milliseconds(), 40)
	require.Equal(t, in(3), in(5))
	require.Zero(t, in(6), "nobody so urgent waits")
}

// TestTooLittleKnown guards against a refusal on a guess: with too few starts, or reports for too
// short a time, no forecast is made of a queue.
func TestTooLittleKnown(t *testing.T) {
	for name, f := range map[string]*Forecaster{"few starts": reported(2, map[int]int{1: 50}), "no report": {}} {
		for _, e := range f.Forecast(at(1000), nil) {
			require.Empty(t, e.Levels, name)
			require.Zero(t, e.ReturnMS, name)
		}
	}
	var f Forecaster
	f.ReceiveStarts(at(0), "a", "p", []Starts{{Unit: "m", Started: 100, Waiting: map[int]int{1: 5}}})
	f.ReceiveStarts(at(200), "a", "p", []Starts{{Unit: "m", Started: 110, Waiting: map[int]int{1: 5}}})
	for _, e := range f.Forecast(at(200), nil) {
		require.Empty(t, e.Levels, "reported for 200 ms")
	}
}

// TestRestartedInstance guards against counting the starts of a process as those of the next:
// what an instance started before its first report is not known to be recent.
func TestRestartedInstance(t *testing.T) {
	f := reported(20, map[int]int{1: 10})
	f.ReceiveStarts(at(1000), "a", "q", []Starts{{Unit: "m", Started: 5000, Waiting: map[int]int{1: 10}}})
	entries := f.Forecast(at(1000), nil)
	require.InDelta(t, 342, entries[0].Levels[0].StartMS, 50)
}

// TestTellerGone guards against acting on what an instance said that is gone, cut off or
// suspended: an old entry counts for nothing.
func TestTellerGone(t *testing.T) {
	var b Board
	b.Receive(at(0), []Entry{{Unit: "m", NoReplica: true, LoadMS: 3800, ReturnMS: 3800, ReturnGapMS: 100}})
	got, known := b.Look(at(500), "m", 1)
	require.True(t, known)
	require.Equal(t, Forecast{In: 3300 * time.Millisecond, NoReplica: true, Age: 500 * time.Millisecond}, got)
	_, known = b.Look(at(1000), "m", 1)
	require.False(t, known)
	promised, ok := b.Reserve(at(1000), "m", 0, at(9000))
	require.False(t, ok)
	require.True(t, promised.IsZero())
	require.False(t, b.Contended(at(1000), "m"))
	_, known = b.Look(at(500), "other", 1)
	require.False(t, known, "nothing is known of a unit that was never told of")
}

// TestReturnsOverTheFleet guards against callers that are told the same time by different
// instances: what one instance has promised, the others promise no more once they are told.
func TestReturnsOverTheFleet(t *testing.T) {
	f := reported(40, map[int]int{1: 20})
	var a, b Board
	entries := f.Forecast(at(1000), nil)
	a.Receive(at(1000), entries)
	var last time.Time
	var promises []Promise
	for range 10 {
		got, ok := a.Reserve(at(1000), "m", 0, at(5000))
		require.True(t, ok)
		require.GreaterOrEqual(t, got.Sub(last), 45*time.Millisecond, "every other of 40 places a second may be promised")
		last = got
		promises = append(promises, Promise{Unit: "m", InMS: got.Sub(at(1000)).Milliseconds()})
	}
	f.ReceivePromises(at(1000), promises)
	b.Receive(at(1100), f.Forecast(at(1100), nil))
	got, ok := b.Reserve(at(1100), "m", 0, at(5000))
	require.True(t, ok)
	require.GreaterOrEqual(t, got.Sub(last), 40*time.Millisecond)
	_, ok = b.Reserve(at(1100), "m", 0, last)
	require.False(t, ok, "no slot until then")
}

// TestPromisedGoFirst guards against a forecast for who comes now that leaves out those who were told
// to come back until then, and are ahead.
func TestPromisedGoFirst(t *testing.T) {
	f := reported(20, map[int]int{1: 10})
	var promises []Promise
	for i := range int64(5) {
		promises = append(promises, Promise{Unit: "m", Request: 7, InMS: 100 + 20*i})
	}
	f.ReceivePromises(at(1000), promises)
	entries := f.Forecast(at(1000), nil)
	require.InDelta(t, 556, entries[0].Levels[0].StartMS, 50, "ten wait and five return, and 20 start in a second")
}

// TestContentionEnds guards against reports that go on for ever: a unit for which nobody waits
// any more is forgotten.
func TestContentionEnds(t *testing.T) {
	f := reported(20, map[int]int{1: 10})
	require.NotEmpty(t, f.Forecast(at(1000), nil))
	f.ReceiveStarts(at(1100), "a", "p", []Starts{{Unit: "m", Started: 12}})
	entries := f.Forecast(at(1100), nil)
	require.Len(t, entries, 1)
	require.Empty(t, entries[0].Levels)
	require.Empty(t, f.Forecast(at(4000), nil))
	require.Empty(t, f.units)
	require.Empty(t, f.instances)
}

// TestSizes guards against packets that are not sent because they are too large.
func TestSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringN(0, 60, 60).Draw(t, "unit")
		ms := rapid.Int64Range(0, 100_000)
		e := Entry{Unit: name, NoReplica: rapid.Bool().Draw(t, "none"), LoadMS: ms.Draw(t, "load"), ReturnMS: ms.Draw(t, "return"), ReturnGapMS: ms.Draw(t, "gap")}
		s := Starts{Unit: name, Started: rapid.Int64Range(0, 1<<31).Draw(t, "started"), Waiting: map[int]int{}}
		for i := range rapid.IntRange(0, 9).Draw(t, "levels") {
			e.Levels = append(e.Levels, Level{Priority: i, StartMS: ms.Draw(t, "start")})
			s.Waiting[i] = rapid.IntRange(0, 5000).Draw(t, "waiting")
		}
		caller := rapid.Uint32().Draw(t, "caller")
		for _, m := range []interface{ EncodedSize() int }{
			e, s, Promise{Unit: name, Request: caller, InMS: ms.Draw(t, "in"), WaitedMS: ms.Draw(t, "waited")}, Return{Request: caller, InMS: ms.Draw(t, "in"), WaitedMS: ms.Draw(t, "waited")},
		} {
			data, err := cbor.Marshal(m)
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), m.EncodedSize(), fmt.Sprintf("%T", m))
		}
	})
}

// TestBoundedEntries guards against a forecast that outgrows a packet when everything is
// contended: those that wait longest are told.
func TestBoundedEntries(t *testing.T) {
	var f Forecaster
	loads := map[string]Load{}
	for i := range 3 * MaxEntries {
		loads[fmt.Sprintf("m%03d", i)] = Load{Ready: at(1000 + i), Places: 12}
	}
	entries := f.Forecast(at(0), loads)
	require.Len(t, entries, MaxEntries)
	require.Equal(t, fmt.Sprintf("m%03d", 3*MaxEntries-1), entries[0].Unit)
}
