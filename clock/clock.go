package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source is where a Clock reads the time.
type Source struct {
	// Now is the steady clock; WallOf is the time of day of one of its readings.
	Now       func() time.Time
	WallClock func(time.Time) time.Duration
	// Boot is a steady clock that counts suspension. An error says that the system has
	// none; then suspension is not noticed.
	Boot func() (time.Duration, error)
}

// System is the system's clocks.
func System() Source {
	return Source{Now: time.Now, WallClock: func(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }, Boot: bootTime}
}

// noticed is the least suspension that counts, and the least jump between the steady
// clock and the time of day that makes the clock look for one. Bounds of the leases leave
// several times as much.
const noticed = 20 * time.Millisecond

// Clock is a steady clock that counts suspension. Its times show the time of day as it was
// when the clock was made, and how long ago that was: setting the time of day moves none
// of them. They compare with each other, and not with time.Now. It is safe for concurrent
// use.
type Clock struct {
	source   Source
	base     time.Time
	wallBase time.Duration
	bootBase time.Duration
	// woken is told of each suspension, on a goroutine of its own.
	woken func(slept time.Duration)
	// drift is that of the time of day against the steady clock when last looked at.
	drift atomic.Int64
	// slept is how long the machine has been suspended since the clock was made.
	slept atomic.Int64
	// counted is how often.
	counted atomic.Int64
	mu      sync.Mutex
	// broken is set if the system does not tell.
	broken bool
}

// New returns a clock. woken is told how long a suspension was that has just been
// noticed, on a goroutine of its own; nil tells nobody.
func New(s Source, woken func(slept time.Duration)) *Clock {
	if woken == nil {
		woken = func(time.Duration) {}
	}
	c := &Clock{source: s, woken: woken, base: s.Now()}
	c.wallBase = s.WallClock(c.base)
	var err error
	c.bootBase, err = s.Boot()
	c.broken = err != nil
	return c
}

// Now is the time. It reads the system's boot clock only where the time of day has moved
// against the steady clock, as it does when the machine wakes: reading that clock is a
// system call.
func (c *Clock) Now() time.Time {
	t := c.source.Now()
	drift := c.source.WallClock(t) - c.wallBase - t.Sub(c.base)
	if moved := drift - time.Duration(c.drift.Load()); moved >= noticed || moved <= -noticed {
		c.drift.Store(int64(drift))
		c.look()
	}
	return c.base.Round(0).Add(t.Sub(c.base) + time.Duration(c.slept.Load()))
}

// NowExact is the time where a right to act rests on it: a machine that is suspended while
// somebody sets the time of day back by as much shows no jump.
func (c *Clock) NowExact() time.Time {
	c.look()
	return c.Now()
}

// look finds out whether the machine has been suspended.
func (c *Clock) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return
	}
	// The steady clock is read first: a suspension between the two readings is counted,
	// and one that is counted too early ends no right too late.
	steady := c.source.Now().Sub(c.base)
	boot, err := c.source.Boot()
	if err != nil {
		c.broken = true
		return
	}
	slept := boot - c.bootBase - steady
	more := slept - time.Duration(c.slept.Load())
	if more < noticed {
		return
	}
	c.slept.Store(int64(slept))
	c.counted.Add(1)
	go c.woken(more)
}

// Suspensions is how often the machine was suspended, and Slept for how long in all.
func (c *Clock) Suspensions() int64 { return c.counted.Load() }

// Suspended is how long the machine has been suspended since the clock was made.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.slept.Load()) }
