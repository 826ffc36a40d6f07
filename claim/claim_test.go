package claim

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/commit"
	_ "github.com/eiderspring/eiderspring/internal/seeded"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

const testHorizon = time.Hour

// schedules is how many seeds the simulation runs.
var schedules = flag.Int("schedules", 600, "seeds of the claim simulation")

func TestDecide(t *testing.T) {
	now := time.Unix(10000, 0)
	for _, tc := range []struct {
		name   string
		record *Record
		want   Verdict
	}{
		{"fresh key", nil, Free},
		{"held", &Record{State: Claimed, Attempt: "other", Fingerprint: "f", At: now}, Held},
		{"own", &Record{State: Claimed, Attempt: "a", Fingerprint: "f", At: now}, Granted},
		{"done", &Record{State: Done, Attempt: "other", Fingerprint: "f", At: now}, Replay},
		{"cancelled", &Record{State: Cancelled, Attempt: "other", Fingerprint: "f", At: now}, Free},
		{"other content", &Record{State: Done, Attempt: "other", Fingerprint: "g", At: now}, Mismatch},
		{"past the horizon", &Record{State: Done, Attempt: "other", Fingerprint: "f", At: now.Add(-testHorizon)}, Free},
	} {
		t.Run(tc.name, func(t *testing.T) { require.Equal(t, tc.want, Decide(tc.record, "a", "f", now, testHorizon)) })
	}
}

// claimSim runs several instances of one shard against an adversary that loses
// answers, lets writes land late, pauses shards and kills requesters.
type claimSim struct {
	draw   func(int) int
	mutate claimMutation
	now    time.Time
	slots  map[int64]StoredSlot
	// late are writes that were given up on but may still land.
	late   []Write
	shards []*simShard
	asks   map[int64]*simAsk
	nextID int64
	runs   map[string]int
	err    error
}

// claimMutation breaks one rule, to show that the judge notices.
type claimMutation struct{ unconditional, grantEarly, unknownIsDone bool }

type simShard struct {
	machine *Shard
	queue   []Action
}

// simAsk is a requester's attempt.
type simAsk struct {
	op      Op
	granted bool
	// over is set once the requester has dispatched, cancelled or died.
	over bool
}

const (
	simShards = 2
	simKeys   = 3
	simTurns  = 300
)

func newClaimSim(draw func(int) int, m claimMutation) *claimSim {
	s := &claimSim{draw: draw, mutate: m, now: time.Unix(1000, 0), slots: map[int64]StoredSlot{}, asks: map[int64]*simAsk{}, runs: map[string]int{}}
	for range simShards {
		s.shards = append(s.shards, &simShard{})
		s.restart(s.shards[len(s.shards)-1])
	}
	return s
}

func (s *claimSim) restart(n *simShard) {
	cfg := NewShardConfig(testHorizon)
	// Small slots, so that sealing and the ring are reached.
	cfg.SlotBytes, cfg.Slots = 600, 1000
	n.machine, n.queue = NewShard(cfg), nil
}

func (s *claimSim) step(n *simShard, e Event) {
	for _, a := range n.machine.Step(s.now, e) {
		if answered, ok := a.(Replied); ok {
			s.answered(answered)
			continue
		}
		if w, ok := a.(Write); ok && s.mutate.grantEarly {
			for _, op := range w.Slot.Ops {
				s.grant(op)
			}
		}
		n.queue = append(n.queue, a)
	}
}

func (s *claimSim) answered(a Replied) {
	if ask := s.asks[a.ID]; ask != nil && a.Verdict == Granted {
		ask.granted = true
	}
}

func (s *claimSim) grant(op Op) {
	for _, ask := range s.asks {
		if op.Kind == OpClaim && ask.op.Attempt == op.Attempt {
			ask.granted = true
		}
	}
}

func (s *claimSim) run() error {
	for range simTurns {
		s.turn()
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

func (s *claimSim) turn() {
	n := s.shards[s.draw(len(s.shards))]
	switch s.draw(12) {
	case 0, 1:
		s.now = s.now.Add(time.Duration(s.draw(300)) * time.Millisecond)
		s.step(n, Tick{})
	case 2, 3:
		s.nextID++
		op := Op{Kind: OpClaim, Key: fmt.Sprint(s.draw(simKeys)), Attempt: fmt.Sprint(s.nextID), Fingerprint: "f", At: s.now}
		s.asks[s.nextID] = &simAsk{op: op}
		s.step(n, Submitted{ID: s.nextID, Op: op})
	case 4:
		// A requester asks again, maybe another instance.
		if ask := s.pick(func(a *simAsk) bool { return !a.over }); ask != nil {
			s.nextID++
			s.asks[s.nextID] = ask
			s.step(n, Submitted{ID: s.nextID, Op: ask.op})
		}
	case 5:
		if ask := s.pick(func(a *simAsk) bool { return a.granted && !a.over }); ask != nil {
			s.end(n, ask)
		}
	case 6:
		if len(s.late) > 0 {
			s.write(s.late[0])
			s.late = s.late[1:]
		}
	case 7:
		if s.draw(15) == 0 {
			s.restart(n)
		}
	default:
		s.carryOut(n)
	}
}

func (s *claimSim) pick(which func(*simAsk) bool) *simAsk {
	var found []*simAsk
	for id := range s.nextID {
		if ask := s.asks[id+1]; ask != nil && which(ask) {
			found = append(found, ask)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[s.draw(len(found))]
}

// end lets a granted requester dispatch, cancel, or die. Each happens once.
func (s *claimSim) end(n *simShard, ask *simAsk) {
	ask.over = true
	op := ask.op
	switch s.draw(4) {
	case 0:
		return
	case 1:
		op.Kind = OpCancel
	default:
		if s.runs[op.Key]++; s.runs[op.Key] > 1 && s.err == nil {
			s.err = fmt.Errorf("key %s ran %d times", op.Key, s.runs[op.Key])
		}
		op.Kind, op.Result = OpFinish, &Result{Status: 200, Body: make([]byte, 50)}
	}
	s.nextID++
	s.step(n, Submitted{ID: s.nextID, Op: op})
}

func (s *claimSim) carryOut(n *simShard) {
	if len(n.queue) == 0 {
		return
	}
	a := n.queue[0]
	n.queue = n.queue[1:]
	fate := s.draw(8)
	switch a := a.(type) {
	case Load:
		if fate == 0 {
			s.step(n, Loaded{Failed: true})
			return
		}
		s.step(n, s.load())
	case Write:
		if fate == 0 {
			s.late = append(s.late, a)
			s.step(n, s.unknown())
			return
		}
		result, version := s.write(a)
		if fate == 1 {
			s.step(n, s.unknown())
			return
		}
		s.step(n, Wrote{Result: result, Version: version})
	}
}

func (s *claimSim) unknown() Event {
	if s.mutate.unknownIsDone {
		return Wrote{Result: commit.Done, Version: "?"}
	}
	return Wrote{Result: commit.Unknown}
}

func (s *claimSim) load() Event {
	l := Loaded{}
	for _, stored := range s.slots {
		stored.Slot.Ops = slices.Clone(stored.Slot.Ops)
		l.Slots = append(l.Slots, stored)
	}
	return l
}

func (s *claimSim) write(w Write) (commit.Result, string) {
	object := w.Slot.Index % 1000
	if s.slots[object].Version != w.Version && !s.mutate.unconditional {
		return commit.Conflict, ""
	}
	s.nextID++
	s.slots[object] = StoredSlot{Slot: w.Slot, Version: fmt.Sprint("v", s.nextID)}
	return commit.Done, s.slots[object].Version
}

func seeded(seed uint64) func(int) int { return rand.New(rand.NewPCG(seed, 2)).IntN }

func TestKeysRunAtMostOnce(t *testing.T) {
	ran := 0
	for seed := range uint64(*schedules) {
		s := newClaimSim(seeded(seed), claimMutation{})
		require.NoError(t, s.run(), "seed %d", seed)
		ran += len(s.runs)
	}
	require.Greater(t, ran, *schedules, "the schedules reach dispatch")
}

func TestKeysRunAtMostOnceRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		require.NoError(t, newClaimSim(draw, claimMutation{}).run())
	})
}

// TestBrokenRulesAreCaught shows for each rule that without it a key runs twice.
func TestBrokenRulesAreCaught(t *testing.T) {
	for name, m := range map[string]claimMutation{
		"write is not conditional":     {unconditional: true},
		"granted before it is written": {grantEarly: true},
		"no answer taken for done":     {unknownIsDone: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if newClaimSim(seeded(seed), m).run() != nil {
					return
				}
			}
			t.Fatal("no schedule catches this variant")
		})
	}
}

// newKeepers returns keepers of which each runs shards of its own, so that all
// write to the same shards.
func newKeepers(t *testing.T, n int) (*standin.ObjectAPI, []*Claimer) {
	t.Helper()
	api := standin.NewObjectAPI()
	s := httptest.NewServer(api)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	keepers := make([]*Claimer, n)
	for i := range keepers {
		owner := NewOwner(ctx, store.NewHTTPClient(store.Config{URL: s.URL}), time.Now, func() ShardConfig { return NewShardConfig(testHorizon) })
		keepers[i] = NewClaimer(func(ctx context.Context, shard, _ int, op Op) (Reply, error) { return owner.Submit(ctx, shard, op) }, time.Now)
	}
	return api, keepers
}

var testKey = Key{Caller: "c", Service: "s", Key: "k"}

// TestOneOfManyRuns sends one key through several instances at once while the
// store loses answers.
func TestOneOfManyRuns(t *testing.T) {
	api, keepers := newKeepers(t, 6)
	api.SetMode(standin.StoreLostAnswers)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var mu sync.Mutex
	runs, replays := 0, 0
	var all sync.WaitGroup
	for _, k := range keepers {
		all.Go(func() {
			c, result, err := k.Begin(ctx, testKey, "f")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case c != nil:
				runs++
				_ = c.Finish(ctx, Result{Status: 200, Body: []byte("done")})
			case result != nil:
				replays++
				require.Equal(t, "done", string(result.Body))
			default:
				require.ErrorIs(t, err, ErrUnknown)
			}
		})
	}
	all.Wait()
	require.LessOrEqual(t, runs, 1)
}

func TestCancelledKeyIsFreeAgain(t *testing.T) {
	_, keepers := newKeepers(t, 2)
	ctx := context.Background()
	c, _, err := keepers[0].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NoError(t, c.Cancel(ctx))
	again, _, err := keepers[1].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NotNil(t, again)
	require.ErrorIs(t, c.Finish(ctx, Result{}), ErrUnknown, "the first holder has no say any more")
}

func TestHeldKeyIsUnknownInTheEnd(t *testing.T) {
	_, keepers := newKeepers(t, 2)
	_, _, err := keepers[0].Begin(context.Background(), testKey, "f")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, _, err = keepers[1].Begin(ctx, testKey, "f")
	require.ErrorIs(t, err, ErrUnknown)
	_, _, err = keepers[1].Begin(context.Background(), testKey, "other")
	require.ErrorIs(t, err, ErrMismatch)
}

// TestManyClaimsAreWrittenTogether counts the writes of many keys at once.
func TestManyClaimsAreWrittenTogether(t *testing.T) {
	api, keepers := newKeepers(t, 1)
	var all sync.WaitGroup
	const keys = 400
	for i := range keys {
		all.Go(func() {
			c, _, err := keepers[0].Begin(context.Background(), Key{Key: fmt.Sprint(i)}, "f")
			if err == nil {
				_ = c.Finish(context.Background(), Result{Status: 200})
			}
		})
	}
	all.Wait()
	require.Less(t, api.Writes.Load(), int64(keys), "two entries for each key, written together")
}
