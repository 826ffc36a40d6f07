package outlook

import (
	"time"

	"github.com/eiderspring/eiderspring/returnslot"
)

// maxAge is how long an entry counts: three to ten messages of the instance that tells.
const maxAge = time.Second

// Board holds the newest forecasts at one instance. The zero value is ready for use and knows
// nothing.
type Board struct {
	units map[string]*told
}

// told is what is known of one unit.
type told struct {
	Entry
	at time.Time
	// book holds the returns that this instance has promised.
	book returnslot.Book
}

// Forecast is when a request can start.
type Forecast struct {
	// In is in how long it can start at the earliest, as of the question.
	In time.Duration
	// NoReplica is set if no endpoint serves the unit.
	NoReplica bool
	// Age is how old the forecast is.
	Age time.Duration
}

// Receive records entries.
func (b *Board) Receive(now time.Time, entries []Entry) {
	if b.units == nil {
		b.units = map[string]*told{}
	}
	for _, e := range entries {
		t := b.units[e.Unit]
		if t == nil {
			t = &told{}
			b.units[e.Unit] = t
		}
		t.Entry, t.at = e, now
	}
	for name, t := range b.units {
		if now.Sub(t.at) >= maxAge && t.book.Promised(now) == 0 {
			delete(b.units, name)
		}
	}
}

// Contended reports whether the unit is known to be contended, so that its starts are reported.
func (b *Board) Contended(now time.Time, unit string) bool { return b.current(now, unit) != nil }

// AnyContended reports whether any unit is known to be contended.
func (b *Board) AnyContended(now time.Time) bool {
	for _, t := range b.units {
		if now.Sub(t.at) < maxAge {
			return true
		}
	}
	return false
}

// Look returns when a request of the given priority for the unit can start. It reports false if
// that is not known.
func (b *Board) Look(now time.Time, unit string, priority int) (Forecast, bool) {
	t := b.current(now, unit)
	if t == nil {
		return Forecast{}, false
	}
	in := t.startIn(priority)
	if in == 0 {
		return Forecast{}, false
	}
	f := Forecast{In: in, NoReplica: t.NoReplica, Age: now.Sub(t.at)}
	if f.NoReplica {
		// A load goes on while the entry grows old; a queue may not.
		f.In = max(f.In-f.Age, 0)
	}
	return f, true
}

// Reserve promises a refused caller a time with room, shift after the first one at the earliest
// and at latest. It reports false if there is none; at is then the first time with room, or zero
// if none is known.
func (b *Board) Reserve(now time.Time, unit string, shift time.Duration, latest time.Time) (at time.Time, ok bool) {
	t := b.current(now, unit)
	if t == nil || t.ReturnMS == 0 {
		return time.Time{}, false
	}
	gap := milliseconds(t.ReturnGapMS)
	t.book.SetInterval(gap)
	earliest := t.at.Add(milliseconds(t.ReturnMS) + shift)
	if at, ok = t.book.Reserve(now, earliest, latest); ok {
		return at, true
	}
	at, _ = t.book.Next(now, earliest)
	return at, false
}

// current returns what is known of a unit; nil if that is nothing or too old.
func (b *Board) current(now time.Time, unit string) *told {
	t := b.units[unit]
	if t == nil || now.Sub(t.at) >= maxAge {
		return nil
	}
	return t
}
