package demo

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/load"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/standin"
)

// workload plays a deployment's mix and checks every answer.
type workload struct {
	deployment Deployment
	fleet      *Fleet
	client     *load.Client
	tally      *tally
	// units are the models and adapters, the most wanted first.
	units  []string
	weight []float64

	mu     sync.Mutex
	random *rand.Rand
	serial int
}

// Shape of the demand.
const (
	// skew is the exponent by which the demand for units falls with their rank.
	skew = 0.9
	// burstEvery and burstLength shape the bursts, burstFactor their height.
	burstEvery  = 8 * time.Second
	burstLength = 2 * time.Second
	burstFactor = 2.5
	// duplicateShare is the share of keyed requests that are sent twice.
	duplicateShare = 0.15
)

func newWorkload(d Deployment, f *Fleet, t *tally, seed uint64) *workload {
	w := &workload{
		deployment: d, fleet: f, client: load.NewClient(f.balancerURL, d.Token), tally: t,
		random: rand.New(rand.NewPCG(seed, 0)), units: f.catalog.UnitNames(),
	}
	w.random.Shuffle(len(w.units), func(i, j int) { w.units[i], w.units[j] = w.units[j], w.units[i] })
	for i := range w.units {
		w.weight = append(w.weight, 1/math.Pow(float64(i+1), skew))
	}
	return w
}

// rate is the bursty rate at a time since the start; its mean is the
// deployment's.
func (w *workload) rate(since time.Duration) float64 {
	share := burstLength.Seconds() / burstEvery.Seconds()
	base := w.deployment.Rate / (1 + share*(burstFactor-1))
	if since%burstEvery < burstLength {
		return base * burstFactor
	}
	return base
}

func (w *workload) run(ctx context.Context, d time.Duration) {
	arrivals := load.Arrivals{Rate: w.rate, Duration: d, Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))}
	arrivals.Run(ctx, func(ctx context.Context, due time.Time) {
		r, twice := w.next()
		if !twice {
			w.send(ctx, due, r)
			return
		}
		var both sync.WaitGroup
		both.Go(func() { w.send(ctx, due, r) })
		both.Go(func() { w.send(ctx, due, r) })
		both.Wait()
	})
}

// next draws a request; twice says to send it two times at once.
func (w *workload) next() (r load.Request, twice bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	part := w.deployment.Mix[pick(w.random, w.deployment.Mix, func(p RequestKind) float64 { return p.Weight })]
	r = load.Request{Name: part.Name, Plain: part.Plain, Stream: !part.Plain}
	if r.Name == "" {
		r.Name = w.units[pick(w.random, w.weight, func(f float64) float64 { return f })]
	}
	if part.MaxTokens > 0 {
		r.MaxTokens = part.MinTokens + w.random.IntN(part.MaxTokens-part.MinTokens+1)
	}
	// The beginning of the prompt is shared, the serial makes it unique.
	r.Prompt = strings.Repeat(r.Name+" ", part.PromptBytes/(len(r.Name)+1)) + fmt.Sprintf("#%d", w.serial)
	if part.Keyed {
		r.Key = fmt.Sprintf("%s-%d", w.deployment.Name, w.serial)
		twice = w.random.Float64() < duplicateShare
	}
	return r, twice
}

func pick[T any](random *rand.Rand, items []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	at := random.Float64() * total
	for i, item := range items {
		if at -= weight(item); at < 0 {
			return i
		}
	}
	return len(items) - 1
}

func (w *workload) send(ctx context.Context, due time.Time, r load.Request) {
	result := w.client.Do(ctx, due, r)
	w.tally.add(r, result, w.verdict(r, result), w.meets(r, result))
}

// verdict is what is wrong with an answer that claims to be whole.
type verdict int

const (
	verdictFine verdict = iota
	// verdictCut is an answer that lacks its end.
	verdictCut
	// verdictMixed is an answer with somebody else's content, or content twice.
	verdictMixed
)

func (w *workload) verdict(r load.Request, result load.Result) verdict {
	if result.Outcome != load.Complete {
		return verdictFine
	}
	if r.Plain {
		return compare(result.Text, standin.ServiceAnswer("/", r.Prompt))
	}
	unit := w.fleet.target(r.Name)
	if result.Model != unit {
		return verdictMixed
	}
	var want strings.Builder
	for i := range r.MaxTokens {
		want.WriteString(standin.Token(unit, r.Prompt, i))
	}
	return compare(result.Text, want.String())
}

func compare(got, want string) verdict {
	switch {
	case got == want:
		return verdictFine
	case strings.HasPrefix(want, got):
		return verdictCut
	default:
		return verdictMixed
	}
}

// meets tells whether an answer met the targets of its service.
func (w *workload) meets(r load.Request, result load.Result) bool {
	p := w.fleet.catalog.Targets[r.Name].Policy
	return result.Outcome == load.Complete && result.FirstToken <= p.FirstToken && result.Total <= p.Deadline &&
		(result.Tokens < 2 || result.MaxGap <= p.BetweenTokens)
}

// unreachable asks once for every unit and returns those that gave no whole
// answer.
func (w *workload) unreachable(ctx context.Context) []string {
	var mu sync.Mutex
	var missing []string
	var asked sync.WaitGroup
	slots := make(chan struct{}, probesAtOnce)
	for _, unit := range w.fleet.catalog.UnitNames() {
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			r := load.Request{Name: unit, Stream: true, MaxTokens: 2, Prompt: "probe " + unit}
			if result := w.client.Do(ctx, time.Now(), r); result.Outcome != load.Complete || w.verdict(r, result) != verdictFine {
				mu.Lock()
				defer mu.Unlock()
				missing = append(missing, unit)
			}
		})
	}
	asked.Wait()
	slices.Sort(missing)
	return missing
}

// probesAtOnce bounds the probes under way.
const probesAtOnce = 16

// plainService returns a repeatable service over a plain pool.
func plainService(c *settings.Catalog) (name, pool string) {
	for _, n := range slices.Sorted(mapKeys(c.Tree.Services)) {
		if s := c.Tree.Services[n]; s.Pool != "" && c.Targets[n].Policy.Repeatable {
			return n, s.Pool
		}
	}
	return "", ""
}
