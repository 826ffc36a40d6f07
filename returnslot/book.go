package returnslot

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/internal/pace"
)

const (
	// promisedShare is the share of the freed places that may be promised: those who wait in
	// line and those who were sent away with a promise take turns.
	promisedShare = 0.5
	// minLapse is how long after its time a promise holds its place at least: callers come
	// back up to some network and scheduling delay later.
	minLapse = 250 * time.Millisecond
	// maxPromises bounds the promises of a book.
	maxPromises = 1024
	// waitRounds is how many times those who return during a wait are added to it.
	waitRounds = 4
)

// Book holds the promises that were made for one unit or endpoint. The zero value promises nothing.
//
// Invariant: promises is sorted and has at most maxPromises elements.
type Book struct {
	// freedPerSecond is how many places become free in a second.
	freedPerSecond float64
	promises       []time.Time
}

// SetRate sets how many places become free in a second, for the promises made from now on.
func (b *Book) SetRate(freedPerSecond float64) { b.freedPerSecond = freedPerSecond }

// SetInterval sets the rate by the time between two promises.
func (b *Book) SetInterval(d time.Duration) { b.SetRate(1 / (d.Seconds() * promisedShare)) }

// Interval returns the time between two promises; false if no places become free.
func (b *Book) Interval() (time.Duration, bool) {
	if b.freedPerSecond <= 0 {
		return 0, false
	}
	return time.Duration(float64(time.Second) / (b.freedPerSecond * promisedShare)), true
}

// Wait returns how long it takes until the given number of places has become free, besides those
// that go to callers who return in the meantime as they were promised, and the least time that is
// likely. There must be a rate.
func (b *Book) Wait(now time.Time, places float64) (expected, least time.Duration) {
	returns := 0
	for range waitRounds {
		expected, least = pace.Wait(places+float64(returns), b.freedPerSecond)
		more := b.promisedBetween(now, now.Add(expected))
		if more == returns {
			break
		}
		returns = more
	}
	return expected, least
}

// Reserve promises a place at the first time with room between earliest and latest, both
// included. It reports false, and promises nothing, if there is none.
func (b *Book) Reserve(now, earliest, latest time.Time) (at time.Time, ok bool) {
	b.expire(now)
	at, found := b.next(later(now, earliest))
	if !found || at.After(latest) || len(b.promises) >= maxPromises {
		return time.Time{}, false
	}
	b.insert(at)
	return at, true
}

// Next returns the first time with room from earliest on, without promising it. It reports
// false if there is no room at all.
func (b *Book) Next(now, earliest time.Time) (at time.Time, ok bool) {
	b.expire(now)
	return b.next(later(now, earliest))
}

// Record adds a promise that another book has made.
func (b *Book) Record(now, at time.Time) {
	b.expire(now)
	if len(b.promises) < maxPromises && !b.lapsed(now, at) {
		b.insert(at)
	}
}

// Promised returns the number of promises that hold.
func (b *Book) Promised(now time.Time) int {
	b.expire(now)
	return len(b.promises)
}

// promisedBetween returns the number of promises whose time is between two times: whose time has
// come waits in line.
func (b *Book) promisedBetween(now, until time.Time) int {
	from, _ := slices.BinarySearchFunc(b.promises, now, time.Time.Compare)
	to, _ := slices.BinarySearchFunc(b.promises, until, time.Time.Compare)
	return to - from
}

// next returns the first time from earliest on that keeps its distance from all promises.
func (b *Book) next(earliest time.Time) (time.Time, bool) {
	interval, open := b.Interval()
	if !open {
		return time.Time{}, false
	}
	at := earliest
	for _, promised := range b.promises {
		if promised.Sub(at) >= interval {
			break
		}
		at = later(at, promised.Add(interval))
	}
	return at, true
}

func (b *Book) insert(at time.Time) {
	i, _ := slices.BinarySearchFunc(b.promises, at, time.Time.Compare)
	b.promises = slices.Insert(b.promises, i, at)
}

func (b *Book) expire(now time.Time) {
	n := 0
	for n < len(b.promises) && b.lapsed(now, b.promises[n]) {
		n++
	}
	b.promises = slices.Delete(b.promises, 0, n)
}

// lapsed reports whether a promise no longer holds its place. One that is kept takes the place
// for as long as it takes until the next is freed.
func (b *Book) lapsed(now, at time.Time) bool {
	interval, _ := b.Interval()
	return now.Sub(at) > max(minLapse, interval)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
