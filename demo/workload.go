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

// workload sends a deployment's mix of requests and checks every response.
type workload struct {
	deployment Deployment
	fleet      *Fleet
	client     *load.Client
	tally      *tally
	// units are the models and adapters in descending order of demand, weights
	// their relative demand.
	units   []string
	weights []float64

	mu         sync.Mutex
	random     *rand.Rand
	lastSerial int
}

// Distribution of the requests over units and time.
const (
	// zipfExponent is the exponent by which the demand for a unit falls with its
	// rank.
	zipfExponent = 0.9
	// Every burstInterval the rate is burstFactor times the base rate for
	// burstLength.
	burstInterval = 8 * time.Second
	burstLength   = 2 * time.Second
	burstFactor   = 2.5
	// duplicateShare is the fraction of keyed requests that are sent twice.
	duplicateShare = 0.15
)

func newWorkload(d Deployment, f *Fleet, t *tally, seed uint64) *workload {
	w := &workload{
		deployment: d, fleet: f, client: load.NewClient(f.balancerURL, d.Token), tally: t,
		random: rand.New(rand.NewPCG(seed, 0)), units: f.catalog.UnitNames(),
	}
	w.random.Shuffle(len(w.units), func(i, j int) { w.units[i], w.units[j] = w.units[j], w.units[i] })
	for i := range w.units {
		w.weights = append(w.weights, 1/math.Pow(float64(i+1), zipfExponent))
	}
	return w
}

// arrivalRate returns the rate with bursts, in requests per second, at a time
// since the start. Its mean is the rate of the deployment.
func (w *workload) arrivalRate(since time.Duration) float64 {
	share := burstLength.Seconds() / burstInterval.Seconds()
	base := w.deployment.Rate / (1 + share*(burstFactor-1))
	if since%burstInterval < burstLength {
		return base * burstFactor
	}
	return base
}

func (w *workload) run(ctx context.Context, d time.Duration) {
	arrivals := load.Arrivals{Rate: w.arrivalRate, Duration: d, Random: rand.New(rand.NewPCG(w.random.Uint64(), 1))}
	arrivals.Run(ctx, func(ctx context.Context, due time.Time) {
		r, duplicate := w.nextRequest()
		if !duplicate {
			w.send(ctx, due, r)
			return
		}
		var both sync.WaitGroup
		both.Go(func() { w.send(ctx, due, r) })
		both.Go(func() { w.send(ctx, due, r) })
		both.Wait()
	})
}

// nextRequest draws a random request. If duplicate is set, two copies are to be
// sent at the same time.
func (w *workload) nextRequest() (r load.Request, duplicate bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastSerial++
	kind := w.deployment.Mix[pickWeighted(w.random, w.deployment.Mix, func(p RequestKind) float64 { return p.Weight })]
	r = load.Request{Name: kind.Name, Plain: kind.Plain, Stream: !kind.Plain}
	if r.Name == "" {
		r.Name = w.units[pickWeighted(w.random, w.weights, func(f float64) float64 { return f })]
	}
	if kind.MaxTokens > 0 {
		r.MaxTokens = kind.MinTokens + w.random.IntN(kind.MaxTokens-kind.MinTokens+1)
	}
	// Prompts for the same name share a prefix; the serial number makes each one
	// unique.
	r.Prompt = strings.Repeat(r.Name+" ", kind.PromptBytes/(len(r.Name)+1)) + fmt.Sprintf("#%d", w.lastSerial)
	if kind.Keyed {
		r.Key = fmt.Sprintf("%s-%d", w.deployment.Name, w.lastSerial)
		duplicate = w.random.Float64() < duplicateShare
	}
	return r, duplicate
}

func pickWeighted[T any](random *rand.Rand, items []T, weight func(T) float64) int {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	remaining := random.Float64() * total
	for i, item := range items {
		if remaining -= weight(item); remaining < 0 {
			return i
		}
	}
	return len(items) - 1
}

func (w *workload) send(ctx context.Context, due time.Time, r load.Request) {
	result := w.client.Do(ctx, due, r)
	w.tally.add(r, result, w.verdict(r, result), w.meetsTargets(r, result))
}

// verdict is the result of checking the content of a complete response.
type verdict int

const (
	verdictCorrect verdict = iota
	// verdictTruncated is a response that lacks its end.
	verdictTruncated
	// verdictCorrupted is a response with content of another request, or with
	// repeated content.
	verdictCorrupted
)

func (w *workload) verdict(r load.Request, result load.Result) verdict {
	if result.Outcome != load.Complete {
		return verdictCorrect
	}
	if r.Plain {
		return checkText(result.Text, standin.ServiceAnswer("/", r.Prompt))
	}
	unit := w.fleet.targetUnit(r.Name)
	if result.Model != unit {
		return verdictCorrupted
	}
	var want strings.Builder
	for i := range r.MaxTokens {
		want.WriteString(standin.Token(unit, r.Prompt, i))
	}
	return checkText(result.Text, want.String())
}

func checkText(got, want string) verdict {
	switch {
	case got == want:
		return verdictCorrect
	case strings.HasPrefix(want, got):
		return verdictTruncated
	default:
		return verdictCorrupted
	}
}

// meetsTargets reports whether a response met the latency targets of its service.
func (w *workload) meetsTargets(r load.Request, result load.Result) bool {
	p := w.fleet.catalog.Targets[r.Name].Policy
	return result.Outcome == load.Complete && result.FirstToken <= p.FirstToken && result.Total <= p.Deadline &&
		(result.Tokens < 2 || result.MaxGap <= p.BetweenTokens)
}

// probeUnreachable sends one request to each unit and returns the units without
// a complete and correct response.
func (w *workload) probeUnreachable(ctx context.Context) []string {
	var mu sync.Mutex
	var missing []string
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, unit := range w.fleet.catalog.UnitNames() {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			r := load.Request{Name: unit, Stream: true, MaxTokens: 2, Prompt: "probe " + unit}
			if result := w.client.Do(ctx, time.Now(), r); result.Outcome != load.Complete || w.verdict(r, result) != verdictCorrect {
				mu.Lock()
				defer mu.Unlock()
				missing = append(missing, unit)
			}
		})
	}
	probes.Wait()
	slices.Sort(missing)
	return missing
}

// maxConcurrentProbes bounds the probes in flight.
const maxConcurrentProbes = 16

// repeatablePlainService returns the name and pool of a repeatable service on a
// plain pool, or empty strings if there is none.
func repeatablePlainService(c *settings.Catalog) (name, pool string) {
	for _, n := range slices.Sorted(mapKeys(c.Tree.Services)) {
		if s := c.Tree.Services[n]; s.Pool != "" && c.Targets[n].Policy.Repeatable {
			return n, s.Pool
		}
	}
	return "", ""
}
