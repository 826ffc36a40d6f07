package lease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/clock"
	"github.com/eiderspring/eiderspring/commit"
)

// The monotonic clock stands still while a machine is suspended. A holder that checked its
// lease against that clock still considered it valid after waking up, beside the instance that
// had acquired it meanwhile.

// Parameters of the simulation.
const (
	suspendStep = 50 * time.Millisecond
	suspendRuns = 2000
)

// stored is the stored lease object.
type stored struct {
	record  Record
	version int
	exists  bool
}

// instance is a machine with its own clocks.
type instance struct {
	machine      *Machine
	steady, boot time.Duration
	// countsSuspension is false in the variant that uses the monotonic clock alone.
	countsSuspension bool
	clock            *clock.Clock
	suspendedFor     time.Duration
}

func newInstance(name string, countsSuspension bool) *instance {
	i := &instance{countsSuspension: countsSuspension, machine: NewMachine(Config{
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
	if i.countsSuspension {
		return i.clock.NowExact()
	}
	return time.Unix(1_000, 0).Add(i.steady)
}

// step applies an event and executes the actions that follow from it.
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

// held reports whether an order would be sent now: the time is read again right before.
func (i *instance) held() bool {
	_, held := i.machine.Held(i.now())
	return held
}

// simulateSuspensions suspends instances at random, also twice in a row and together, and
// counts the steps in which two running instances hold the lease.
func simulateSuspensions(seed uint64, countsSuspension bool) int {
	random := rand.New(rand.NewPCG(seed, 5))
	s := &stored{}
	all := []*instance{newInstance("a", countsSuspension), newInstance("b", countsSuspension), newInstance("c", countsSuspension)}
	conflicts := 0
	for range suspendRuns {
		holders := 0
		for _, i := range all {
			i.boot += suspendStep
			if i.suspendedFor > 0 {
				i.suspendedFor -= suspendStep
				continue
			}
			i.steady += suspendStep
			// Right after waking up an order may be sent before any tick.
			if i.held() {
				holders++
			}
			i.step(s, Campaign{Want: true})
			if random.IntN(200) == 0 {
				i.suspendedFor = time.Duration(1+random.IntN(200)) * suspendStep
			}
		}
		if holders > 1 {
			conflicts++
		}
	}
	return conflicts
}

func TestLeaseExpiresDuringSuspension(t *testing.T) {
	for seed := range uint64(200) {
		require.Zero(t, simulateSuspensions(seed, true), "seed %d", seed)
	}
}

// TestMonotonicClockWithoutSuspensionIsDetected shows that the simulation detects holders that
// ignore suspensions.
func TestMonotonicClockWithoutSuspensionIsDetected(t *testing.T) {
	detected := 0
	for seed := range uint64(20) {
		detected += simulateSuspensions(seed, false)
	}
	require.NotZero(t, detected)
}
