// Package pace measures how fast places become free while requests wait for them, which tells how
// long those who wait will wait.
//
// Meter is a state machine without clock.
package pace

import (
	"math"
	"time"
)

// Meter measures the pace at one endpoint or for one unit. The zero value has measured nothing.
type Meter struct {
	// freed is the number of places that became free since the last Advance.
	freed int64
	// seconds and count are the time in which all places were taken and the places that became
	// free in it, with older ones counting less.
	seconds, count float64
	at             time.Time
	full           bool
}

const (
	// memory is the time in which what was measured comes to count for less than half.
	memory = 2 * time.Second
	// LeastObserved is how long places must have been observed before there is a pace.
	LeastObserved = time.Second
)

// Add counts places that became free.
func (m *Meter) Add(n int64) { m.freed += n }

// Advance records that all places are taken from now on, or not.
func (m *Meter) Advance(now time.Time, full bool) {
	if passed := now.Sub(m.at).Seconds(); !m.at.IsZero() && passed > 0 {
		decay := math.Exp(-passed / memory.Seconds())
		m.seconds, m.count = m.seconds*decay, m.count*decay
		if m.full {
			m.seconds += passed
		}
	}
	if m.full {
		m.count += float64(m.freed)
	}
	m.freed, m.at, m.full = 0, now, full
}

// SetFull corrects what the last Advance recorded of the time from then on.
func (m *Meter) SetFull(full bool) { m.full = full }

// PerSecond returns how many places become free in a second, and false if that was not observed
// for long enough.
func (m *Meter) PerSecond() (rate float64, observed bool) {
	if m.seconds < LeastObserved.Seconds() {
		return 0, false
	}
	return m.count / m.seconds, true
}

// Forgotten reports whether what was measured counts for nothing any more.
func (m *Meter) Forgotten(now time.Time) bool { return now.Sub(m.at) > 4*memory }

// Wait returns how long it takes until n places become free at a pace, and the least time that is
// likely: places that become free at random need this much less or more.
func Wait(n, perSecond float64) (expected, least time.Duration) {
	seconds := func(places float64) time.Duration { return time.Duration(places / perSecond * float64(time.Second)) }
	return seconds(n), seconds(n - math.Sqrt(n))
}
