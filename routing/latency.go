package routing

import (
	"math"
	"sync"
	"time"
)

// An engine processes prompts one after another (prefill), so the time to the first token of
// an attempt follows from the prompts ahead of it. The time to process a prompt token differs
// by model and is learned from this instance's own attempts. Prompt work is the estimated
// prefill time of one or more prompts.

const (
	// initialTokenTime is the assumed time to process a prompt token before anything has
	// been learned: that of a large model on two accelerators.
	initialTokenTime = 50 * time.Microsecond
	// minTokenTime and maxTokenTime bound the learned time.
	minTokenTime = 2 * time.Microsecond
	maxTokenTime = time.Millisecond
	// observationWeight is the weight of a new observation.
	observationWeight = 0.15
	// maxObservationRatio bounds the ratio between an observation and the expectation, in
	// both directions.
	maxObservationRatio = 3.0
	// firstTokenOverhead is the part of the time to the first token that is not spent on
	// prefill.
	firstTokenOverhead = 10 * time.Millisecond
	// plainRequestWork is the work assumed for a request without a prompt.
	plainRequestWork = time.Millisecond
)

// prefillEstimator estimates the time to process a prompt token, by model. The adapters of
// a model share its estimate.
type prefillEstimator struct {
	mu     sync.Mutex
	models map[string]*prefillEstimate
}

// prefillEstimate is the estimate for one model.
type prefillEstimate struct {
	tokenTime time.Duration
	// observations counts the observations, as the first ones have more weight.
	observations int
}

// estimate returns the estimate for a model; mu must be held.
func (p *prefillEstimator) estimate(model string) *prefillEstimate {
	known := p.models[model]
	if known == nil {
		if p.models == nil {
			p.models = map[string]*prefillEstimate{}
		}
		known = &prefillEstimate{tokenTime: initialTokenTime}
		p.models[model] = known
	}
	return known
}

// tokenTime returns the estimated time to process a token of a prompt.
func (p *prefillEstimator) tokenTime(model string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.estimate(model).tokenTime
}

// promptWork returns the estimated time to process a prompt of the given number of tokens.
func (p *prefillEstimator) promptWork(model string, tokens int64) time.Duration {
	if tokens == 0 {
		return plainRequestWork
	}
	return time.Duration(tokens) * p.tokenTime(model)
}

// observe records the time that an attempt took to its first token, given the time
// expected. The first observations are averaged, as the initial estimate may be far off.
func (p *prefillEstimator) observe(model string, expected, took time.Duration) {
	ratio := float64(max(took-firstTokenOverhead, 0)) / float64(max(expected-firstTokenOverhead, 1))
	ratio = min(max(ratio, 1/maxObservationRatio), maxObservationRatio)
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.estimate(model)
	known.observations++
	share := max(observationWeight, 1/float64(known.observations))
	next := time.Duration(float64(known.tokenTime) * math.Pow(ratio, share))
	known.tokenTime = min(max(next, minTokenTime), maxTokenTime)
}

// ExpectedFirstToken returns how long an attempt is expected to wait at the endpoint for its
// first token; work is the time to process its prompt at the usual speed.
func (e *Endpoint) ExpectedFirstToken(work time.Duration) time.Duration {
	return firstTokenOverhead + e.atSpeed(e.PromptWorkAhead()+work)
}

// PromptWorkAhead returns the estimated time to process the prompts of all instances' attempts
// at the endpoint that have had no answer yet.
func (e *Endpoint) PromptWorkAhead() time.Duration {
	return e.OwnPromptWork() + e.PeerLoad().PromptWork
}

// Parameters of the mean gap between events.
const (
	// gapWeight is the weight of a new gap.
	gapWeight = 0.1
	// minGaps is the number of observed gaps below which the mean is not used: a single
	// long prompt between two events does not characterize the streams.
	minGaps = 10
	// gapExpiry is how long after the last gap the mean is discarded: without streams
	// there is no current observation.
	gapExpiry = time.Second
)

// gapMean is the mean time between events of the streams of an endpoint.
type gapMean struct {
	mean      time.Duration
	count     int
	updatedAt time.Time
}

// ObserveEventGap records the time between two events of a stream of the endpoint.
func (e *Endpoint) ObserveEventGap(now time.Time, gap time.Duration) {
	for {
		old := e.eventGap.Load()
		next := gapMean{mean: gap, count: 1, updatedAt: now}
		if old != nil && now.Sub(old.updatedAt) < gapExpiry {
			next.count = old.count + 1
			share := max(gapWeight, 1/float64(next.count))
			next.mean = old.mean + time.Duration(share*float64(gap-old.mean))
		}
		if e.eventGap.CompareAndSwap(old, &next) {
			return
		}
	}
}

// EventGap returns the recent mean time between events of streams of the endpoint; 0 if
// there are too few observations.
func (e *Endpoint) EventGap(now time.Time) time.Duration {
	g := e.eventGap.Load()
	if g == nil || g.count < minGaps || now.Sub(g.updatedAt) >= gapExpiry {
		return 0
	}
	return g.mean
}
