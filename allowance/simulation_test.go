package allowance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/settings"
)

// simulation is a fleet of instances, one of which aggregates, in virtual time. Requests
// arrive at random; messages between instances are delayed, and some are lost.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	limit     settings.Allowance
	tolerance Tolerance
	limiters  []*Limiter
	processes []int
	// holder is the instance that aggregates, -1 for none, and aggregator its state. term
	// counts the holders.
	holder     int
	term       int
	aggregator *Aggregator
	// cut instances neither send nor receive messages.
	cut []bool
	// weights is the distribution of requests over the instances.
	weights []float64
	// offered is the requested rate per second, cost the mean cost of a request.
	offered, cost float64
	due           float64
	pending       []delivery
	// admitted is what has been admitted in each step; refused counts the rest.
	admitted           []float64
	requested, refused float64
	withoutShares      bool
	maxDelay, lossRate float64
}

// delivery is a message in flight.
type delivery struct {
	at time.Time
	do func()
}

const (
	simStep       = 20 * time.Millisecond
	usageInterval = 100 * time.Millisecond
	shareInterval = 200 * time.Millisecond
	account       = "desk"
)

var tolerance = Tolerance{Window: 8 * time.Second, OverFraction: 0.1, Slack: 17_000}

func newSimulation(seed uint64, instances int, limit settings.Allowance) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limit: limit, tolerance: tolerance,
		processes: make([]int, instances), cut: make([]bool, instances), cost: 2400, maxDelay: 0.1, lossRate: 0.02, holder: -1,
	}
	for i := range instances {
		s.limiters = append(s.limiters, nil)
		s.start(i)
		// A few instances have most of the callers.
		s.weights = append(s.weights, math.Pow(s.random.Float64(), 4))
	}
	return s
}

// start starts a new process of an instance.
func (s *simulation) start(i int) {
	s.processes[i]++
	l := NewLimiter(s.tolerance, s.random.Float64)
	l.SetInstanceCount(len(s.limiters))
	l.SetLimits(Limits{HashAccount(account): s.limit})
	s.limiters[i] = l
}

// setLimit changes the limit everywhere.
func (s *simulation) setLimit(a settings.Allowance) {
	s.limit = a
	for _, l := range s.limiters {
		l.SetLimits(Limits{HashAccount(account): a})
	}
	if s.aggregator != nil {
		s.aggregator.SetLimits(Limits{HashAccount(account): a})
	}
}

// appoint makes an instance the one that aggregates; -1 for none.
func (s *simulation) appoint(i int) {
	s.holder = i
	s.term++
	if i < 0 {
		return
	}
	s.aggregator = NewAggregator(s.now, s.tolerance)
	s.aggregator.SetLimits(Limits{HashAccount(account): s.limit})
	s.aggregator.CarryOverDebts(s.limiters[i].LastShares(s.now))
}

func (s *simulation) process(i int) string { return fmt.Sprintf("%d/%d", i, s.processes[i]) }

// send delivers a message after a delay, or never.
func (s *simulation) send(from, to int, do func()) {
	if s.cut[from] != s.cut[to] || s.cut[from] && from != to || s.random.Float64() < s.lossRate {
		return
	}
	delay := time.Duration(s.random.Float64() * s.maxDelay * float64(time.Second))
	s.pending = append(s.pending, delivery{s.now.Add(delay), do})
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		s.step()
	}
}

func (s *simulation) step() {
	now := s.now
	pending := s.pending
	s.pending = nil
	for _, p := range pending {
		if p.at.After(now) {
			s.pending = append(s.pending, p)
			continue
		}
		p.do()
	}
	s.admitted = append(s.admitted, 0)
	for s.due += s.offered * simStep.Seconds() * 2 * s.random.Float64(); s.due >= s.cost; s.due -= s.cost {
		s.request()
	}
	if s.holder < 0 || s.withoutShares {
		return
	}
	if now.UnixNano()%int64(usageInterval) == 0 {
		s.reportUsage()
	}
	if now.UnixNano()%int64(shareInterval) == 0 {
		s.announceShares()
	}
}

// request sends one request to a random instance.
func (s *simulation) request() {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	at, i := s.random.Float64()*total, 0
	for ; i < len(s.weights)-1 && at >= s.weights[i]; i++ {
		at -= s.weights[i]
	}
	cost := s.cost * (0.2 + 1.6*s.random.Float64())
	s.requested += cost
	if ok, after := s.limiters[i].Admit(s.now, account, cost); ok {
		s.admitted[len(s.admitted)-1] += cost
	} else {
		s.refused += cost
		if after < minRetryAfter || after > maxRetryAfter {
			panic(after)
		}
	}
}

func (s *simulation) reportUsage() {
	term, aggregator := s.term, s.aggregator
	for i, l := range s.limiters {
		usage, id := l.PendingUsage(8)
		process, instance := s.process(i), fmt.Sprint(i)
		s.send(i, s.holder, func() {
			if s.term != term {
				return
			}
			if id != s.aggregatorID() {
				usage = nil
			}
			aggregator.RecordUsage(s.now, instance, process, usage)
		})
	}
}

func (s *simulation) aggregatorID() AggregatorID {
	return HolderAggregatorID(fmt.Sprintf("%s reign %d", s.process(s.holder), s.term))
}

func (s *simulation) announceShares() {
	id := s.aggregatorID()
	shares, majority := s.aggregator.Shares(s.now)
	if !majority {
		s.limiters[s.holder].RelinquishShares(s.now)
		return
	}
	for i, l := range s.limiters {
		s.send(s.holder, i, func() { l.ReceiveShares(s.now, id, shares) })
	}
}

// peak returns the largest cost that was admitted in any window since the list was cleared.
func (s *simulation) peak() float64 {
	steps := int(tolerance.Window / simStep)
	sum, peak := 0.0, 0.0
	for i, a := range s.admitted {
		if sum += a; i >= steps {
			sum -= s.admitted[i-steps]
		}
		peak = max(peak, sum)
	}
	return peak
}

// bound returns the cost that the limit and its tolerance allow in a window.
func bound(a settings.Allowance) float64 {
	return (a.PerSecond*tolerance.Window.Seconds()+a.Burst)*(1+tolerance.OverFraction) + tolerance.Slack
}

// refusedShare returns the share of the requested cost that was not admitted since reset.
func (s *simulation) refusedShare() float64 { return s.refused / max(s.requested, 1) }

func (s *simulation) reset() { s.requested, s.refused = 0, 0 }

// sizes are the sizes of the simulated fleets, limits those of a large account and a small
// one, in tokens per second.
var (
	sizes  = []int{6, 18, 90, 295}
	limits = []settings.Allowance{
		{Unit: settings.CountTokens, PerSecond: 337_716, Burst: 337_716},
		{Unit: settings.CountTokens, PerSecond: 4_200, Burst: 4_200},
	}
)

func eachFleet(t *testing.T, seeds uint64, check func(t *testing.T, s *simulation)) {
	for _, n := range sizes {
		for _, limit := range limits {
			for seed := range seeds {
				t.Run(fmt.Sprintf("%d/%.0f/%d", n, limit.PerSecond, seed), func(t *testing.T) {
					t.Parallel()
					check(t, newSimulation(seed, n, limit))
				})
			}
		}
	}
}

// belowLimit offers five ninths of the limit for 20 s, spread unevenly, after the instances
// are in contact.
func belowLimit(s *simulation) {
	s.appoint(0)
	s.run(time.Second)
	s.offered = s.limit.PerSecond / 1.8
	s.reset()
	s.run(20 * time.Second)
}

// maxRefused is the share that may be refused below the limit: 2 in 100.
const maxRefused = 0.02

// TestBelowTheLimitNobodyIsRefused offers a load below the limit, spread unevenly. It guards
// against refusals at instances that get more than an even part.
func TestBelowTheLimitNobodyIsRefused(t *testing.T) {
	eachFleet(t, 5, func(t *testing.T, s *simulation) {
		belowLimit(s)
		require.LessOrEqual(t, s.refusedShare(), maxRefused)
	})
}

// TestEvenSharesRefuseBelowTheLimit shows why shares are announced: without them each instance
// admits an even part of the limit, and refuses callers that are within their limit.
func TestEvenSharesRefuseBelowTheLimit(t *testing.T) {
	for _, n := range sizes[2:] {
		s := newSimulation(1, n, limits[0])
		s.withoutShares = true
		belowLimit(s)
		t.Logf("%d instances: %.3f refused", n, s.refusedShare())
		require.Greater(t, s.refusedShare(), 0.2)
	}
}

// overload offers several times the limit after a load below it; happens runs between the two.
func overload(s *simulation, times float64, happens func()) {
	s.appoint(0)
	s.run(time.Second)
	s.offered = s.limit.PerSecond / 1.8
	s.run(4 * time.Second)
	happens()
	s.offered = s.limit.PerSecond * times
	s.run(12 * time.Second)
}

// TestHotAccountKeepsToItsLimit raises the load to four times the limit at once. It guards
// against exceeding the limit, and against admitting much less than the limit.
func TestHotAccountKeepsToItsLimit(t *testing.T) {
	eachFleet(t, 5, func(t *testing.T, s *simulation) {
		overload(s, 4.2, func() { s.admitted = nil })
		require.LessOrEqual(t, s.peak(), bound(s.limit))
		total := 0.0
		for _, a := range s.admitted {
			total += a
		}
		require.Greater(t, total, 0.8*12*s.limit.PerSecond, "the limit is used")
	})
}

// replaceHolder lets the next lease holder aggregate some seconds after the previous one has
// terminated or was cut off. Where no instance has received from an aggregator, one stands in
// before that.
func (s *simulation) replaceHolder() {
	s.run(time.Duration(300+600*s.random.Float64()) * time.Millisecond)
	replaced := s.holder < 0 || s.cut[s.holder]
	withoutAggregator := 0
	for _, l := range s.limiters {
		if l.NoAggregator() {
			withoutAggregator++
		}
	}
	if replaced && withoutAggregator == len(s.limiters) {
		s.appoint(3)
	}
	s.run(time.Duration(1000+2000*s.random.Float64()) * time.Millisecond)
	if replaced {
		s.appoint(2)
	}
}

// TestFewAreRefusedAfterARestartOfAll restarts all instances under a load below the limit. It
// guards against refusals while the levels of a new aggregator start at zero.
func TestFewAreRefusedAfterARestartOfAll(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *simulation) {
		s.appoint(0)
		s.run(time.Second)
		s.offered = s.limit.PerSecond / 1.8
		s.run(8 * time.Second)
		faults["all restart"](s)
		s.run(time.Second)
		s.appoint(3)
		s.run(500 * time.Millisecond)
		s.reset()
		s.run(3 * time.Second)
		require.LessOrEqual(t, s.refusedShare(), maxRefusedAfterRestart)
	})
}

// maxRefusedAfterRestart is the share that may be refused within 3 s, from half a second after
// an instance starts to aggregate: levels start at zero.
const maxRefusedAfterRestart = 0.1

// faults are injected just before the load of an account exceeds its limit.
var faults = map[string]func(s *simulation){
	"the aggregator terminates": func(s *simulation) {
		s.start(0)
		s.appoint(-1)
	},
	"a third is cut off": func(s *simulation) {
		for i := 1; i < len(s.cut); i += 3 {
			s.cut[i] = true
		}
	},
	"half restarts": func(s *simulation) {
		for i := 0; i < len(s.limiters); i += 2 {
			s.start(i)
		}
		s.appoint(-1)
	},
	"the aggregator is cut off": func(s *simulation) { s.cut[0] = true },
	"all restart": func(s *simulation) {
		for i := range s.limiters {
			s.start(i)
		}
		s.appoint(-1)
	},
}

// TestLimitHoldsThroughFaults combines a fault with an overloaded account. Another instance
// aggregates some seconds later. It guards against exceeding the limit in between.
func TestLimitHoldsThroughFaults(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			eachFleet(t, 3, func(t *testing.T, s *simulation) {
				s.appoint(0)
				s.run(time.Second)
				s.offered = s.limit.PerSecond / 1.8
				s.run(8 * time.Second)
				fault(s)
				s.offered = s.limit.PerSecond * 4.2
				s.replaceHolder()
				s.run(12 * time.Second)
				require.LessOrEqual(t, s.peak(), bound(s.limit))
			})
		})
	}
}

// TestLowerLimitBinds lowers the limit far below the load while the load lasts.
func TestLowerLimitBinds(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *simulation) {
		overload(s, 0.5, func() {})
		lower := s.limit
		lower.PerSecond, lower.Burst = lower.PerSecond/10, lower.Burst/10
		s.setLimit(lower)
		s.run(tolerance.Window)
		s.admitted = nil
		s.run(20 * time.Second)
		require.LessOrEqual(t, s.peak(), bound(lower))
	})
}

// TestRefundIsGivenBack admits requests that do not run, whose cost must not count.
func TestRefundIsGivenBack(t *testing.T) {
	s := newSimulation(1, 6, limits[1])
	s.appoint(0)
	s.run(time.Second)
	refused := 0
	for range 200 {
		if ok, _ := s.limiters[1].Admit(s.now, account, 4000); ok {
			s.limiters[1].Refund(s.now, account, 4000)
		} else {
			refused++
		}
		s.run(100 * time.Millisecond)
	}
	require.LessOrEqual(t, refused, 200/4, "offered is ten times the limit, and nothing of it runs")
}

// TestWithoutLimitNothingIsBound admits requests without an allowance, and at a nil Limiter.
func TestWithoutLimitNothingIsBound(t *testing.T) {
	l := NewLimiter(tolerance, func() float64 { return 0 })
	for range 1000 {
		ok, _ := l.Admit(time.Unix(0, 0), "other", 1e9)
		require.True(t, ok)
	}
	var none *Limiter
	ok, _ := none.Admit(time.Unix(0, 0), "other", 1)
	require.True(t, ok)
}

// BenchmarkAdmit measures the cost of admission for one request.
func BenchmarkAdmit(b *testing.B) {
	l := NewLimiter(tolerance, rand.Float64)
	l.SetLimits(Limits{HashAccount(account): limits[0]})
	now := time.Unix(1000, 0)
	l.ReceiveShares(now, 1, []Share{{Account: HashAccount(account), Permille: wholeShare, Level: 1 << 50}})
	b.ReportAllocs()
	for b.Loop() {
		l.Admit(now, account, 2400)
	}
}

// TestEvenPartAdmitsAtLeastOneRequest has an allowance whose even part is below one request:
// a bucket that can never hold the cost of a request must not refuse all.
func TestEvenPartAdmitsAtLeastOneRequest(t *testing.T) {
	l := NewEvenLimiter()
	l.SetInstanceCount(6)
	l.SetLimits(Limits{HashAccount(account): {Unit: settings.CountRequests, PerSecond: 3, Burst: 3}})
	admitted := 0
	for i := range 100 {
		if ok, _ := l.Admit(time.Unix(1000, 0).Add(time.Duration(i)*200*time.Millisecond), account, 1); ok {
			admitted++
		}
	}
	require.InDelta(t, 10, admitted, 1, "a sixth of 3 a second, over 20 s")
}
