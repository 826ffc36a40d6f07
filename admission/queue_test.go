package admission

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/eiderspring/eiderspring/internal/seeded"
)

// TestGolden runs the sessions in testdata; times are in milliseconds since the start.
func TestGolden(t *testing.T) {
	start := time.Unix(0, 0)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		limits := Limits{MaxWaiters: 3, MaxBytes: 100}
		if strings.HasSuffix(path, "accounts.txt") {
			limits.MaxWaiters = 10
		}
		q := NewQueue(limits)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms, priority, startBy, bytes, n int
			var id, unit string
			var late, bounded bool
			var mostAhead, account, weight int
			d.ScanArgs(t, "at", &ms)
			var b strings.Builder
			writeRefusals := func(refused []Refusal) {
				for _, r := range refused {
					fmt.Fprintf(&b, "refuse %s %s\n", r.Waiter.ID, r.Reason)
				}
			}
			switch d.Cmd {
			case "enqueue":
				d.ScanArgs(t, "id", &id)
				d.ScanArgs(t, "unit", &unit)
				d.MaybeScanArgs(t, "priority", &priority)
				d.ScanArgs(t, "start-by", &startBy)
				d.MaybeScanArgs(t, "bytes", &bytes)
				d.MaybeScanArgs(t, "late", &late)
				d.MaybeScanArgs(t, "account", &account)
				d.MaybeScanArgs(t, "weight", &weight)
				bounded = d.HasArg("most-ahead")
				d.MaybeScanArgs(t, "most-ahead", &mostAhead)
				writeRefusals(q.Enqueue(&Waiter{
					ID: id, Unit: unit, Priority: priority, Late: late, Arrived: at(ms), StartBy: at(startBy), Bytes: bytes,
					Bounded: bounded, MaxAhead: mostAhead, Account: uint32(account), Weight: int64(weight),
				}))
			case "ended":
				d.ScanArgs(t, "unit", &unit)
				d.ScanArgs(t, "account", &account)
				d.ScanArgs(t, "weight", &weight)
				q.Ended(&Waiter{Unit: unit, Account: uint32(account), Weight: int64(weight)})
			case "admit":
				d.ScanArgs(t, "unit", &unit)
				d.ScanArgs(t, "slots", &n)
				admitted, refused := q.Admit(at(ms), func(w *Waiter) bool {
					if w.Unit != unit || n == 0 {
						return false
					}
					n--
					return true
				})
				writeRefusals(refused)
				for _, w := range admitted {
					fmt.Fprintf(&b, "admit %s\n", w.ID)
				}
			case "clear":
				writeRefusals(q.Clear(ReasonStopping))
			}
			fmt.Fprintf(&b, "waiting %d\n", q.Len())
			return b.String()
		})
	})
}

// TestNoWaiterStarves checks that a waiter is overtaken only by those that arrive within the
// head start that their priority gives, also if it can no longer meet its target.
func TestNoWaiterStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Limits{MaxWaiters: 1000, MaxBytes: 1000})
		now := time.Unix(0, 0)
		waiting := map[*Waiter]bool{}
		for i := range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			w := &Waiter{ID: fmt.Sprint(i), Unit: "u", Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Arrived: now, StartBy: now.Add(time.Hour)}
			if rapid.Bool().Draw(t, "has a target") {
				w.MeetBy = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "target")) * time.Millisecond)
			}
			require.Empty(t, q.Enqueue(w))
			waiting[w] = true
			if !rapid.Bool().Draw(t, "admit") {
				continue
			}
			slots := 1
			admitted, _ := q.Admit(now, func(*Waiter) bool { slots--; return slots >= 0 })
			require.Len(t, admitted, 1)
			first := admitted[0]
			delete(waiting, first)
			for other := range waiting {
				lead := time.Duration(first.Priority-other.Priority) * AgingStep
				if other.Late {
					lead += AgingStep
				}
				if first.Late {
					lead -= AgingStep
				}
				require.LessOrEqual(t, first.Arrived.Sub(other.Arrived), lead)
			}
		}
	})
}

func TestGateAdmitsInOrderAndRefusesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MaxWaiters: 10, MaxBytes: 1000}, time.Now)
		free := false
		take := func() bool { return free }
		results := make(chan error, 3)
		enter := func(id string, wait time.Duration, ctx context.Context) {
			results <- g.Enter(ctx, &Waiter{ID: id, Unit: "u", Arrived: time.Now(), StartBy: time.Now().Add(wait)}, take)
		}
		go enter("short", time.Second, t.Context())
		synctest.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		var refused *RefusedError
		require.ErrorAs(t, <-results, &refused)
		require.Equal(t, ReasonExpired, refused.Reason)

		ctx, cancel := context.WithCancel(t.Context())
		go enter("gone", time.Minute, ctx)
		synctest.Wait()
		cancel()
		require.ErrorIs(t, <-results, context.Canceled)
		require.Zero(t, g.Len())

		go enter("served", time.Minute, t.Context())
		synctest.Wait()
		free = true
		g.Wake()
		require.NoError(t, <-results)
		require.NoError(t, g.Enter(t.Context(), &Waiter{ID: "at once", Unit: "u"}, take))
	})
}

// A stopped gate must refuse its waiters at once. A later request must get a free slot or
// be refused, but never wait.
func TestStoppedGateRefusesToQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(Limits{MaxWaiters: 10, MaxBytes: 1000}, time.Now)
		free := false
		enter := func(id string) error {
			return g.Enter(t.Context(), &Waiter{ID: id, Unit: "u", Arrived: time.Now(), StartBy: time.Now().Add(time.Hour)}, func() bool { return free })
		}
		results := make(chan error, 1)
		go func() { results <- enter("waits") }()
		synctest.Wait()
		g.Stop()
		var refused *RefusedError
		require.ErrorAs(t, <-results, &refused)
		require.Equal(t, ReasonStopping, refused.Reason)
		require.ErrorAs(t, enter("comes later"), &refused)
		free = true
		require.NoError(t, enter("finds a slot"))
		require.Zero(t, g.Len())
	})
}
