package clock

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// machine holds the clocks of a machine: monotonic stands still while it is suspended, and wall
// is set now and then.
type machine struct {
	monotonic, boot, wall time.Duration
	broken                bool
	// beforeBoot and afterBoot are called before and after each reading of the boot clock; may be
	// nil.
	beforeBoot, afterBoot func()
}

var epoch = time.Unix(1_000, 0)

func (m *machine) source() Source {
	return Source{
		Now:       func() time.Time { return epoch.Add(m.monotonic) },
		WallClock: func(time.Time) time.Duration { return m.wall },
		Boot: func() (time.Duration, error) {
			if m.broken {
				return 0, errors.ErrUnsupported
			}
			if m.beforeBoot != nil {
				m.beforeBoot()
			}
			boot := m.boot
			if m.afterBoot != nil {
				m.afterBoot()
			}
			return boot, nil
		},
	}
}

func (m *machine) run(d time.Duration) {
	m.monotonic += d
	m.boot += d
	m.wall += d
}

func (m *machine) suspend(d time.Duration) {
	m.boot += d
	m.wall += d
}

func TestTimeAdvancesDuringSuspension(t *testing.T) {
	m := &machine{}
	woken := make(chan time.Duration, 1)
	c := New(m.source(), func(suspended time.Duration) { woken <- suspended })
	m.run(time.Second)
	require.Equal(t, epoch.Add(time.Second), c.Now())
	m.suspend(10 * time.Second)
	require.Equal(t, epoch.Add(11*time.Second), c.Now(), "the first reading after it")
	require.Equal(t, 10*time.Second, <-woken)
	m.run(time.Second)
	require.Equal(t, epoch.Add(12*time.Second), c.Now())
	require.EqualValues(t, 1, c.Suspensions())
	require.Equal(t, 10*time.Second, c.Suspended())
}

func TestSettingTheWallClockIsNoSuspension(t *testing.T) {
	m := &machine{}
	c := New(m.source(), func(time.Duration) { t.Error("a suspension was reported") })
	for _, step := range []time.Duration{time.Hour, -2 * time.Second, 5 * time.Millisecond} {
		m.wall += step
		m.run(time.Second)
		before := c.Now()
		m.run(time.Second)
		require.Equal(t, before.Add(time.Second), c.NowExact())
	}
	require.Zero(t, c.Suspensions())
}

// TestNowExactDetectsSuspensionDespiteWallClockStep suspends the machine and sets its wall
// clock back by the same time, so that no jump shows.
func TestNowExactDetectsSuspensionDespiteWallClockStep(t *testing.T) {
	m := &machine{}
	c := New(m.source(), nil)
	m.suspend(3 * time.Second)
	m.wall -= 3 * time.Second
	require.Equal(t, epoch.Add(3*time.Second), c.NowExact())
}

func TestMonotonicClockIsUsedWithoutBootClock(t *testing.T) {
	m := &machine{broken: true}
	c := New(m.source(), nil)
	m.suspend(3 * time.Second)
	m.run(time.Second)
	require.Equal(t, epoch.Add(time.Second), c.NowExact())
}

// stallOnce makes the process lose the processor for d before the next reading of the boot clock.
func (m *machine) stallOnce(d time.Duration) {
	m.beforeBoot = func() {
		m.beforeBoot = nil
		m.run(d)
	}
}

// TestStallBetweenReadingsIsNoSuspension takes the processor away from the process between its
// readings of two clocks: the machine was not suspended, and no time is added.
func TestStallBetweenReadingsIsNoSuspension(t *testing.T) {
	for _, d := range []time.Duration{minSuspension, 65 * time.Millisecond, 10 * time.Second} {
		m := &machine{}
		c := New(m.source(), func(time.Duration) { t.Error("a suspension was reported") })
		for range 3 {
			m.run(time.Second)
			m.stallOnce(d)
			require.Equal(t, epoch.Add(m.monotonic+d), c.NowExact())
		}
		require.Zero(t, c.Suspensions())
	}
}

// TestSuspensionBetweenReadingsIsDetected suspends the machine between the readings of two clocks.
func TestSuspensionBetweenReadingsIsDetected(t *testing.T) {
	m := &machine{}
	c := New(m.source(), nil)
	m.run(time.Second)
	m.beforeBoot = func() {
		m.beforeBoot = nil
		m.suspend(minSuspension)
	}
	require.Equal(t, epoch.Add(m.monotonic+minSuspension), c.NowExact())
	require.EqualValues(t, 1, c.Suspensions())
}

// TestStallWhileTheClockIsMadeHidesNoSuspension takes the processor away between the first readings:
// a suspension afterwards counts in full.
func TestStallWhileTheClockIsMadeHidesNoSuspension(t *testing.T) {
	m := &machine{}
	m.stallOnce(3 * time.Second)
	c := New(m.source(), nil)
	m.suspend(2 * time.Second)
	require.Equal(t, epoch.Add(m.boot), c.NowExact())
	require.EqualValues(t, 1, c.Suspensions())
}

// TestSuspensionIsNeverCountedTooShort takes the processor away before and after every reading of
// the boot clock. More than the suspension may then be counted, but never less by minSuspension or
// more.
func TestSuspensionIsNeverCountedTooShort(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
		m := &machine{}
		stall := func() { m.run(time.Duration(random.Int64N(int64(100 * time.Millisecond)))) }
		m.beforeBoot, m.afterBoot = stall, stall
		c := New(m.source(), nil)
		var suspended time.Duration
		for range 50 {
			d := time.Duration(random.Int64N(int64(time.Second)))
			suspended += d
			m.suspend(d)
			c.NowExact()
			require.Less(t, suspended-c.Suspended(), minSuspension, "seed %d", seed)
		}
	}
}

// TestClockFollowsTheBootClock runs, suspends and sets the wall clock at random: the time never
// goes back, and lags behind the boot clock by less than minSuspension.
func TestClockFollowsTheBootClock(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		m := &machine{}
		c := New(m.source(), nil)
		last := c.Now()
		for range 200 {
			d := time.Duration(random.Int64N(int64(2 * time.Second)))
			switch random.IntN(4) {
			case 0:
				m.suspend(d)
			case 1:
				m.wall += d - time.Second
			default:
				m.run(d)
			}
			now := c.NowExact()
			require.False(t, now.Before(last), "seed %d", seed)
			lag := epoch.Add(m.boot).Sub(now)
			require.Less(t, lag, minSuspension, "seed %d", seed)
			require.GreaterOrEqual(t, lag, time.Duration(0), "seed %d", seed)
			last = now
		}
	}
}

func TestSystemsClocks(t *testing.T) {
	c := New(System(), nil)
	before := time.Now()
	now := c.NowExact()
	require.False(t, now.Before(before))
	require.Zero(t, c.Suspended())
}

func BenchmarkNow(b *testing.B) {
	c := New(System(), nil)
	for b.Loop() {
		c.Now()
	}
}
