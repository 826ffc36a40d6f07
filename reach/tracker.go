package reach

import "time"

// State is what is known of the path to the endpoints.
type State string

// States of a Tracker.
const (
	// Reachable means that there is no sign that the path is lost.
	Reachable State = "reachable"
	// Suspected means that probes are to show whether the path is lost.
	Suspected State = "suspected"
	// CutOff means that no probe has reached an endpoint.
	CutOff State = "cut_off"
)

const (
	// silentAfter is how long a request may be without an answer, while no endpoint at all sends
	// anything, before that raises a suspicion.
	silentAfter = 400 * time.Millisecond
	// suspicionPause is the shortest time between two suspicions, so that an endpoint that is
	// down or slow does not cause probes all the time.
	suspicionPause = time.Second
	// firstProbes and moreProbes are how many endpoints are probed at once, when the path is
	// suspected and when the first probe has failed.
	firstProbes = 1
	moreProbes  = 4
	// returnProbes is how many endpoints are probed at once while cut off, returnPause the time
	// between two such rounds, and returnRounds how many rounds in a row must reach one.
	returnProbes = 2
	returnPause  = 300 * time.Millisecond
	returnRounds = 2
)

// Event is an input of Tracker.Step.
type Event interface{ event() }

type (
	// Opened reports a connection to an endpoint that was opened, by anyone but a probe.
	Opened struct{}
	// OpenFailed reports a connection to the endpoint at Address that could not be opened, by anyone
	// but a probe.
	OpenFailed struct{ Address string }
	// ProbesEnded ends the round of probes with that number. Reached is set if an endpoint has
	// accepted a connection.
	ProbesEnded struct {
		Round   int64
		Reached bool
	}
	// Tick reports for how long requests have been without an answer while no endpoint has sent
	// anything; 0 if none waits.
	Tick struct{ Unanswered time.Duration }
)

func (Opened) event()      {}
func (OpenFailed) event()  {}
func (ProbesEnded) event() {}
func (Tick) event()        {}

// Action is an output of Tracker.Step.
type Action interface{ action() }

type (
	// Probe demands a round of probes of Count endpoints other than that at Except, which ends with
	// ProbesEnded.
	Probe struct {
		Round  int64
		Count  int
		Except string
	}
	// Changed reports a change of the state.
	Changed struct{ From, To State }
)

func (Probe) action()   {}
func (Changed) action() {}

// Tracker decides whether the path to the endpoints is lost.
//
// Invariant: while Suspected one round of probes is in progress. A round that was overtaken by a
// connection that was opened is ignored when it ends.
type Tracker struct {
	state State
	// round is the number of the last round of probes, probing is set while it is in progress,
	// and widened once the second round of a suspicion has begun.
	round            int64
	probing, widened bool
	// suspect is the address of the endpoint whose failure raised the suspicion; empty if silence
	// did.
	suspect string
	// quietUntil is when the next suspicion may be raised, probeAt when the next round begins
	// while cut off.
	quietUntil, probeAt time.Time
	// reached is how many rounds in a row have reached an endpoint while cut off.
	reached int
}

// NewTracker returns a tracker that knows of no sign that the path is lost.
func NewTracker() *Tracker { return &Tracker{state: Reachable} }

// State returns the state.
func (t *Tracker) State() State { return t.state }

// Doubtful reports whether at least two endpoints could not be reached, so that a failure to
// reach one says nothing about it.
func (t *Tracker) Doubtful() bool { return t.state == CutOff || t.state == Suspected && t.widened }

// Step applies an event.
func (t *Tracker) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case Opened:
		return t.opened(now)
	case OpenFailed:
		return t.raise(now, e.Address)
	case ProbesEnded:
		return t.probesEnded(now, e)
	case Tick:
		return t.tick(now, e)
	default:
		return nil
	}
}

// opened handles a connection that was opened. It ends a suspicion, but a cut only ends by probes:
// their attempts are spread over the endpoints and over time.
func (t *Tracker) opened(now time.Time) []Action {
	if t.state != Suspected {
		return nil
	}
	return t.restore(now)
}

// raise raises a suspicion. The endpoint whose failure is the reason is not probed: only others can
// show that it is the path.
func (t *Tracker) raise(now time.Time, suspect string) []Action {
	if t.state != Reachable || now.Before(t.quietUntil) {
		return nil
	}
	t.widened, t.suspect = false, suspect
	return append(t.change(Suspected), t.probe(firstProbes))
}

func (t *Tracker) tick(now time.Time, e Tick) []Action {
	switch {
	case t.state == Reachable && e.Unanswered >= silentAfter:
		return t.raise(now, "")
	case t.state == CutOff && !t.probing && !now.Before(t.probeAt):
		return []Action{t.probe(returnProbes)}
	default:
		return nil
	}
}

func (t *Tracker) probesEnded(now time.Time, e ProbesEnded) []Action {
	if e.Round != t.round {
		// The suspicion had ended before its probes.
		return nil
	}
	t.probing = false
	switch {
	case t.state == CutOff:
		return t.returnRoundEnded(now, e.Reached)
	case t.state == Reachable:
		return nil
	case e.Reached:
		return t.restore(now)
	case !t.widened:
		t.widened = true
		return []Action{t.probe(moreProbes)}
	default:
		t.reached, t.probeAt, t.suspect = 0, now.Add(returnPause), ""
		return t.change(CutOff)
	}
}

// returnRoundEnded handles the end of a round of probes while cut off.
func (t *Tracker) returnRoundEnded(now time.Time, reached bool) []Action {
	t.probeAt = now.Add(returnPause)
	if !reached {
		t.reached = 0
		return nil
	}
	if t.reached++; t.reached < returnRounds {
		return nil
	}
	return t.restore(now)
}

// restore returns to Reachable.
func (t *Tracker) restore(now time.Time) []Action {
	t.quietUntil = now.Add(suspicionPause)
	return t.change(Reachable)
}

func (t *Tracker) change(to State) []Action {
	from := t.state
	t.state = to
	return []Action{Changed{From: from, To: to}}
}

func (t *Tracker) probe(count int) Action {
	t.round++
	t.probing = true
	return Probe{Round: t.round, Count: count, Except: t.suspect}
}
