package returnslot

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestSessions runs whole sessions of a book. Times are in milliseconds.
func TestSessions(t *testing.T) {
	var b Book
	datadriven.RunTest(t, "testdata/sessions", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fmt.Fprintln(&out, step(t, &b, strings.Fields(line)))
		}
		return out.String()
	})
}

func step(t *testing.T, b *Book, words []string) string {
	var n [3]int
	for i, w := range words[1:] {
		v, err := strconv.Atoi(w)
		require.NoError(t, err)
		n[i] = v
	}
	switch words[0] {
	case "rate":
		b.SetRate(float64(n[0]))
		return "ok"
	case "wait":
		expected, least := b.Wait(at(n[0]), float64(n[1]))
		return fmt.Sprint(expected.Milliseconds(), " at least ", least.Milliseconds())
	case "reserve":
		got, ok := b.Reserve(at(n[0]), at(n[1]), at(n[2]))
		return answer(got, ok)
	case "next":
		got, ok := b.Next(at(n[0]), at(n[1]))
		return answer(got, ok)
	case "record":
		b.Record(at(n[0]), at(n[1]))
		return "ok"
	case "promised":
		return fmt.Sprint(b.Promised(at(n[0])))
	}
	t.Fatalf("unknown step %q", words[0])
	return ""
}

func answer(got time.Time, ok bool) string {
	if !ok {
		return "no room"
	}
	return fmt.Sprint(got.Sub(start).Milliseconds())
}

// TestNeverBeyondRoom guards against promising more returns than places become free, in any
// window, whatever the order and the times of the requests.
func TestNeverBeyondRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		b.SetRate(rapid.Float64Range(0.5, 400).Draw(t, "freed"))
		interval, open := b.Interval()
		require.True(t, open)
		now := 0
		var made []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.IntRange(0, 40).Draw(t, "pause")
			earliest := at(now + rapid.IntRange(-100, 1000).Draw(t, "earliest"))
			latest := earliest.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "span")) * time.Millisecond)
			got, ok := b.Reserve(at(now), earliest, latest)
			if !ok {
				continue
			}
			require.False(t, got.Before(earliest) || got.Before(at(now)) || got.After(latest))
			for _, other := range made {
				require.GreaterOrEqual(t, got.Sub(other).Abs(), interval)
			}
			made = append(made, got)
		}
	})
}

// TestTurns guards against callers that were sent away and are kept out by those in line, and
// against promises that keep out those in line: however many callers are refused at once, half of
// the places that become free are promised, and half are left.
func TestTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Book
		freed := rapid.Float64Range(1, 400).Draw(t, "freed")
		b.SetRate(freed)
		n := rapid.IntRange(1, 100).Draw(t, "callers")
		latest := start.Add(time.Duration(float64(n) / (freed / 2) * float64(time.Second)))
		for range n {
			_, ok := b.Reserve(start, start, latest)
			require.True(t, ok)
		}
		span := latest.Sub(start)
		left := freed*span.Seconds() - float64(b.promisedBetween(start, latest.Add(1)))
		require.GreaterOrEqual(t, left, float64(n)-1)
	})
}

// TestBounded guards against a book that grows with the callers that it refuses.
func TestBounded(t *testing.T) {
	var b Book
	b.SetRate(1000)
	for range 2 * maxPromises {
		b.Reserve(start, start, start.Add(time.Hour))
	}
	require.Equal(t, maxPromises, b.Promised(start))
	_, ok := b.Reserve(start, start, start.Add(time.Hour))
	require.False(t, ok)
}
