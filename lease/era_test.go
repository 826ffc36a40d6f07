package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/commit"
)

// restoredStore is an object API with one lease object that is restored from copies of itself.
// Its versions are numbers that are assigned again after a restore.
type restoredStore struct {
	era     int64
	version int
	record  Record
	copy    *restoredStore
}

// eraSimulation simulates several machines that use such a store. They share a clock; their calls
// take effect, and are answered, after any delay.
type eraSimulation struct {
	random *rand.Rand
	now    time.Time
	store  restoredStore
	nodes  []*eraNode
	// epochs holds the node that acquired each epoch.
	epochs map[int64]int
	// ignoresEras keeps eras from the machines, so that they compare versions across eras.
	ignoresEras bool
}

type eraNode struct {
	machine *Machine
	era     int64
	calls   []*eraCall
	// releasing is set from the write that releases the lease on.
	releasing bool
}

// eraCall is a call in flight: it first takes effect, and is answered later.
type eraCall struct {
	action Action
	// readIn is the era in which the version that conditions a write was read.
	readIn  int64
	applied bool
	era     int64
	event   Event
}

func newEraSimulation(seed uint64) *eraSimulation {
	w := &eraSimulation{random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), epochs: map[int64]int{}}
	w.store.era = 1
	for i := range 3 {
		w.nodes = append(w.nodes, &eraNode{machine: NewMachine(NewConfig(fmt.Sprintf("node-%d", i)))})
	}
	return w
}

func (w *eraSimulation) step(i int, e Event) error {
	n := w.nodes[i]
	for _, a := range n.machine.Step(w.now, e) {
		switch a := a.(type) {
		case Acquired:
			if owner, taken := w.epochs[a.Epoch]; taken && owner != i {
				return fmt.Errorf("epoch %d acquired by nodes %d and %d", a.Epoch, owner, i)
			}
			w.epochs[a.Epoch] = i
			n.releasing = false
		case Read, Write:
			if write, ok := a.(Write); ok && write.Record.Holder == "" {
				n.releasing = true
			}
			n.calls = append(n.calls, &eraCall{action: a, readIn: n.era})
		}
	}
	return w.checkSingleHolder()
}

// checkSingleHolder returns an error if two machines hold the lease now, or if one holds it
// with an epoch below that of another, as endpoints then ignore it.
func (w *eraSimulation) checkSingleHolder() error {
	holder := -1
	for i, n := range w.nodes {
		epoch, held := n.machine.Held(w.now)
		if !held || n.releasing {
			// A releasing holder may hold the lease until the answer arrives: the next holder
			// delays its first order.
			continue
		}
		for other, owner := range w.epochs {
			if owner != i && other > epoch {
				return fmt.Errorf("node %d holds epoch %d while %d is taken", i, epoch, other)
			}
		}
		if holder >= 0 {
			return fmt.Errorf("nodes %d and %d hold the lease", holder, i)
		}
		holder = i
	}
	return nil
}

// takeEffect applies a call to the store.
func (w *eraSimulation) takeEffect(c *eraCall) {
	s := &w.store
	c.applied, c.era = true, s.era
	write, isWrite := c.action.(Write)
	switch {
	case !isWrite && s.version == 0:
		c.event = Missing{}
	case !isWrite:
		c.event = Seen{Record: s.record, Version: w.versionOf(s.version), Revision: int64(s.version)}
	case write.Version != "" && write.Version != w.asRead(c.readIn, s.version) || write.Version == "" && s.version > 0:
		c.event = Wrote{Result: commit.Conflict}
	default:
		s.version++
		s.record = write.Record
		c.event = Wrote{Result: commit.Done, Version: w.versionOf(s.version), Revision: int64(s.version)}
		if !w.ignoresEras && write.Version != "" && c.readIn != s.era {
			// The client detects that the write reached another era than its condition.
			c.event = Wrote{Result: commit.Unknown}
		}
	}
}

func (w *eraSimulation) versionOf(version int) string { return w.asRead(w.store.era, version) }

// asRead returns a version as reported in an era. The store itself compares only the number.
func (w *eraSimulation) asRead(era int64, version int) string {
	if w.ignoresEras {
		era = 0
	}
	return fmt.Sprintf("%d/%d", era, version)
}

// answer delivers the outcome of a call.
func (w *eraSimulation) answer(i int, c *eraCall) error {
	n := w.nodes[i]
	if w.random.IntN(6) == 0 || !w.ignoresEras && c.era < n.era {
		// The answer is lost, or of an earlier era than the known one.
		c.event = Tick{}
		if _, wrote := c.action.(Write); wrote {
			c.event = Wrote{Result: commit.Unknown}
		}
	}
	if !w.ignoresEras && c.era > n.era {
		n.era = c.era
		if err := w.step(i, EraChanged{Era: c.era}); err != nil {
			return err
		}
	}
	return w.step(i, c.event)
}

// randomStep makes one random change.
func (w *eraSimulation) randomStep() error {
	i := w.random.IntN(len(w.nodes))
	n := w.nodes[i]
	switch w.random.IntN(10) {
	case 0, 1, 2:
		w.now = w.now.Add(time.Duration(1+w.random.IntN(1500)) * time.Millisecond)
		return w.step(i, Campaign{Want: w.random.IntN(8) > 0})
	case 3, 4, 5:
		for _, c := range n.calls {
			if !c.applied {
				w.takeEffect(c)
				break
			}
		}
	case 6, 7, 8:
		if len(n.calls) > 0 && n.calls[0].applied {
			c := n.calls[0]
			n.calls = n.calls[1:]
			return w.answer(i, c)
		}
	case 9:
		switch {
		case w.store.copy == nil || w.random.IntN(3) > 0:
			c := w.store
			c.copy = nil
			w.store.copy = &c
		case w.random.IntN(2) == 0:
			back := *w.store.copy
			back.era = w.store.era + 1
			w.store = back
		}
	}
	return nil
}

func (w *eraSimulation) run(steps int) error {
	for range steps {
		if err := w.randomStep(); err != nil {
			return err
		}
	}
	return nil
}

// TestOneHoldsAcrossEras restores the store from copies at any moment, between any two calls of
// the machines.
func TestOneHoldsAcrossEras(t *testing.T) {
	acquired := 0
	for seed := range uint64(3000) {
		w := newEraSimulation(seed)
		require.NoError(t, w.run(400), "seed %d", seed)
		acquired += len(w.epochs)
	}
	require.Greater(t, acquired, 3000, "the lease is taken")
}

// TestIgnoredErasAreDetected shows that the check of TestOneHoldsAcrossEras can fail.
func TestIgnoredErasAreDetected(t *testing.T) {
	for seed := range uint64(3000) {
		w := newEraSimulation(seed)
		w.ignoresEras = true
		if w.run(400) != nil {
			return
		}
	}
	t.Fatal("no schedule detects it")
}
