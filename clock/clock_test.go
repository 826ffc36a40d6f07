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
			return m.boot, nil
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
