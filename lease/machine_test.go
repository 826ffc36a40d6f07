package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/commit"
	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// simStore is an object API with one lease object, controlled by the simulated adversary.
type simStore struct {
	record  Record
	version int
	// late are writes that the client gave up on and that have not taken effect yet.
	late []Write
}

func (s *simStore) write(w Write) (commit.Result, string) {
	current := ""
	if s.version > 0 {
		current = fmt.Sprint(s.version)
	}
	if w.Version != current && w.Version != anyVersion {
		return commit.Conflict, ""
	}
	s.record = w.Record
	s.version++
	return commit.Done, fmt.Sprint(s.version)
}

// anyVersion makes a write unconditional, for broken variants.
const anyVersion = "any"

// simNode is an instance whose store calls are delayed by the adversary.
type simNode struct {
	machine *Machine
	clock   time.Time
	// pending are the store calls that have not been answered.
	pending []Action
}

// simulation is a random schedule of pauses, delays, lost answers and late writes.
type simulation struct {
	draw        func(n int) int
	mutateWrite func(Write) Write
	store       simStore
	nodes       []*simNode
	// owner holds the node that acquired each epoch.
	owner     map[int64]int
	violation error
}

const (
	simNodes = 3
	simSteps = 150
)

// simulate returns the first violation: an epoch acquired twice, or one that
// is not above all before it. An endpoint that checks fencing numbers then
// obeys one holder only, whatever the pauses between check and order.
func simulate(draw func(n int) int, mutateWrite func(Write) Write) error {
	s := &simulation{draw: draw, mutateWrite: mutateWrite, owner: map[int64]int{}}
	for i := range simNodes {
		s.nodes = append(s.nodes, &simNode{machine: NewMachine(NewConfig(fmt.Sprintf("node-%d", i))), clock: time.Unix(1000, 0)})
		s.step(i, Campaign{Want: true})
	}
	for range simSteps {
		s.randomStep()
	}
	return s.violation
}

func (s *simulation) step(i int, e Event) {
	n := s.nodes[i]
	for _, a := range n.machine.Step(n.clock, e) {
		switch a := a.(type) {
		case Acquired:
			if owner, taken := s.owner[a.Epoch]; taken && owner != i {
				s.violation = fmt.Errorf("epoch %d acquired by nodes %d and %d", a.Epoch, owner, i)
			}
			s.owner[a.Epoch] = i
		case Read:
			n.pending = append(n.pending, a)
		case Write:
			n.pending = append(n.pending, s.mutateWrite(a))
		}
	}
}

func (s *simulation) randomStep() {
	i := s.draw(len(s.nodes))
	n := s.nodes[i]
	switch s.draw(8) {
	case 0, 1, 2:
		n.clock = n.clock.Add(time.Duration(1+s.draw(9000)) * time.Millisecond)
		s.step(i, Tick{})
	case 3, 4, 5:
		if len(n.pending) > 0 {
			call := n.pending[0]
			n.pending = n.pending[1:]
			s.answer(i, call)
		}
	case 6:
		if len(s.store.late) > 0 {
			s.store.write(s.store.late[0])
			s.store.late = s.store.late[1:]
		}
	case 7:
		s.step(i, Campaign{Want: s.draw(4) > 0})
	}
}

func (s *simulation) answer(i int, call Action) {
	fate := s.draw(6)
	switch call := call.(type) {
	case Read:
		switch {
		case fate == 0:
		case s.store.version == 0:
			s.step(i, Missing{})
		default:
			s.step(i, Seen{Record: s.store.record, Version: fmt.Sprint(s.store.version)})
		}
	case Write:
		if fate == 0 {
			s.store.late = append(s.store.late, call)
			s.step(i, Wrote{Result: commit.Unknown})
			return
		}
		result, version := s.store.write(call)
		if fate == 1 {
			result = commit.Unknown
		}
		s.step(i, Wrote{Result: result, Version: version})
	}
}

func unmodified(w Write) Write { return w }

func TestEpochsAreAcquiredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		require.NoError(t, simulate(draw, unmodified))
	})
}

func TestEpochsAreAcquiredOnceInManySchedules(t *testing.T) {
	for seed := range uint64(5000) {
		require.NoError(t, simulate(rand.New(rand.NewPCG(seed, 0)).IntN, unmodified), "seed %d", seed)
	}
}

// TestBrokenVariantsAreDetected shows that simulate detects broken variants.
func TestBrokenVariantsAreDetected(t *testing.T) {
	for name, mutateWrite := range map[string]func(Write) Write{
		"epoch does not grow": func(w Write) Write {
			w.Record.Epoch = 1
			return w
		},
		"write is not conditional": func(w Write) Write {
			w.Version = anyVersion
			return w
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5000) {
				if simulate(rand.New(rand.NewPCG(seed, 0)).IntN, mutateWrite) != nil {
					return
				}
			}
			t.Fatal("no schedule detects this variant")
		})
	}
}

func TestTwoCampaigners(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewMachine(NewConfig("a"))
	require.Equal(t, []Action{Read{}}, a.Step(now, Campaign{Want: true}))
	first := Write{Record: Record{Holder: "a", Epoch: 1}}
	require.Equal(t, []Action{first}, a.Step(now, Missing{}))
	require.Equal(t, []Action{Acquired{Epoch: 1}}, a.Step(now, Wrote{Result: commit.Done, Version: "1"}))

	b := NewMachine(NewConfig("b"))
	b.Step(now, Campaign{Want: true})
	require.Empty(t, b.Step(now, Seen{Record: first.Record, Version: "1"}))
	almost := now.Add(DefaultDuration)
	require.Equal(t, []Action{Read{}}, b.Step(almost, Tick{}), "the challenger also waits for the clock drift")
	_, held := a.Held(almost)
	require.False(t, held, "the holder's own lease ends first")
	takeover := b.Step(now.Add(DefaultDuration+DefaultClockDrift), Tick{})
	require.Equal(t, []Action{Write{Record: Record{Holder: "b", Epoch: 2}, Version: "1"}}, takeover)
}

// newHolder returns a machine that has acquired the lease at now, at version 1 of its record.
func newHolder(now time.Time) *Machine {
	m := NewMachine(NewConfig("a"))
	m.Step(now, Campaign{Want: true})
	m.Step(now, Missing{})
	m.Step(now, Wrote{Result: commit.Done, Version: "1"})
	return m
}

func TestLostAnswerOfRenewalCountsFromItsSending(t *testing.T) {
	now := time.Unix(0, 0)
	m := newHolder(now)
	sent := now.Add(DefaultRenewEvery)
	renewal := m.Step(sent, Tick{})
	require.Len(t, renewal, 1)
	read := sent.Add(2 * time.Second)
	require.Equal(t, []Action{Read{}}, m.Step(read, Wrote{Result: commit.Unknown}))
	m.Step(read.Add(time.Second), Seen{Record: renewal[0].(Write).Record, Version: "2"})
	_, held := m.Held(sent.Add(DefaultDuration - DefaultClockDrift - 1))
	require.True(t, held)
	_, held = m.Held(sent.Add(DefaultDuration - DefaultClockDrift))
	require.False(t, held)
}

func TestReleaseFreesTheLeaseAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	a := newHolder(now)
	release := a.Step(now, Campaign{Want: false})
	require.Equal(t, []Action{Lost{Epoch: 1}, Write{Record: Record{Epoch: 1, Renewals: 1}, Version: "1"}}, release)
	require.Empty(t, a.Step(now, Wrote{Result: commit.Done, Version: "2"}))
	b := NewMachine(NewConfig("b"))
	b.Step(now, Campaign{Want: true})
	require.Equal(t, []Action{Write{Record: Record{Holder: "b", Epoch: 2}, Version: "2"}},
		b.Step(now, Seen{Record: release[1].(Write).Record, Version: "2"}))
}

// TestLeaseIsNotUsedBehindItsRelease guards against two holders: the store gives the lease up and the answer is
// lost, so that the former holder learns of its successor later than the successor acts.
func TestLeaseIsNotUsedBehindItsRelease(t *testing.T) {
	now := time.Unix(0, 0)
	m := newHolder(now)
	m.Step(now, Campaign{Want: false})
	_, held := m.Held(now)
	require.False(t, held, "the successor may hold it already")
	require.Equal(t, []Action{Read{}}, m.Step(now.Add(readInterval), Wrote{Result: commit.Unknown}))
	_, held = m.Held(now.Add(readInterval))
	require.False(t, held)
	// The write has not taken effect: it is repeated, and the lease is not acquired again by it.
	again := m.Step(now.Add(readInterval), Seen{Record: Record{Holder: "a", Epoch: 1}, Version: "1"})
	require.Equal(t, []Action{Write{Record: Record{Epoch: 1, Renewals: 1}, Version: "1"}}, again)
	require.Empty(t, m.Step(now.Add(readInterval), Wrote{Result: commit.Done, Version: "2"}))
}

// TestObservationCountsTowardsTheWait observes a lease whose holder is gone before campaigning:
// the lease is acquired as soon as it has not been renewed for its duration, and not before.
func TestObservationCountsTowardsTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := Config{Holder: "b", Duration: 1800 * time.Millisecond, RenewEvery: 500 * time.Millisecond, ClockDrift: 200 * time.Millisecond}
	m := NewMachine(cfg)
	require.Equal(t, []Action{Read{}}, m.Step(now, Campaign{Observe: true}))
	seen := Seen{Record: Record{Holder: "a", Epoch: 4}, Version: "7", Revision: 7}
	require.Empty(t, m.Step(now, seen))
	now = now.Add(1900 * time.Millisecond)
	require.Empty(t, m.Step(now, Campaign{Observe: true}), "a known record is not read again")
	require.Equal(t, []Action{Read{}}, m.Step(now, Campaign{Want: true}))
	require.Empty(t, m.Step(now, seen), "not for its whole duration yet")
	now = now.Add(100 * time.Millisecond)
	actions := m.Step(now, Campaign{Want: true})
	require.Equal(t, []Action{Write{Record: Record{Holder: "b", Epoch: 5}, Version: "7"}}, actions)
	observer := NewMachine(cfg)
	observer.Step(now, Campaign{Observe: true})
	observer.Step(now, Missing{})
	require.Empty(t, observer.Step(now, Campaign{Observe: true}), "an observer does not acquire the lease")
}
