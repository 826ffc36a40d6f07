package routing

import (
	"math"
	"sync"
	"time"
)

// Prompts are read one after another, so how soon an attempt gets its first
// token follows from the prompts ahead of it. How long a token of a prompt
// takes differs by model and is learned from own attempts.

const (
	// assumedTokenTime is how long a token of a prompt takes to read where
	// nothing has been learned yet: that of a large model on two accelerators.
	assumedTokenTime = 50 * time.Microsecond
	// leastToken and mostToken bound what is learned.
	leastToken = 2 * time.Microsecond
	mostToken  = time.Millisecond
	// learnShare is the weight of a new observation.
	learnShare = 0.15
	// maxSurprise bounds how far one observation may be from what was expected.
	maxSurprise = 3.0
	// firstStep is the time to the first token besides reading prompts.
	firstStep = 10 * time.Millisecond
	// plainWork is what a request without a prompt counts as.
	plainWork = time.Millisecond
)

// paces holds the time that a token of a prompt takes, by model: the adapters of a
// model run at its pace.
type paces struct {
	mu     sync.Mutex
	models map[string]*pace
}

// pace is what is known of one model.
type pace struct {
	token time.Duration
	// observed counts the observations, as the first ones weigh more.
	observed int
}

// of returns the pace of a model; mu must be held.
func (p *paces) of(model string) *pace {
	known := p.models[model]
	if known == nil {
		if p.models == nil {
			p.models = map[string]*pace{}
		}
		known = &pace{token: assumedTokenTime}
		p.models[model] = known
	}
	return known
}

// token is how long a token of a prompt takes.
func (p *paces) token(model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.of(model).token
}

// work is the time to read a prompt of so many tokens.
func (p *paces) work(model string, tokens int64) time.Duration {
	if tokens == 0 {
		return plainWork
	}
	return time.Duration(tokens) * p.token(model)
}

// learn takes the time to the first token of an attempt that was expected to
// take some other time. The first observations are averaged, as the assumed pace
// may be far off.
func (p *paces) learn(model string, expected, took time.Duration) {
	ratio := float64(max(took-firstStep, 0)) / float64(max(expected-firstStep, 1))
	ratio = min(max(ratio, 1/maxSurprise), maxSurprise)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.of(model)
	known.observed++
	share := max(learnShare, 1/float64(known.observed))
	next := time.Duration(float64(known.token) * math.Pow(ratio, share))
	known.token = min(max(next, leastToken), mostToken)
}

// ExpectedFirstToken is how long an attempt at the endpoint waits for its first token, with
// its own prompt's work.
func (e *Endpoint) ExpectedFirstToken(work time.Duration) time.Duration {
	return firstStep + e.PromptWorkAhead() + work
}

// PromptWorkAhead is the work of reading the prompts of all instances' attempts at the endpoint
// that have had no answer yet.
func (e *Endpoint) PromptWorkAhead() time.Duration {
	return e.OwnPromptWork() + e.PeerLoad().PromptWork
}

// Bounds of the mean gap between events.
const (
	// gapShare is the weight of a new gap.
	gapShare = 0.1
	// gapLeast is how many gaps the mean must rest on before it counts: a single long
	// prompt between two events says nothing of how streams flow.
	gapLeast = 10
	// gapStale is after how long without a gap the mean is forgotten: nothing has
	// flowed since, so nothing is known.
	gapStale = time.Second
)

// gapMean is the mean time between events of streams from an endpoint.
type gapMean struct {
	mean time.Duration
	seen int
	at   time.Time
}

// ObserveEventGap takes the time between two events of a stream from the endpoint.
func (e *Endpoint) ObserveEventGap(now time.Time, gap time.Duration) {
	for {
		old := e.gap.Load()
		next := gapMean{mean: gap, seen: 1, at: now}
		if old != nil && now.Sub(old.at) < gapStale {
			next.seen = old.seen + 1
			share := max(gapShare, 1/float64(next.seen))
			next.mean = old.mean + time.Duration(share*float64(gap-old.mean))
		}
		if e.gap.CompareAndSwap(old, &next) {
			return
		}
	}
}

// EventGap is the time between events of streams from the endpoint, lately; 0 where there
// have been too few to tell.
func (e *Endpoint) EventGap(now time.Time) time.Duration {
	g := e.gap.Load()
	if g == nil || g.seen < gapLeast || now.Sub(g.at) >= gapStale {
		return 0
	}
	return g.mean
}
