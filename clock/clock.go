package clock

import (
	"sync"
	"sync/atomic"
	"time"
)

// Source is the set of clocks that a Clock reads.
type Source struct {
	// Now returns a reading of the monotonic clock; WallClock returns the wall clock time of
	// such a reading.
	Now       func() time.Time
	WallClock func(time.Time) time.Duration
	// Boot returns the time of a monotonic clock that includes suspension. An error means that
	// the system has none; suspension is then not detected.
	Boot func() (time.Duration, error)
}

// System returns the clocks of the system.
func System() Source {
	return Source{Now: time.Now, WallClock: func(t time.Time) time.Duration { return time.Duration(t.UnixNano()) }, Boot: bootTime}
}

// minSuspension is the shortest suspension that counts, and the smallest jump between the
// monotonic clock and the wall clock that triggers a check. The bounds of the leases leave a
// margin of several times as much.
const minSuspension = 20 * time.Millisecond

const (
	// maxReadingSpan is the time between the monotonic readings before and after a reading of
	// the boot clock at which the three count as taken at one moment.
	maxReadingSpan = time.Millisecond
	// maxReadings is how often the clocks are read until they are read at one moment.
	maxReadings = 5
)

// Clock is a monotonic clock that includes suspension. Its times are the wall clock time at
// which the clock was made, plus the time elapsed since: setting the wall clock does not change
// them. They can be compared with each other, but not with time.Now. It is safe for concurrent
// use.
type Clock struct {
	source   Source
	base     time.Time
	wallBase time.Duration
	// bootBase is the time of the boot clock at base, or earlier if it is not known exactly.
	bootBase time.Duration
	// onWake is called for each suspension, on a goroutine of its own.
	onWake func(suspended time.Duration)
	// drift is the offset of the wall clock from the monotonic clock at the last check.
	drift atomic.Int64
	// suspended is how long the machine has been suspended since the clock was made.
	suspended atomic.Int64
	// suspensions is the number of suspensions.
	suspensions atomic.Int64
	mu          sync.Mutex
	// noBootClock is set if the system has no boot clock.
	noBootClock bool
}

// New returns a clock. onWake is called with the length of each suspension that is detected, on
// a goroutine of its own; it may be nil.
func New(s Source, onWake func(suspended time.Duration)) *Clock {
	if onWake == nil {
		onWake = func(time.Duration) {}
	}
	c := &Clock{source: s, onWake: onWake, base: s.Now()}
	c.wallBase = s.WallClock(c.base)
	var err error
	// A base that is too late would shorten the first suspension, and so extend a right to act.
	c.bootBase, _, err = c.bootLead()
	c.noBootClock = err != nil
	return c
}

// Now returns the time. It reads the system's boot clock only if the wall clock has moved
// against the monotonic clock, as it does when the machine wakes up: reading the boot clock
// takes a system call.
func (c *Clock) Now() time.Time {
	t := c.source.Now()
	drift := c.source.WallClock(t) - c.wallBase - t.Sub(c.base)
	if moved := drift - time.Duration(c.drift.Load()); moved >= minSuspension || moved <= -minSuspension {
		c.drift.Store(int64(drift))
		c.detectSuspension()
	}
	return c.base.Round(0).Add(t.Sub(c.base) + time.Duration(c.suspended.Load()))
}

// NowExact returns the time for decisions on a right to act. Unlike Now, it also detects a
// suspension during which the wall clock was set back by the same time, so that no jump shows.
func (c *Clock) NowExact() time.Time {
	c.detectSuspension()
	return c.Now()
}

// bootLead returns bounds of how far the boot clock is ahead of the monotonic time since base.
// The process may be off the processor between two readings, so that the second is later by any
// time: readings that are further apart than maxReadingSpan are repeated, and the bounds are far
// apart only if all of them are.
func (c *Clock) bootLead() (low, high time.Duration, err error) {
	for range maxReadings {
		before := c.source.Now().Sub(c.base)
		boot, err := c.source.Boot()
		if err != nil {
			return 0, 0, err
		}
		after := c.source.Now().Sub(c.base)
		low, high = boot-after, boot-before
		if high-low <= maxReadingSpan {
			break
		}
	}
	return low, high, nil
}

// detectSuspension checks whether the machine has been suspended.
func (c *Clock) detectSuspension() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.noBootClock {
		return
	}
	// The upper bound is used, as counting a suspension too early or too long never extends a
	// right to act.
	_, lead, err := c.bootLead()
	if err != nil {
		c.noBootClock = true
		return
	}
	suspended := lead - c.bootBase
	added := suspended - time.Duration(c.suspended.Load())
	if added < minSuspension {
		return
	}
	c.suspended.Store(int64(suspended))
	c.suspensions.Add(1)
	go c.onWake(added)
}

// Suspensions returns how often the machine has been suspended since the clock was made.
func (c *Clock) Suspensions() int64 { return c.suspensions.Load() }

// Suspended returns how long the machine has been suspended since the clock was made.
func (c *Clock) Suspended() time.Duration { return time.Duration(c.suspended.Load()) }
