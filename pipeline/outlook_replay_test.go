package pipeline

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/admission"
	"github.com/eiderspring/eiderspring/outlook"
)

// The replay runs the queues of 62 instances, the forecasts and the messages between them in
// steps, with callers that come back when they are told. Places are seen by all instances at
// once, which is what lending them is for.

const (
	fleetInstances = 62
	fleetStep      = 5 * time.Millisecond
	// Messages are sent each 100 ms and take 20 ms, as do those of the instance that tells.
	fleetMessages = 100 * time.Millisecond
	fleetDelay    = 20 * time.Millisecond
	// maxTries is how often a caller tries.
	maxTries = 3
	// fleetPatience is how long a caller tries, in all.
	fleetPatience = 12 * time.Second
	unitName      = "m"
)

// replayLoad is a load, the places for it, and what the instance that tells knows.
type replayLoad struct {
	// arrivals returns how many first tries arrive in a second at a time.
	arrivals func(at time.Duration) float64
	targets  []time.Duration
	places   int
	// hold is how long a request keeps its place.
	hold time.Duration
	// ready is when the places come, by a load that is known from the beginning.
	ready time.Duration
	// silent is from when on the instance that tells is gone; 0 for never.
	silent time.Duration
	length time.Duration
}

// replayResult is what callers saw.
type replayResult struct {
	// inTime counts those whose first try was served in its target, onReturn those of whom a
	// later one was.
	asked, inTime, onReturn, refused, refusedTwice int
	// heldMS is the mean time for which refused tries were held.
	heldMS float64
	// longest is the longest that a refused try was held.
	longest time.Duration
}

type replayCaller struct {
	target, deadline time.Duration
	tries            int
	// promised is when it was told to come back, since when it joined the queue before.
	promised, since time.Duration
}

type replayTry struct {
	*replayCaller
	arrived time.Duration
	x       *Exchange
}

type fleetReplay struct {
	replayLoad
	with       bool
	queues     []*admission.Queue
	boards     []outlook.Board
	started    []int64
	tries      map[*admission.Waiter]replayTry
	forecaster outlook.Forecaster
	running    []time.Duration
	returns    map[time.Duration][]*replayCaller
	promises   []outlook.Promise
	random     *rand.Rand
	result     replayResult
	held       time.Duration
	serial     int
	clock      time.Duration
}

func moment(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

func (l replayLoad) run(with bool) replayResult {
	r := &fleetReplay{
		replayLoad: l, with: with, boards: make([]outlook.Board, fleetInstances), started: make([]int64, fleetInstances),
		tries: map[*admission.Waiter]replayTry{}, returns: map[time.Duration][]*replayCaller{}, random: rand.New(rand.NewPCG(1, 2)),
	}
	for range fleetInstances {
		r.queues = append(r.queues, admission.NewQueue(admission.Limits{MaxWaiters: 1000, MaxBytes: 1 << 20}))
	}
	due := 0.0
	for at := time.Duration(0); at < l.length; at += fleetStep {
		r.clock = at
		for due += l.arrivals(at) * fleetStep.Seconds(); due >= 1; due-- {
			target := l.targets[r.result.asked%len(l.targets)]
			r.result.asked++
			r.arrive(at, &replayCaller{target: target, deadline: at + fleetPatience})
		}
		for _, c := range r.returns[at] {
			r.arrive(at, c)
		}
		delete(r.returns, at)
		r.serve(at)
		if at%fleetMessages == 0 {
			r.report(at)
		}
		if at%fleetMessages == fleetDelay {
			r.announce(at)
		}
	}
	r.result.heldMS = float64(r.held.Milliseconds()) / float64(max(r.result.refused, 1))
	return r.result
}

// arrive sends a try of a caller to some instance.
func (r *fleetReplay) arrive(at time.Duration, c *replayCaller) {
	i := r.random.IntN(fleetInstances)
	c.tries++
	x := engineExchange()
	x.returned = Return{Promised: c.promised > 0, Since: moment(c.since)}
	x.returned.InTime = x.returned.Promised && (at-c.promised).Abs() <= returnTolerance
	r.serial++
	w := &admission.Waiter{
		ID: fmt.Sprint(r.serial), Unit: unitName, Priority: x.Target.Policy.Priority, Arrived: x.arrivedAt(moment(at)), StartBy: moment(at + min(c.target, c.deadline-at)),
	}
	if r.with && !x.returned.InTime {
		w.CannotStart = func() bool {
			f, known := r.boards[i].Look(moment(r.clock), unitName, x.Target.Policy.Priority)
			return known && cannotStart(f, r.clock == at, moment(r.clock), w.StartBy)
		}
	}
	r.tries[w] = replayTry{replayCaller: c, arrived: at, x: x}
	if w.CannotStart != nil && r.free(at) == 0 && w.CannotStart() {
		r.refuse(at, i, w)
		return
	}
	r.queues[i].Enqueue(w)
}

func (r *fleetReplay) free(at time.Duration) int {
	if at < r.ready {
		return 0
	}
	kept := r.running[:0]
	for _, end := range r.running {
		if end > at {
			kept = append(kept, end)
		}
	}
	r.running = kept
	return r.places - len(kept)
}

// serve lets the instances take free places, in random order.
func (r *fleetReplay) serve(at time.Duration) {
	for _, i := range r.random.Perm(fleetInstances) {
		admitted, refused := r.queues[i].Admit(moment(at), func(*admission.Waiter) bool {
			if r.free(at) == 0 {
				return false
			}
			r.running = append(r.running, at+r.hold*3/4+time.Duration(r.random.Float64()*float64(r.hold)/2))
			return true
		})
		for _, w := range admitted {
			r.started[i]++
			if r.tries[w].tries == 1 {
				r.result.inTime++
			} else {
				r.result.onReturn++
			}
			delete(r.tries, w)
		}
		for _, f := range refused {
			r.refuse(at, i, f.Waiter)
		}
		for _, f := range r.queues[i].RemoveHopeless() {
			r.refuse(at, i, f.Waiter)
		}
	}
}

// refuse sends a caller away until the time that it is told, or a third of what it has left.
func (r *fleetReplay) refuse(at time.Duration, i int, w *admission.Waiter) {
	try := r.tries[w]
	delete(r.tries, w)
	r.result.refused++
	if try.tries > 1 {
		r.result.refusedTwice++
	}
	r.held += at - try.arrived
	r.result.longest = max(r.result.longest, at-try.arrived)
	left := (try.deadline - at) / 3
	after := time.Duration(float64(noCapacityRetryAfter) * (1 + 0.3*r.random.Float64()))
	if at < r.ready {
		after = time.Duration(float64(noReplicaRetryAfter) * (1 + 0.3*r.random.Float64()))
	}
	try.promised = 0
	if r.with {
		shift := time.Duration(r.random.Float64() * float64(300*time.Millisecond))
		slot, ok := r.boards[i].Reserve(moment(at), unitName, shift, moment(at+left))
		if !slot.IsZero() {
			after = slot.Sub(moment(at))
		}
		if ok {
			try.promised, try.since = at+after, try.x.queuedAt.Sub(moment(0))
			r.promises = append(r.promises, outlook.Promise{Unit: unitName, InMS: after.Milliseconds()})
		}
	}
	back := (at + min(after, left)).Truncate(fleetStep) + fleetStep
	if try.tries < maxTries {
		r.returns[back] = append(r.returns[back], try.replayCaller)
	}
}

// report sends what the instances know to the one that tells.
func (r *fleetReplay) report(at time.Duration) {
	for i, q := range r.queues {
		waiting := map[int]int{}
		for _, w := range q.Waiters(unitName) {
			waiting[w.Priority]++
		}
		r.forecaster.ReceiveStarts(moment(at), fmt.Sprint(i), "p", []outlook.Starts{{Unit: unitName, Started: r.started[i], Waiting: waiting}})
	}
	r.forecaster.ReceivePromises(moment(at), r.promises)
	r.promises = nil
}

// announce sends the forecast to all instances.
func (r *fleetReplay) announce(at time.Duration) {
	if r.silent > 0 && at >= r.silent {
		return
	}
	loads := map[string]outlook.Load{}
	if at < r.ready {
		loads[unitName] = outlook.Load{Ready: moment(r.ready), Places: r.places}
	}
	entries := r.forecaster.Forecast(moment(at), loads)
	for i := range r.boards {
		r.boards[i].Receive(moment(at), entries)
	}
}

// TestReplayTwiceTheRoom answers a unit whose two replicas of 12 places are asked for twice what
// they can take, for 3 s. It guards against callers who are held for their whole target and then
// come back together to be refused again, and against turning away more than have no room.
func TestReplayTwiceTheRoom(t *testing.T) {
	load := peakLoad(32)
	without, with := load.run(false), load.run(true)
	t.Logf("without %+v\nwith %+v", without, with)
	require.GreaterOrEqual(t, with.inTime+with.onReturn, without.inTime+without.onReturn)
	require.Less(t, with.refusedTwice, without.refusedTwice/2)
	require.Less(t, with.heldMS, without.heldMS/2)
}

// peakLoad returns a load of perSecond requests for 3 s, before two replicas that take 16.
func peakLoad(perSecond float64) replayLoad {
	return replayLoad{
		places: 24, hold: 1500 * time.Millisecond, targets: []time.Duration{400 * time.Millisecond, 1200 * time.Millisecond}, length: 14 * time.Second,
		arrivals: func(at time.Duration) float64 {
			if at >= time.Second && at < 4*time.Second {
				return perSecond
			}
			return 8
		},
	}
}

// TestReplayPeaks guards against a forecast that helps at one load and turns away callers at
// others: a peak just above the room, and one of three times the room.
func TestReplayPeaks(t *testing.T) {
	for _, peak := range []float64{12, 20, 24, 48} {
		load := peakLoad(peak)
		without, with := load.run(false), load.run(true)
		t.Logf("peak %v\nwithout %+v\nwith %+v", peak, without, with)
		require.GreaterOrEqual(t, with.inTime+with.onReturn, without.inTime+without.onReturn)
		require.LessOrEqual(t, with.refusedTwice, without.refusedTwice)
		require.LessOrEqual(t, with.heldMS, without.heldMS)
	}
}

// TestReplayLoad answers a unit that is loaded in 3.8 s and asked for by callers with targets of
// 400 ms and of 4 s: the former are refused at once and come back when it is there, the latter wait
// for it.
func TestReplayLoad(t *testing.T) {
	load := replayLoad{
		places: 12, hold: time.Second, targets: []time.Duration{400 * time.Millisecond, 4 * time.Second}, length: 16 * time.Second, ready: 3800 * time.Millisecond,
		arrivals: func(at time.Duration) float64 {
			if at < 4*time.Second {
				return 6
			}
			return 2
		},
	}
	without, with := load.run(false), load.run(true)
	t.Logf("without %+v\nwith %+v", without, with)
	require.GreaterOrEqual(t, with.inTime+with.onReturn, without.inTime+without.onReturn)
	require.LessOrEqual(t, with.refusedTwice, without.refusedTwice)
	require.Less(t, with.heldMS, without.heldMS/2)
}

// TestReplayTellerGone guards against refusals by a forecast of an instance that is gone: a second
// later all is as without it.
func TestReplayTellerGone(t *testing.T) {
	load := replayLoad{
		places: 12, hold: time.Second, targets: []time.Duration{400 * time.Millisecond}, length: 8 * time.Second, ready: 3800 * time.Millisecond, silent: 500 * time.Millisecond,
		arrivals: func(time.Duration) float64 { return 6 },
	}
	require.Equal(t, 400*time.Millisecond, load.run(true).longest)
	load.silent = 0
	load.ready = 8 * time.Second
	require.Less(t, load.run(true).longest, 400*time.Millisecond)
}
