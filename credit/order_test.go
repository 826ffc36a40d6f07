package credit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/admission"
)

// drawLending returns a lending with borrowers that have requests running and waiting.
func drawLending(t *rapid.T) *lending {
	d := &lending{key: scheduleKey, borrowers: map[string]*borrower{}, places: newPlaces(start)}
	weights := rapid.SliceOfN(rapid.SampledFrom([]int64{50, 100, 300}), 4, 4).Draw(t, "weights")
	id := uint64(0)
	for i := range rapid.IntRange(1, 4).Draw(t, "borrowers") {
		b := &borrower{process: fmt.Sprintf("p%d", i), askedAt: start}
		for account := range uint32(4) {
			if n := rapid.Int64Range(0, 3).Draw(t, "running"); n > 0 {
				b.ask.Uses = append(b.ask.Uses, Use{Account: account, Running: n})
				b.ask.Running += n
			}
			for range rapid.IntRange(0, 4).Draw(t, "waiting") {
				id++
				b.ask.Wants = append(b.ask.Wants, Want{ID: id, Account: account, Weight: weights[account], AgeMS: rapid.Int64Range(0, 900).Draw(t, "age"), Endpoints: 1})
			}
		}
		d.add(b)
	}
	return d
}

// TestPlacesGoToWhoeverHasLeast guards against an account that waits while places go to one that
// uses more for its weight, and against places that nobody gets while requests wait.
func TestPlacesGoToWhoeverHasLeast(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawLending(t)
		uses, waiting, weight := map[uint32]int64{}, map[uint32]int{}, map[uint32]int64{}
		total := 0
		for _, b := range d.borrowers {
			for _, u := range b.ask.Uses {
				uses[u.Account] += u.Running
			}
			for _, w := range b.ask.Wants {
				waiting[w.Account]++
				weight[w.Account] = w.Weight
				total++
			}
		}
		q := d.newQueue(start)
		for range rapid.IntRange(0, 12).Draw(t, "places") {
			c, found := q.next()
			require.Equal(t, total > 0, found, "places are used while any request waits")
			if !found {
				return
			}
			for account, n := range waiting {
				if n > 0 {
					require.LessOrEqual(t, float64(uses[c.Account]+1)/float64(c.Weight), float64(uses[account]+1)/float64(weight[account]))
				}
			}
			uses[c.Account]++
			waiting[c.Account]--
			total--
		}
	})
}

// TestOrderBeforeAccounts guards against a place for an account's due while a request that is more
// urgent, or as urgent and can still meet its target, waits; and against a late one that is passed
// over by less urgent ones.
func TestOrderBeforeAccounts(t *testing.T) {
	d := &lending{borrowers: map[string]*borrower{}}
	d.add(&borrower{process: "p1", askedAt: start, ask: Ask{
		Running: 5, Uses: []Use{{Account: 1, Running: 5}},
		Wants: []Want{
			{ID: 1, Account: 2, Weight: 100, Late: true, AgeMS: 800},
			{ID: 7, Account: 1, Weight: 100, Late: true, Priority: 9, AgeMS: 800},
			{ID: 2, Account: 2, Weight: 100, AgeMS: 500},
			{ID: 3, Account: 1, Weight: 100, AgeMS: 400},
			{ID: 4, Account: 1, Weight: 100, Priority: 1},
			{ID: 5, Account: 1, Weight: 100, AgeMS: 2 * admission.AgingStep.Milliseconds()},
			{ID: 6, Account: 2, Weight: 100, AgeMS: 600},
		},
	}})
	var ids []uint64
	q := d.newQueue(start)
	for c, found := q.next(); found; c, found = q.next() {
		ids = append(ids, c.ID)
	}
	require.Equal(t, []uint64{7, 5, 4, 6, 2, 3, 1}, ids)
}

// TestHotAccountLeavesRoom answers the load of one account that sends ten times what there is
// room for beside four small ones: all small requests are served, and the hot account gets the
// rest, or all while it is alone.
func TestHotAccountLeavesRoom(t *testing.T) {
	t.Parallel()
	s := newSimulation(4, 20, 2, 6, 60*time.Millisecond)
	arrived := map[uint32]int{}
	hot := func() uint32 { return 9 }
	mixed := func() uint32 {
		if s.random.IntN(10) < 9 {
			return 9
		}
		return uint32(1 + s.random.IntN(4))
	}
	s.patience = time.Second
	count := func(choose func() uint32) func() uint32 {
		return func() uint32 { a := choose(); arrived[a]++; return a }
	}
	s.account = count(hot)
	s.load(350, 2*time.Second)
	s.run(time.Second)
	s.forgetCounts()
	s.run(time.Second)
	require.Greater(t, s.usage(), (60*time.Millisecond).Seconds()/(60*time.Millisecond+roundTrip).Seconds(), "an account alone gets all")
	s.account = count(mixed)
	s.load(350, 4*time.Second)
	s.run(time.Second)
	clear(arrived)
	clear(s.servedBy)
	s.run(4 * time.Second)
	t.Logf("arrived %v, served %v; %v", arrived, s.servedBy, s)
	for account := uint32(1); account <= 4; account++ {
		require.GreaterOrEqual(t, float64(s.servedBy[account]), 0.97*float64(arrived[account]), "account %d", account)
	}
	require.Less(t, float64(s.servedBy[9]), 0.8*float64(arrived[9]))
}
