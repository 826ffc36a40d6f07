package claim

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Slot is an object that holds consecutive entries of a shard. The entries of a shard are those
// of its slots in the order of their index; only the last slot is not sealed. Slot objects are
// reused in a ring, once all entries of a slot are older than the horizon.
type Slot struct {
	// Index grows by one from slot to slot, also when an object is reused.
	Index  int64 `json:"index"`
	Sealed bool  `json:"sealed,omitempty"`
	Ops    []Op  `json:"ops"`
}

// StoredSlot is a slot with its resource version.
type StoredSlot struct {
	Slot    Slot
	Version string
}

// ShardConfig configures a Shard.
type ShardConfig struct {
	// Slots is the number of slot objects.
	Slots int64
	// SlotBytes is the estimated size in bytes at which a slot is sealed.
	SlotBytes int
	// Horizon is how long a key is kept.
	Horizon time.Duration
	// Interval is the minimum time between two writes: entries that arrive in between are
	// written together.
	Interval time.Duration
	// RetryEvery is the pause after a failed write or read.
	RetryEvery time.Duration
	// MaxWait is how long a request waits while the store fails.
	MaxWait time.Duration
}

// NewShardConfig returns the defaults.
func NewShardConfig(horizon time.Duration) ShardConfig {
	return ShardConfig{Slots: 1024, SlotBytes: 16 << 10, Horizon: horizon, Interval: 50 * time.Millisecond, RetryEvery: 100 * time.Millisecond, MaxWait: 700 * time.Millisecond}
}

// Event is an input of a Shard.
type Event interface{ isEvent() }

// Submitted is a request to claim a key, or to end a claim. Submitting the same attempt again
// has no further effect.
type Submitted struct {
	ID int64
	Op Op

	arrived time.Time
	// reloaded is set once the state has been reloaded for this request.
	reloaded bool
}

// Abandoned reports that nobody waits for the reply any more.
type Abandoned struct{ ID int64 }

// Loaded is the result of a Load.
type Loaded struct {
	Slots []StoredSlot
	// Failed is set if the store did not answer.
	Failed bool
}

// Wrote reports the outcome of a Write.
type Wrote struct {
	Result commit.Result
	// Version is the slot's new resource version if the write took effect.
	Version string
}

// Tick reports only that time has passed.
type Tick struct{}

func (Submitted) isEvent() {}
func (Abandoned) isEvent() {}
func (Loaded) isEvent()    {}
func (Wrote) isEvent()     {}
func (Tick) isEvent()      {}

// Action is an output of a Shard.
type Action interface{ isAction() }

// Load requests all slots of the shard.
type Load struct{}

// Write requests a write of a slot, conditional on the version of the object whose number is
// Index modulo the number of slots; an empty Version means a create.
type Write struct {
	Slot    Slot
	Version string
}

// Replied is the reply to a Submitted.
type Replied struct {
	ID      int64
	Verdict Verdict
	Result  *Result
}

func (Load) isAction()    {}
func (Write) isAction()   {}
func (Replied) isAction() {}

// Shard decides on the keys of one shard. Any number of instances may run the same shard at
// once: only the order of the entries in the store counts, and every write is conditional on
// the last version read. Normally one instance runs it, so that entries are batched.
//
// Invariants: state holds the entries of all slots up to current; a verdict other than Held,
// Replay or Mismatch is replied only from entries that are known to be in the store.
type Shard struct {
	cfg    ShardConfig
	state  *Log
	loaded bool
	// versions holds the version of each slot object, by object number.
	versions map[int64]string
	// newestEntry holds the time of the newest entry of each slot object.
	newestEntry map[int64]time.Time
	current     Slot
	bytes       int

	waiting []Submitted
	// writing is the slot whose write is in flight, and inFlight are the requests in it.
	writing  *Slot
	inFlight []Submitted
	loading  bool
	// failing is set while the store does not answer.
	failing bool
	retryAt time.Time
	wroteAt time.Time
}

// NewShard returns a shard that has not been loaded.
func NewShard(cfg ShardConfig) *Shard { return &Shard{cfg: cfg} }

// Step applies an event and returns what to do.
func (s *Shard) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Submitted:
		e.arrived = now
		s.waiting = append(s.waiting, e)
	case Abandoned:
		abandoned := func(a Submitted) bool { return a.ID == e.ID }
		s.waiting = slices.DeleteFunc(s.waiting, abandoned)
		s.inFlight = slices.DeleteFunc(s.inFlight, abandoned)
	case Loaded:
		s.loading = false
		s.load(now, e)
	case Wrote:
		s.wrote(now, e)
	}
	actions = append(actions, s.answerDecided()...)
	actions = append(actions, s.answerTimedOut(now)...)
	return append(actions, s.nextAction(now)...)
}

// load replaces the state with the contents of the store.
func (s *Shard) load(now time.Time, e Loaded) {
	if e.Failed {
		s.fail(now)
		return
	}
	s.failing = false
	slices.SortFunc(e.Slots, func(a, b StoredSlot) int { return int(a.Slot.Index - b.Slot.Index) })
	s.state, s.versions, s.newestEntry = NewLog(s.cfg.Horizon), map[int64]string{}, map[int64]time.Time{}
	s.current, s.bytes = Slot{}, 0
	for _, stored := range e.Slots {
		object := s.object(stored.Slot.Index)
		s.versions[object] = stored.Version
		for _, op := range stored.Slot.Ops {
			s.state.Apply(op)
			s.noteEntry(object, op)
		}
		s.current = stored.Slot
	}
	for _, op := range s.current.Ops {
		s.bytes += op.size()
	}
	s.state.prune(now)
	s.loaded = true
}

func (s *Shard) noteEntry(object int64, op Op) {
	if op.At.After(s.newestEntry[object]) {
		s.newestEntry[object] = op.At
	}
}

func (s *Shard) object(index int64) int64 { return index % s.cfg.Slots }

// wrote applies the outcome of a write. Only a confirmed write changes the state; any other
// outcome is resolved by loading, which shows what is stored. A write whose outcome is unknown
// may take effect after the load: it then changes the version that the next write is
// conditional on, so that write ends in a conflict and another load.
func (s *Shard) wrote(now time.Time, e Wrote) {
	if s.writing == nil {
		return
	}
	written := s.writing
	s.writing, s.wroteAt = nil, now
	if e.Result != commit.Done {
		s.loaded = false
		s.waiting = append(s.inFlight, s.waiting...)
		s.inFlight = nil
		if e.Result == commit.Unknown {
			s.fail(now)
		}
		return
	}
	s.failing = false
	object := s.object(written.Index)
	s.versions[object] = e.Version
	if written.Index != s.current.Index {
		s.bytes = 0
		delete(s.newestEntry, object)
	}
	from := 0
	if written.Index == s.current.Index {
		from = len(s.current.Ops)
	}
	for _, op := range written.Ops[from:] {
		s.state.Apply(op)
		s.noteEntry(object, op)
		s.bytes += op.size()
	}
	s.current = *written
	s.waiting = append(s.inFlight, s.waiting...)
	s.inFlight = nil
}

func (s *Shard) fail(now time.Time) {
	s.failing, s.retryAt = true, now.Add(s.cfg.RetryEvery)
}

// answerTimedOut replies Unknown to requests that have waited MaxWait for a failing store.
// Holding them longer would only hide the failure from their callers.
func (s *Shard) answerTimedOut(now time.Time) []Action {
	if !s.failing {
		return nil
	}
	var actions []Action
	s.waiting = slices.DeleteFunc(s.waiting, func(a Submitted) bool {
		if now.Sub(a.arrived) < s.cfg.MaxWait {
			return false
		}
		actions = append(actions, Replied{ID: a.ID, Verdict: Unknown})
		return true
	})
	return actions
}

// answerDecided replies to all requests whose verdict follows from the state.
func (s *Shard) answerDecided() []Action {
	if !s.loaded {
		return nil
	}
	var actions []Action
	stale := false
	for i := range s.waiting {
		// A claim that is not in the state may have been written by another instance that runs
		// the shard.
		if v, _ := s.state.Verdict(s.waiting[i].Op); v == Unknown && !s.waiting[i].reloaded {
			s.waiting[i].reloaded, stale = true, true
		}
	}
	if stale {
		s.loaded = false
		return nil
	}
	s.waiting = slices.DeleteFunc(s.waiting, func(a Submitted) bool {
		v, result := s.state.Verdict(a.Op)
		if v == Free {
			return false
		}
		actions = append(actions, Replied{ID: a.ID, Verdict: v, Result: result})
		return true
	})
	return actions
}

// nextAction returns the next load or write, if one is due.
func (s *Shard) nextAction(now time.Time) []Action {
	switch {
	case s.writing != nil || s.loading || now.Before(s.retryAt) || len(s.waiting) == 0:
		return nil
	case !s.loaded:
		s.loading = true
		return []Action{Load{}}
	case now.Sub(s.wroteAt) < s.cfg.Interval:
		return nil
	}
	next, ok := s.nextSlot(now)
	if !ok {
		return nil
	}
	for _, a := range s.waiting {
		next.Ops = append(next.Ops, a.Op)
	}
	size := 0
	for _, op := range next.Ops {
		size += op.size()
	}
	next.Sealed = size >= s.cfg.SlotBytes
	s.writing, s.inFlight, s.waiting = &next, s.waiting, nil
	return []Action{Write{Slot: next, Version: s.versions[s.object(next.Index)]}}
}

// nextSlot returns the slot to write: the current one, or the one after it if that is sealed. A
// slot that still holds entries within the horizon is not reused: the shard is then full, and
// requests wait until they time out.
func (s *Shard) nextSlot(now time.Time) (Slot, bool) {
	if !s.current.Sealed {
		next := s.current
		next.Ops = slices.Clone(next.Ops)
		return next, true
	}
	next := Slot{Index: s.current.Index + 1}
	if newest, used := s.newestEntry[s.object(next.Index)]; used && now.Sub(newest) < s.cfg.Horizon {
		return next, false
	}
	return next, true
}

// opOverhead is the approximate size in bytes of an entry besides its texts.
const opOverhead = 120

func (op Op) size() int {
	n := opOverhead + len(op.Key) + len(op.Attempt) + len(op.Fingerprint)
	if op.Result != nil {
		n += len(op.Result.Body)*4/3 + len(op.Result.ContentType)
	}
	return n
}

// Busy reports whether the shard needs ticks.
func (s *Shard) Busy() bool { return len(s.waiting) > 0 || len(s.inFlight) > 0 }
