package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/clock"
	"github.com/eiderspring/eiderspring/commit"
)

// A machine that is suspended does not see its steady clock go on. A holder that judged
// its lease by that clock held it for as long again when it woke, beside the one who had
// taken it meanwhile.

// Times of the schedule.
const (
	suspendStep = 50 * time.Millisecond
	suspendRuns = 2000
)

// stored is the lease's object.
type stored struct {
	record  Record
	version int
	exists  bool
}

// instance is a machine with clocks of its own.
type instance struct {
	machine      *Machine
	steady, boot time.Duration
	// counts is false in the variant that judges by the steady clock.
	counts bool
	clock  *clock.Clock
	asleep time.Duration
}

func newInstance(name string, counts bool) *instance {
	i := &instance{counts: counts, machine: NewMachine(Config{
		Holder: name, Duration: 1800 * time.Millisecond, RenewEvery: 500 * time.Millisecond, ClockDrift: 200 * time.Millisecond,
	})}
	start := time.Unix(1_000, 0)
	i.clock = clock.New(clock.Source{
		Now:       func() time.Time { return start.Add(i.steady) },
		WallClock: func(time.Time) time.Duration { return i.boot },
		Boot:      func() (time.Duration, error) { return i.boot, nil },
	}, nil)
	return i
}

func (i *instance) now() time.Time {
	if i.counts {
		return i.clock.NowExact()
	}
	return time.Unix(1_000, 0).Add(i.steady)
}

// step gives the machine an event and carries out what follows from it.
func (i *instance) step(s *stored, e Event) {
	for _, a := range i.machine.Step(i.now(), e) {
		switch a := a.(type) {
		case Read:
			if !s.exists {
				i.step(s, Missing{})
				continue
			}
			i.step(s, Seen{Record: s.record, Version: versionText(s.version)})
		case Write:
			if (a.Version == "") == s.exists || s.exists && a.Version != versionText(s.version) {
				i.step(s, Wrote{Result: commit.Conflict})
				continue
			}
			s.record, s.exists = a.Record, true
			s.version++
			i.step(s, Wrote{Result: commit.Done, Version: versionText(s.version)})
		}
	}
}

func versionText(v int) string { return time.Duration(v).String() }

// held tells whether an order would be sent now: the time is read again right before.
func (i *instance) held() bool {
	_, held := i.machine.Held(i.now())
	return held
}

// playSuspensions suspends instances at random, also twice in a row and together, and
// counts the moments in which two of those awake hold the lease.
func playSuspensions(seed uint64, counts bool) int {
	random := rand.New(rand.NewPCG(seed, 5))
	s := &stored{}
	all := []*instance{newInstance("a", counts), newInstance("b", counts), newInstance("c", counts)}
	both := 0
	for range suspendRuns {
		holders := 0
		for _, i := range all {
			i.boot += suspendStep
			if i.asleep > 0 {
				i.asleep -= suspendStep
				continue
			}
			i.steady += suspendStep
			// Right behind a wake an order may go out before any tick.
			if i.held() {
				holders++
			}
			i.step(s, Campaign{Want: true})
			if random.IntN(200) == 0 {
				i.asleep = time.Duration(1+random.IntN(200)) * suspendStep
			}
		}
		if holders > 1 {
			both++
		}
	}
	return both
}

func TestSuspendedHolderHoldsNothingWhenItWakes(t *testing.T) {
	for seed := range uint64(200) {
		require.Zero(t, playSuspensions(seed, true), "seed %d", seed)
	}
}

// TestSteadyClockIsCaught is the variant that judges by the steady clock.
func TestSteadyClockIsCaught(t *testing.T) {
	caught := 0
	for seed := range uint64(20) {
		caught += playSuspensions(seed, false)
	}
	require.NotZero(t, caught)
}
