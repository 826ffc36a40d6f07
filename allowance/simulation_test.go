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

// simulation is instances, one of which adds up, in virtual time. Requests come by chance;
// what instances tell each other is late, and some of it is lost.
type simulation struct {
	random    *rand.Rand
	now       time.Time
	limit     settings.Allowance
	tolerance Tolerance
	locals    []*Limiter
	processes []int
	// adder is the instance that adds up, -1 for none, and ledger its sums.
	adder  int
	reign  int
	ledger *Aggregator
	// cut instances neither hear nor are heard.
	cut []bool
	// weights is how the requests are spread over the instances.
	weights []float64
	// offered is what is asked for a second, cost what one request counts.
	offered, cost float64
	due           float64
	pending       []delivery
	// admitted is what has been admitted in each step; refused counts the rest.
	admitted         []float64
	asked, refused   float64
	withoutWords     bool
	lateBy, lossRate float64
}

// delivery is something on its way.
type delivery struct {
	at time.Time
	do func()
}

const (
	simStep = 20 * time.Millisecond
	tellGap = 100 * time.Millisecond
	wordGap = 200 * time.Millisecond
	account = "desk"
)

var tolerance = Tolerance{Window: 8 * time.Second, OverFraction: 0.1, Slack: 17_000}

func newSimulation(seed uint64, instances int, limit settings.Allowance) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), limit: limit, tolerance: tolerance,
		processes: make([]int, instances), cut: make([]bool, instances), cost: 2400, lateBy: 0.1, lossRate: 0.02, adder: -1,
	}
	for i := range instances {
		s.locals = append(s.locals, nil)
		s.start(i)
		// A few instances have most of the callers.
		s.weights = append(s.weights, math.Pow(s.random.Float64(), 4))
	}
	return s
}

// start begins a new process of an instance.
func (s *simulation) start(i int) {
	s.processes[i]++
	l := NewLimiter(s.tolerance, s.random.Float64)
	l.SetInstanceCount(len(s.locals))
	l.SetLimits(Limits{HashAccount(account): s.limit})
	s.locals[i] = l
}

// setLimit changes the limit everywhere.
func (s *simulation) setLimit(a settings.Allowance) {
	s.limit = a
	for _, l := range s.locals {
		l.SetLimits(Limits{HashAccount(account): a})
	}
	if s.ledger != nil {
		s.ledger.SetLimits(Limits{HashAccount(account): a})
	}
}

// take makes an instance the one that adds up; -1 for none.
func (s *simulation) take(i int) {
	s.adder = i
	s.reign++
	if i < 0 {
		return
	}
	s.ledger = NewAggregator(s.now, s.tolerance)
	s.ledger.SetLimits(Limits{HashAccount(account): s.limit})
	s.ledger.CarryOverDebts(s.locals[i].LastShares(s.now))
}

func (s *simulation) process(i int) string { return fmt.Sprintf("%d/%d", i, s.processes[i]) }

// send delivers something later, or never.
func (s *simulation) send(from, to int, do func()) {
	if s.cut[from] != s.cut[to] || s.cut[from] && from != to || s.random.Float64() < s.lossRate {
		return
	}
	late := time.Duration(s.random.Float64() * s.lateBy * float64(time.Second))
	s.pending = append(s.pending, delivery{s.now.Add(late), do})
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
		s.ask()
	}
	if s.adder < 0 || s.withoutWords {
		return
	}
	if now.UnixNano()%int64(tellGap) == 0 {
		s.tell()
	}
	if now.UnixNano()%int64(wordGap) == 0 {
		s.word()
	}
}

// ask lets one request come to some instance.
func (s *simulation) ask() {
	total := 0.0
	for _, w := range s.weights {
		total += w
	}
	at, i := s.random.Float64()*total, 0
	for ; i < len(s.weights)-1 && at >= s.weights[i]; i++ {
		at -= s.weights[i]
	}
	cost := s.cost * (0.2 + 1.6*s.random.Float64())
	s.asked += cost
	if ok, after := s.locals[i].Admit(s.now, account, cost); ok {
		s.admitted[len(s.admitted)-1] += cost
	} else {
		s.refused += cost
		if after < leastRetryAfter || after > mostRetryAfter {
			panic(after)
		}
	}
}

func (s *simulation) tell() {
	reign, ledger := s.reign, s.ledger
	for i, l := range s.locals {
		usage, adder := l.PendingUsage(8)
		process, instance := s.process(i), fmt.Sprint(i)
		s.send(i, s.adder, func() {
			if s.reign != reign {
				return
			}
			if adder != s.adderMark() {
				usage = nil
			}
			ledger.RecordUsage(s.now, instance, process, usage)
		})
	}
}

func (s *simulation) adderMark() AggregatorID {
	return HolderAggregatorID(fmt.Sprintf("%s reign %d", s.process(s.adder), s.reign))
}

func (s *simulation) word() {
	adder := s.adderMark()
	words, told := s.ledger.Shares(s.now)
	if !told {
		s.locals[s.adder].RelinquishShares(s.now)
		return
	}
	for i, l := range s.locals {
		s.send(s.adder, i, func() { l.ReceiveShares(s.now, adder, words) })
	}
}

// most is the most that was admitted in any window from a moment on.
func (s *simulation) most() float64 {
	steps := int(tolerance.Window / simStep)
	sum, most := 0.0, 0.0
	for i, a := range s.admitted {
		if sum += a; i >= steps {
			sum -= s.admitted[i-steps]
		}
		most = max(most, sum)
	}
	return most
}

// bound is what the rule allows in a window.
func bound(a settings.Allowance) float64 {
	return (a.PerSecond*tolerance.Window.Seconds()+a.Burst)*(1+tolerance.OverFraction) + tolerance.Slack
}

// refusedShare is the share of what was asked that was not admitted since reset.
func (s *simulation) refusedShare() float64 { return s.refused / max(s.asked, 1) }

func (s *simulation) reset() { s.asked, s.refused = 0, 0 }

// sizes are those of the fleets that are simulated, limits those of a large account and a
// small one, in tokens a second.
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

// belowLimit asks for five ninths of the limit for 20 s, unevenly, after the instances have
// found together.
func belowLimit(s *simulation) {
	s.take(0)
	s.run(time.Second)
	s.offered = s.limit.PerSecond / 1.8
	s.reset()
	s.run(20 * time.Second)
}

// mostRefused is the share that may be refused below the limit: 2 in 100.
const mostRefused = 0.02

// TestBelowTheLimitNobodyIsRefused is the ordinary load, spread unevenly.
func TestBelowTheLimitNobodyIsRefused(t *testing.T) {
	eachFleet(t, 5, func(t *testing.T, s *simulation) {
		belowLimit(s)
		require.LessOrEqual(t, s.refusedShare(), mostRefused)
	})
}

// TestEvenSharesRefuseBelowTheLimit is the simple way: each instance admits an even part of
// the limit, and nothing is told. It refuses callers who are within their limit.
func TestEvenSharesRefuseBelowTheLimit(t *testing.T) {
	for _, n := range sizes[2:] {
		s := newSimulation(1, n, limits[0])
		s.withoutWords = true
		belowLimit(s)
		t.Logf("%d instances: %.3f refused", n, s.refusedShare())
		require.Greater(t, s.refusedShare(), 0.2)
	}
}

// hot asks for several times the limit from one moment on, after an ordinary load; between
// the two something happens.
func hot(s *simulation, times float64, happens func()) {
	s.take(0)
	s.run(time.Second)
	s.offered = s.limit.PerSecond / 1.8
	s.run(4 * time.Second)
	happens()
	s.offered = s.limit.PerSecond * times
	s.run(12 * time.Second)
}

// TestHotAccountKeepsToItsLimit asks for four times the limit at once. The account still
// gets nearly all that it may have.
func TestHotAccountKeepsToItsLimit(t *testing.T) {
	eachFleet(t, 5, func(t *testing.T, s *simulation) {
		hot(s, 4.2, func() { s.admitted = nil })
		require.LessOrEqual(t, s.most(), bound(s.limit))
		total := 0.0
		for _, a := range s.admitted {
			total += a
		}
		require.Greater(t, total, 0.8*12*s.limit.PerSecond, "the limit is used")
	})
}

// replaceAdder lets the next holder of the lease add up some seconds after the adder has ended
// or was cut off. Where no instance has heard an adder, one stands in for it before.
func (s *simulation) replaceAdder() {
	s.run(time.Duration(300+600*s.random.Float64()) * time.Millisecond)
	replaced := s.adder < 0 || s.cut[s.adder]
	orphans := 0
	for _, l := range s.locals {
		if l.NoAggregator() {
			orphans++
		}
	}
	if replaced && orphans == len(s.locals) {
		s.take(3)
	}
	s.run(time.Duration(1000+2000*s.random.Float64()) * time.Millisecond)
	if replaced {
		s.take(2)
	}
}

// TestFewAreRefusedBehindAStartOfAll starts all instances anew under the ordinary load.
func TestFewAreRefusedBehindAStartOfAll(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *simulation) {
		s.take(0)
		s.run(time.Second)
		s.offered = s.limit.PerSecond / 1.8
		s.run(8 * time.Second)
		troubles["all begin anew"](s)
		s.run(time.Second)
		s.take(3)
		s.run(500 * time.Millisecond)
		s.reset()
		s.run(3 * time.Second)
		require.LessOrEqual(t, s.refusedShare(), mostRefusedInStart)
	})
}

// mostRefusedInStart is the share that may be refused within 3 s from half a second behind
// the moment at which one instance adds up: levels begin with nothing.
const mostRefusedInStart = 0.1

// troubles are what may happen just before an account turns hot.
var troubles = map[string]func(s *simulation){
	"the adder ends": func(s *simulation) {
		s.start(0)
		s.take(-1)
	},
	"a third is cut off": func(s *simulation) {
		for i := 1; i < len(s.cut); i += 3 {
			s.cut[i] = true
		}
	},
	"half begins anew": func(s *simulation) {
		for i := 0; i < len(s.locals); i += 2 {
			s.start(i)
		}
		s.take(-1)
	},
	"the adder is cut off": func(s *simulation) { s.cut[0] = true },
	"all begin anew": func(s *simulation) {
		for i := range s.locals {
			s.start(i)
		}
		s.take(-1)
	},
}

// TestLimitHoldsInTrouble has trouble and a hot account together. Another instance adds up
// some seconds later.
func TestLimitHoldsInTrouble(t *testing.T) {
	for name, trouble := range troubles {
		t.Run(name, func(t *testing.T) {
			eachFleet(t, 3, func(t *testing.T, s *simulation) {
				s.take(0)
				s.run(time.Second)
				s.offered = s.limit.PerSecond / 1.8
				s.run(8 * time.Second)
				trouble(s)
				s.offered = s.limit.PerSecond * 4.2
				s.replaceAdder()
				s.run(12 * time.Second)
				require.LessOrEqual(t, s.most(), bound(s.limit))
			})
		})
	}
}

// TestLowerLimitBinds lowers the limit far below what is asked for, while it is.
func TestLowerLimitBinds(t *testing.T) {
	eachFleet(t, 3, func(t *testing.T, s *simulation) {
		hot(s, 0.5, func() {})
		lower := s.limit
		lower.PerSecond, lower.Burst = lower.PerSecond/10, lower.Burst/10
		s.setLimit(lower)
		s.run(tolerance.Window)
		s.admitted = nil
		s.run(20 * time.Second)
		require.LessOrEqual(t, s.most(), bound(lower))
	})
}

// TestRefundIsGivenBack admits requests that do not run.
func TestRefundIsGivenBack(t *testing.T) {
	s := newSimulation(1, 6, limits[1])
	s.take(0)
	s.run(time.Second)
	refused := 0
	for range 200 {
		if ok, _ := s.locals[1].Admit(s.now, account, 4000); ok {
			s.locals[1].Refund(s.now, account, 4000)
		} else {
			refused++
		}
		s.run(100 * time.Millisecond)
	}
	require.LessOrEqual(t, refused, 200/4, "offered is ten times the limit, and nothing of it runs")
}

// TestWithoutLimitNothingIsBound asks without an allowance, and of a nil Local.
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

// BenchmarkAdmit is what a request costs.
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

// TestEvenPartAdmitsAtLeastOneRequest has an allowance whose even part is below one request.
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
