package claim

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Slot is an object that holds a run of a shard's entries. The entries of a
// shard are those of its slots in the order of their index; only the last slot
// is not sealed. Slots are used again in a ring, when all they hold is older
// than the horizon.
type Slot struct {
	// Index grows by one from slot to slot, also when an object is used again.
	Index  int64 `json:"index"`
	Sealed bool  `json:"sealed,omitempty"`
	Ops    []Op  `json:"ops"`
}

// StoredSlot is a slot with its resource version.
type StoredSlot struct {
	Slot    Slot
	Version string
}

// ShardConfig sets up a Shard.
type ShardConfig struct {
	// Slots is the number of slot objects.
	Slots int64
	// SlotBytes is the size at which a slot is sealed, as estimated.
	SlotBytes int
	// Horizon is for how long a key is remembered.
	Horizon time.Duration
	// Interval is the least time between two writes: entries that come in
	// between are written together.
	Interval time.Duration
	// RetryEvery is the pause after a write or read that failed.
	RetryEvery time.Duration
	// MaxWait is for how long a request waits while the store fails.
	MaxWait time.Duration
}

// NewShardConfig returns the defaults.
func NewShardConfig(horizon time.Duration) ShardConfig {
	return ShardConfig{Slots: 1024, SlotBytes: 16 << 10, Horizon: horizon, Interval: 50 * time.Millisecond, RetryEvery: 100 * time.Millisecond, MaxWait: 700 * time.Millisecond}
}

// Event is an input of a Shard.
type Event interface{ isEvent() }

// Submitted is a request to claim a key, or to end a claim. Asking again with the
// same attempt is harmless.
type Submitted struct {
	ID int64
	Op Op

	arrived time.Time
	// reloaded is set once the state was loaded anew for it.
	reloaded bool
}

// Abandoned says that nobody waits for the answer any more.
type Abandoned struct{ ID int64 }

// Loaded is the answer to Load.
type Loaded struct {
	Slots []StoredSlot
	// Failed is set when the store did not answer.
	Failed bool
}

// Wrote is the end of a Write.
type Wrote struct {
	Result commit.Result
	// Version is the slot's new resource version if the write took effect.
	Version string
}

// Tick lets time pass.
type Tick struct{}

func (Submitted) isEvent() {}
func (Abandoned) isEvent() {}
func (Loaded) isEvent()    {}
func (Wrote) isEvent()     {}
func (Tick) isEvent()      {}

// Action is an output of a Shard.
type Action interface{ isAction() }

// Load asks for all slots of the shard.
type Load struct{}

// Write asks to write a slot, conditional on the version of the object at
// Index modulo the number of slots; an empty Version means a create.
type Write struct {
	Slot    Slot
	Version string
}

// Replied is the answer to an Asked.
type Replied struct {
	ID      int64
	Verdict Verdict
	Result  *Result
}

func (Load) isAction()    {}
func (Write) isAction()   {}
func (Replied) isAction() {}

// Shard decides on the keys of one shard. Any number of instances may run the
// same shard at once: what counts is only the order of the entries in the
// store, and every write is conditional on the last one seen. Normally one
// instance does, so that entries are written together.
//
// Invariants: state holds the entries of all slots up to current; an answer
// other than Held, Replay or Mismatch is given only from entries that are
// known to be in the store.
type Shard struct {
	cfg    ShardConfig
	state  *Log
	loaded bool
	// versions holds the version of each slot object, by object number.
	versions map[int64]string
	// newest holds when the newest entry of each slot object was made.
	newest  map[int64]time.Time
	current Slot
	bytes   int

	waiting []Submitted
	// writing is the slot under way, with the requests that it carries.
	writing *Slot
	carried []Submitted
	loading bool
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
		gone := func(a Submitted) bool { return a.ID == e.ID }
		s.waiting = slices.DeleteFunc(s.waiting, gone)
		s.carried = slices.DeleteFunc(s.carried, gone)
	case Loaded:
		s.loading = false
		s.load(now, e)
	case Wrote:
		s.wrote(now, e)
	}
	actions = append(actions, s.answer()...)
	actions = append(actions, s.giveUp(now)...)
	return append(actions, s.advance(now)...)
}

// load replaces the state by what the store has.
func (s *Shard) load(now time.Time, e Loaded) {
	if e.Failed {
		s.fail(now)
		return
	}
	s.failing = false
	slices.SortFunc(e.Slots, func(a, b StoredSlot) int { return int(a.Slot.Index - b.Slot.Index) })
	s.state, s.versions, s.newest = NewLog(s.cfg.Horizon), map[int64]string{}, map[int64]time.Time{}
	s.current, s.bytes = Slot{}, 0
	for _, stored := range e.Slots {
		object := s.object(stored.Slot.Index)
		s.versions[object] = stored.Version
		for _, op := range stored.Slot.Ops {
			s.state.Apply(op)
			s.note(object, op)
		}
		s.current = stored.Slot
	}
	for _, op := range s.current.Ops {
		s.bytes += op.size()
	}
	s.state.prune(now)
	s.loaded = true
}

func (s *Shard) note(object int64, op Op) {
	if op.At.After(s.newest[object]) {
		s.newest[object] = op.At
	}
}

func (s *Shard) object(index int64) int64 { return index % s.cfg.Slots }

// wrote ends a write. Only a known effect is taken in; anything else is
// settled by loading, which shows what the store has. A write of unknown fate
// may land after the load: it then changes the version that the next write is
// conditional on, which so ends in a conflict and another load.
func (s *Shard) wrote(now time.Time, e Wrote) {
	if s.writing == nil {
		return
	}
	written := s.writing
	s.writing, s.wroteAt = nil, now
	if e.Result != commit.Done {
		s.loaded = false
		s.waiting = append(s.carried, s.waiting...)
		s.carried = nil
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
		delete(s.newest, object)
	}
	from := 0
	if written.Index == s.current.Index {
		from = len(s.current.Ops)
	}
	for _, op := range written.Ops[from:] {
		s.state.Apply(op)
		s.note(object, op)
		s.bytes += op.size()
	}
	s.current = *written
	s.waiting = append(s.carried, s.waiting...)
	s.carried = nil
}

func (s *Shard) fail(now time.Time) {
	s.failing, s.retryAt = true, now.Add(s.cfg.RetryEvery)
}

// giveUp tells those that have waited long enough for a store that fails that
// nothing is known. Holding them longer would only hide it from them.
func (s *Shard) giveUp(now time.Time) []Action {
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

// answer answers all whose verdict is known from the state.
func (s *Shard) answer() []Action {
	if !s.loaded {
		return nil
	}
	var actions []Action
	stale := false
	for i := range s.waiting {
		// A claim that the state does not know may be of another instance that
		// runs the shard.
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

// advance starts the next load or write, if one is due.
func (s *Shard) advance(now time.Time) []Action {
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
	s.writing, s.carried, s.waiting = &next, s.waiting, nil
	return []Action{Write{Slot: next, Version: s.versions[s.object(next.Index)]}}
}

// nextSlot returns the slot to write: the current one, or the one behind it if
// that is sealed. A slot whose entries still count is not used again: the
// shard is full then, and requests wait until they give up.
func (s *Shard) nextSlot(now time.Time) (Slot, bool) {
	if !s.current.Sealed {
		next := s.current
		next.Ops = slices.Clone(next.Ops)
		return next, true
	}
	next := Slot{Index: s.current.Index + 1}
	if newest, used := s.newest[s.object(next.Index)]; used && now.Sub(newest) < s.cfg.Horizon {
		return next, false
	}
	return next, true
}

// opOverhead is about what an entry takes in a slot besides its texts.
const opOverhead = 120

func (op Op) size() int {
	n := opOverhead + len(op.Key) + len(op.Attempt) + len(op.Fingerprint)
	if op.Result != nil {
		n += len(op.Result.Body)*4/3 + len(op.Result.ContentType)
	}
	return n
}

// Busy tells whether the shard needs ticks.
func (s *Shard) Busy() bool { return len(s.waiting) > 0 || len(s.carried) > 0 }
