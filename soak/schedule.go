package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is the kind of a fault.
type Action string

// Actions of faults. Faults with a duration end after Fault.For.
const (
	// NodeTerm and NodeKill stop an instance by SIGTERM or SIGKILL and restart it
	// after For. NodePause pauses it by SIGSTOP. NodeHangup sends SIGHUP.
	NodeTerm   Action = "node-term"
	NodeKill   Action = "node-kill"
	NodePause  Action = "node-pause"
	NodeHangup Action = "node-hangup"
	// NodeStopSeries is a NodeTerm during which further signals arrive: reloads and requests to stop.
	NodeStopSeries Action = "node-stop-series"
	// NodeStandstill is a NodePause that exceeds the idle timeout of connections.
	NodeStandstill Action = "node-standstill"
	// AllKill kills all instances at once.
	AllKill Action = "all-kill"
	// WorkerTerm, WorkerKill and WorkerPause do the same to an endpoint. After a stop
	// it restarts as a new incarnation, under a new id.
	WorkerTerm  Action = "worker-term"
	WorkerKill  Action = "worker-kill"
	WorkerPause Action = "worker-pause"
	// WorkerRestart kills an endpoint, which restarts under the same id without its
	// state.
	WorkerRestart Action = "worker-reborn"
	// WorkerLimit makes an endpoint announce a limit of LimitPerSecond for all instances
	// together, for LimitTime.
	WorkerLimit Action = "worker-limit"
	// ForeignEntry writes entries of a foreign writer among those of the endpoints.
	ForeignEntry Action = "foreign-entry"
	// StoreRefusing, StoreLosing and StoreSilent make the store refuse calls, perform
	// them without responding, or ignore them. While it is silent, entries expire; they
	// reappear when their endpoints renew them. StoreForget drops the store's history.
	StoreRefusing Action = "store-refusing"
	StoreLosing   Action = "store-losing"
	StoreSilent   Action = "store-silent"
	StoreForget   Action = "store-forget"
	// StoreCopied restores the store from a snapshot of age SnapshotAge; the operator and the
	// endpoints rewrite what they wrote since.
	StoreCopied Action = "store-copied"
	// LinkDelay, LinkSilence, LinkOneWay and LinkReset are modes of a link's Proxy.
	// LinkMute drops all data of the connections that are open at that time, for good;
	// new connections work.
	LinkDelay   Action = "link-delay"
	LinkSilence Action = "link-silence"
	LinkOneWay  Action = "link-one-way"
	LinkReset   Action = "link-reset"
	LinkMute    Action = "link-mute"
	// CrashingRequest is a request that crashes each endpoint that runs it and that is
	// resent to all instances until resendTail after the last fault.
	CrashingRequest Action = "crashing-request"
	// CrashingPart is a part of prompts that crashes each endpoint which begins to run a request
	// with it. Requests that are all different share it; they go on as those of CrashingRequest.
	CrashingPart Action = "crashing-part"
	// CallerSurge has many callers open connections at one instance at once.
	CallerSurge Action = "caller-surge"
	// Reconfigure writes a new configuration, in which a route is moved, or moved back.
	Reconfigure Action = "reconfigure"
)

// Link is a connection between processes that goes through a proxy.
type Link string

// Links of a testbed.
const (
	LinkStore   Link = "store"
	LinkWorker  Link = "worker"
	LinkCallers Link = "callers"
)

// Fault is one entry of a schedule.
type Fault struct {
	At, For time.Duration
	Action  Action
	// Target is the index of the instance or endpoint; Link is which of its links.
	Target int
	Link   Link
}

// String returns the fault as one line for the log.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s action=%s target=%d link=%s for=%s", f.At, f.Action, f.Target, f.Link, f.For)
}

// Size is the number of processes of each kind in a testbed, and the time during which
// faults are injected.
type Size struct {
	Nodes, Engines, Plain int
	Faults                time.Duration
}

// faultInterval is the mean time between two faults. Each lasts between minFaultTime
// and maxFaultTime, so that faults overlap.
const (
	faultInterval = 700 * time.Millisecond
	minFaultTime  = 300 * time.Millisecond
	maxFaultTime  = 3 * time.Second
	// standstillExtra is added to the duration of a NodeStandstill.
	standstillExtra = 3700 * time.Millisecond
)

// firstActions are drawn with equal probability; actions that are listed twice occur
// more often. Regression cases that name this list draw from it, so that their
// schedules stay the same.
var firstActions = []Action{
	NodeTerm, NodeTerm, NodeKill, NodeKill, NodePause, NodePause, NodeHangup, AllKill, WorkerTerm, WorkerKill, WorkerKill, WorkerPause,
	StoreRefusing, StoreLosing, StoreForget, LinkDelay, LinkSilence, LinkSilence, LinkOneWay, LinkReset, LinkReset, Reconfigure, Reconfigure,
}

// secondActions adds muted links, silent stores and standstills. To add further
// actions, define a new list, so that the regression cases that draw from the existing
// lists keep their schedules.
var secondActions = slices.Concat(firstActions, []Action{LinkMute, LinkMute, StoreSilent, StoreSilent, NodeStandstill, NodeStandstill})

// thirdActions adds endpoints that restart under the same id, and entries of a foreign
// writer.
var thirdActions = slices.Concat(secondActions, []Action{WorkerRestart, WorkerRestart, WorkerRestart, ForeignEntry})

// fourthActions adds requests that crash endpoints.
var fourthActions = slices.Concat(thirdActions, []Action{CrashingRequest, CrashingRequest})

// fifthActions adds a store that is restored from a snapshot.
var fifthActions = slices.Concat(fourthActions, []Action{StoreCopied, StoreCopied})

// sixthActions adds endpoints that announce limits.
var sixthActions = slices.Concat(fifthActions, []Action{WorkerLimit, WorkerLimit, WorkerLimit})

// seventhActions adds parts of prompts that crash endpoints.
var seventhActions = slices.Concat(sixthActions, []Action{CrashingPart, CrashingPart})

// eighthActions adds surges of callers.
var eighthActions = slices.Concat(seventhActions, []Action{CallerSurge, CallerSurge})

// ninthActions adds planned stops during which further signals arrive.
var ninthActions = slices.Concat(eighthActions, []Action{NodeStopSeries, NodeStopSeries})

// actions is the list that NewSchedule draws from.
var actions = ninthActions

// NewSchedule generates the schedule of a seed.
func NewSchedule(seed uint64, size Size) []Fault { return newSchedule(seed, size, actions) }

func newSchedule(seed uint64, size Size, actions []Action) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var schedule []Fault
	for at := faultInterval; at < size.Faults; at += time.Duration(random.ExpFloat64() * float64(faultInterval)) {
		f := Fault{At: at, Action: actions[random.IntN(len(actions))]}
		f.For = minFaultTime + time.Duration(random.Float64()*float64(maxFaultTime-minFaultTime))
		if f.Action == NodeStandstill {
			f.For += standstillExtra
		}
		f.For = min(f.For, size.Faults-at)
		f.Link = []Link{LinkStore, LinkWorker, LinkCallers}[random.IntN(3)]
		f.Target = random.IntN(f.targetCount(size))
		schedule = append(schedule, f)
	}
	slices.SortStableFunc(schedule, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return schedule
}

// targetCount returns the number of processes that the fault can target.
func (f Fault) targetCount(size Size) int {
	onWorker := slices.Contains([]Action{WorkerTerm, WorkerKill, WorkerPause, WorkerRestart, WorkerLimit}, f.Action)
	if onWorker || f.onLink() && f.Link == LinkWorker {
		return size.Engines + size.Plain
	}
	return size.Nodes
}

func (f Fault) onLink() bool {
	return slices.Contains([]Action{LinkDelay, LinkSilence, LinkOneWay, LinkReset, LinkMute}, f.Action)
}
