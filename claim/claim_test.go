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

// schedules is the number of seeds that the simulation runs.
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

// claimSim runs several instances of one shard against an adversary that loses answers, delays
// writes, pauses shards and crashes requesters.
type claimSim struct {
	draw   func(int) int
	broken brokenRules
	now    time.Time
	slots  map[int64]StoredSlot
	// late are writes that the client gave up on and that may still take effect.
	late     []Write
	shards   []*simShard
	attempts map[int64]*simAttempt
	nextID   int64
	runs     map[string]int
	err      error
}

// brokenRules breaks one rule, to show that the simulation detects it.
type brokenRules struct{ unconditional, grantEarly, unknownIsDone bool }

type simShard struct {
	machine *Shard
	queue   []Action
}

// simAttempt is a requester's attempt.
type simAttempt struct {
	op      Op
	granted bool
	// ended is set once the requester has dispatched, cancelled or crashed.
	ended bool
}

const (
	simShards = 2
	simKeys   = 3
	simSteps  = 300
)

func newClaimSim(draw func(int) int, m brokenRules) *claimSim {
	s := &claimSim{draw: draw, broken: m, now: time.Unix(1000, 0), slots: map[int64]StoredSlot{}, attempts: map[int64]*simAttempt{}, runs: map[string]int{}}
	for range simShards {
		s.shards = append(s.shards, &simShard{})
		s.restart(s.shards[len(s.shards)-1])
	}
	return s
}

func (s *claimSim) restart(n *simShard) {
	cfg := NewShardConfig(testHorizon)
	// Small slots exercise sealing and reuse of slots.
	cfg.SlotBytes, cfg.Slots = 600, 1000
	n.machine, n.queue = NewShard(cfg), nil
}

func (s *claimSim) step(n *simShard, e Event) {
	for _, a := range n.machine.Step(s.now, e) {
		if replied, ok := a.(Replied); ok {
			s.replied(replied)
			continue
		}
		if w, ok := a.(Write); ok && s.broken.grantEarly {
			for _, op := range w.Slot.Ops {
				s.grant(op)
			}
		}
		n.queue = append(n.queue, a)
	}
}

func (s *claimSim) replied(a Replied) {
	if attempt := s.attempts[a.ID]; attempt != nil && a.Verdict == Granted {
		attempt.granted = true
	}
}

func (s *claimSim) grant(op Op) {
	for _, attempt := range s.attempts {
		if op.Kind == OpClaim && attempt.op.Attempt == op.Attempt {
			attempt.granted = true
		}
	}
}

func (s *claimSim) run() error {
	for range simSteps {
		s.randomStep()
		if s.err != nil {
			return s.err
		}
	}
	return nil
}

func (s *claimSim) randomStep() {
	n := s.shards[s.draw(len(s.shards))]
	switch s.draw(12) {
	case 0, 1:
		s.now = s.now.Add(time.Duration(s.draw(300)) * time.Millisecond)
		s.step(n, Tick{})
	case 2, 3:
		s.nextID++
		op := Op{Kind: OpClaim, Key: fmt.Sprint(s.draw(simKeys)), Attempt: fmt.Sprint(s.nextID), Fingerprint: "f", At: s.now}
		s.attempts[s.nextID] = &simAttempt{op: op}
		s.step(n, Submitted{ID: s.nextID, Op: op})
	case 4:
		// A requester submits its entry again, possibly to another instance.
		if attempt := s.pick(func(a *simAttempt) bool { return !a.ended }); attempt != nil {
			s.nextID++
			s.attempts[s.nextID] = attempt
			s.step(n, Submitted{ID: s.nextID, Op: attempt.op})
		}
	case 5:
		if attempt := s.pick(func(a *simAttempt) bool { return a.granted && !a.ended }); attempt != nil {
			s.end(n, attempt)
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
		s.execute(n)
	}
}

func (s *claimSim) pick(which func(*simAttempt) bool) *simAttempt {
	var found []*simAttempt
	for id := range s.nextID {
		if attempt := s.attempts[id+1]; attempt != nil && which(attempt) {
			found = append(found, attempt)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found[s.draw(len(found))]
}

// end makes a granted requester dispatch, cancel or crash. Each happens once.
func (s *claimSim) end(n *simShard, attempt *simAttempt) {
	attempt.ended = true
	op := attempt.op
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

func (s *claimSim) execute(n *simShard) {
	if len(n.queue) == 0 {
		return
	}
	a := n.queue[0]
	n.queue = n.queue[1:]
	failure := s.draw(8)
	switch a := a.(type) {
	case Load:
		if failure == 0 {
			s.step(n, Loaded{Failed: true})
			return
		}
		s.step(n, s.load())
	case Write:
		if failure == 0 {
			s.late = append(s.late, a)
			s.step(n, s.unknown())
			return
		}
		result, version := s.write(a)
		if failure == 1 {
			s.step(n, s.unknown())
			return
		}
		s.step(n, Wrote{Result: result, Version: version})
	}
}

func (s *claimSim) unknown() Event {
	if s.broken.unknownIsDone {
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
	if s.slots[object].Version != w.Version && !s.broken.unconditional {
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
		s := newClaimSim(seeded(seed), brokenRules{})
		require.NoError(t, s.run(), "seed %d", seed)
		ran += len(s.runs)
	}
	require.Greater(t, ran, *schedules, "the schedules reach dispatch")
}

func TestKeysRunAtMostOnceRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "draw") }
		require.NoError(t, newClaimSim(draw, brokenRules{}).run())
	})
}

// TestBrokenRulesAreDetected shows for each rule that a key runs twice without it.
func TestBrokenRulesAreDetected(t *testing.T) {
	for name, m := range map[string]brokenRules{
		"write is not conditional":       {unconditional: true},
		"granted before it is written":   {grantEarly: true},
		"unknown outcome taken for done": {unknownIsDone: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if newClaimSim(seeded(seed), m).run() != nil {
					return
				}
			}
			t.Fatal("no schedule detects this variant")
		})
	}
}

// newClaimers returns claimers that each run their own shards, so that all write to the same
// slots.
func newClaimers(t *testing.T, n int) (*standin.ObjectAPI, []*Claimer) {
	t.Helper()
	api := standin.NewObjectAPI()
	s := httptest.NewServer(api)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	claimers := make([]*Claimer, n)
	for i := range claimers {
		owner := NewOwner(ctx, store.NewHTTPClient(store.Config{URL: s.URL}), time.Now, func() ShardConfig { return NewShardConfig(testHorizon) })
		claimers[i] = NewClaimer(func(ctx context.Context, shard, _ int, op Op) (Reply, error) { return owner.Submit(ctx, shard, op) }, time.Now)
	}
	return api, claimers
}

var testKey = Key{Caller: "c", Service: "s", Key: "k"}

// TestOneOfManyRuns claims one key through several instances at once while the store loses
// answers.
func TestOneOfManyRuns(t *testing.T) {
	api, claimers := newClaimers(t, 6)
	api.SetMode(standin.StoreLostAnswers)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var mu sync.Mutex
	runs, replays := 0, 0
	var all sync.WaitGroup
	for _, k := range claimers {
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
	_, claimers := newClaimers(t, 2)
	ctx := context.Background()
	c, _, err := claimers[0].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NoError(t, c.Cancel(ctx))
	again, _, err := claimers[1].Begin(ctx, testKey, "f")
	require.NoError(t, err)
	require.NotNil(t, again)
	require.ErrorIs(t, c.Finish(ctx, Result{}), ErrUnknown, "the first holder's claim has ended")
}

func TestHeldKeyEndsAsUnknown(t *testing.T) {
	_, claimers := newClaimers(t, 2)
	_, _, err := claimers[0].Begin(context.Background(), testKey, "f")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, _, err = claimers[1].Begin(ctx, testKey, "f")
	require.ErrorIs(t, err, ErrUnknown)
	_, _, err = claimers[1].Begin(context.Background(), testKey, "other")
	require.ErrorIs(t, err, ErrMismatch)
}

// TestManyClaimsAreWrittenTogether counts the writes for many keys claimed at once.
func TestManyClaimsAreWrittenTogether(t *testing.T) {
	api, claimers := newClaimers(t, 1)
	var all sync.WaitGroup
	const keys = 400
	for i := range keys {
		all.Go(func() {
			c, _, err := claimers[0].Begin(context.Background(), Key{Key: fmt.Sprint(i)}, "f")
			if err == nil {
				_ = c.Finish(context.Background(), Result{Status: 200})
			}
		})
	}
	all.Wait()
	require.Less(t, api.Writes.Load(), int64(keys), "two entries for each key, written together")
}
