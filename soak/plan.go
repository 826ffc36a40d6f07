package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is what a fault does.
type Action string

// Actions of faults. Those that last end after Fault.For.
const (
	// NodeTerm and NodeKill end an instance by SIGTERM or SIGKILL; it starts again
	// after For. NodePause stops it by SIGSTOP. NodeHangup is SIGHUP.
	NodeTerm   Action = "node-term"
	NodeKill   Action = "node-kill"
	NodePause  Action = "node-pause"
	NodeHangup Action = "node-hangup"
	// NodeStandstill is a NodePause for so long that connections at rest reach their
	// limit meanwhile.
	NodeStandstill Action = "node-standstill"
	// AllKill ends all instances at once.
	AllKill Action = "all-kill"
	// WorkerTerm, WorkerKill and WorkerPause do the same to an endpoint, which
	// starts again as a new incarnation.
	WorkerTerm  Action = "worker-term"
	WorkerKill  Action = "worker-kill"
	WorkerPause Action = "worker-pause"
	// WorkerReborn kills an endpoint, which starts again under its id with nothing.
	WorkerReborn Action = "worker-reborn"
	// WorkerLimit makes an endpoint name a limit for all instances together, LimitPerSecond
	// for LimitTime.
	WorkerLimit Action = "worker-limit"
	// ForeignEntry makes another writer leave entries among those of endpoints.
	ForeignEntry Action = "foreign-entry"
	// StoreRefusing, StoreLosing and StoreSilent change how the store answers; in a
	// silence entries lapse, and come back as their endpoints renew them. StoreForget
	// drops the store's history.
	StoreRefusing Action = "store-refusing"
	StoreLosing   Action = "store-losing"
	StoreSilent   Action = "store-silent"
	StoreForget   Action = "store-forget"
	// StoreCopied lets the store come back from a copy some seconds old; the operator and
	// the endpoints write again what they wrote since.
	StoreCopied Action = "store-copied"
	// LinkDelay, LinkSilence, LinkOneWay and LinkReset disturb a link's proxy. LinkMute
	// silences the connections that are open, for good; new ones work.
	LinkDelay   Action = "link-delay"
	LinkSilence Action = "link-silence"
	LinkOneWay  Action = "link-one-way"
	LinkReset   Action = "link-reset"
	LinkMute    Action = "link-mute"
	// CrashingRequest is a request that ends each endpoint which runs it, and that its
	// caller repeats at all instances until repeatMore behind the last fault.
	CrashingRequest Action = "crashing-request"
	// Reconfigure writes a new configuration, in which a route has moved.
	Reconfigure Action = "reconfigure"
)

// Link is a connection between processes that goes through a proxy.
type Link string

// Links of a site.
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

// String is the fault as a line of the log.
func (f Fault) String() string {
	return fmt.Sprintf("at=%s action=%s target=%d link=%s for=%s", f.At, f.Action, f.Target, f.Link, f.For)
}

// Size is how many processes of each kind a site has, and for how long its faults
// go on.
type Size struct {
	Nodes, Engines, Plain int
	Faults                time.Duration
}

// faultEvery is the mean time between two faults; each lasts up to faultMost, so
// that they overlap.
const (
	faultEvery = 700 * time.Millisecond
	faultLeast = 300 * time.Millisecond
	faultMost  = 3 * time.Second
	// standstill is how much longer a NodeStandstill lasts.
	standstill = 3700 * time.Millisecond
)

// firstActions are drawn evenly; some stand twice to come more often. Seeds that are
// kept from the time of this list draw from it, which keeps their schedules.
var firstActions = []Action{
	NodeTerm, NodeTerm, NodeKill, NodeKill, NodePause, NodePause, NodeHangup, AllKill, WorkerTerm, WorkerKill, WorkerKill, WorkerPause,
	StoreRefusing, StoreLosing, StoreForget, LinkDelay, LinkSilence, LinkSilence, LinkOneWay, LinkReset, LinkReset, Reconfigure, Reconfigure,
}

// secondActions are the same with silences and standstills. To add some, make a further
// list, so that seeds that are kept from the time of the others keep their schedules.
var secondActions = slices.Concat(firstActions, []Action{LinkMute, LinkMute, StoreSilent, StoreSilent, NodeStandstill, NodeStandstill})

// thirdActions are those with endpoints that start again under their ids, and entries
// of another writer.
var thirdActions = slices.Concat(secondActions, []Action{WorkerReborn, WorkerReborn, WorkerReborn, ForeignEntry})

// fourthActions are those with requests that end endpoints.
var fourthActions = slices.Concat(thirdActions, []Action{CrashingRequest, CrashingRequest})

// fifthActions are those with a store that comes back from a copy.
var fifthActions = slices.Concat(fourthActions, []Action{StoreCopied, StoreCopied})

// sixthActions are those with endpoints that name limits.
var sixthActions = slices.Concat(fifthActions, []Action{WorkerLimit, WorkerLimit, WorkerLimit})

// actions is the list that schedules are drawn from.
var actions = sixthActions

// Draw makes the schedule of a seed.
func Draw(seed uint64, size Size) []Fault { return draw(seed, size, actions) }

func draw(seed uint64, size Size, actions []Action) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	var plan []Fault
	for at := faultEvery; at < size.Faults; at += time.Duration(random.ExpFloat64() * float64(faultEvery)) {
		f := Fault{At: at, Action: actions[random.IntN(len(actions))]}
		f.For = faultLeast + time.Duration(random.Float64()*float64(faultMost-faultLeast))
		if f.Action == NodeStandstill {
			f.For += standstill
		}
		f.For = min(f.For, size.Faults-at)
		f.Link = []Link{LinkStore, LinkWorker, LinkCallers}[random.IntN(3)]
		f.Target = random.IntN(f.targets(size))
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// targets is among how many processes the fault chooses.
func (f Fault) targets(size Size) int {
	onWorker := slices.Contains([]Action{WorkerTerm, WorkerKill, WorkerPause, WorkerReborn, WorkerLimit}, f.Action)
	if onWorker || f.onLink() && f.Link == LinkWorker {
		return size.Engines + size.Plain
	}
	return size.Nodes
}

func (f Fault) onLink() bool {
	return slices.Contains([]Action{LinkDelay, LinkSilence, LinkOneWay, LinkReset, LinkMute}, f.Action)
}
