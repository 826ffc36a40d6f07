package routing

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Prompts are read one after another, so how soon an attempt gets its first
// token follows from the prompts ahead of it. How long a token of a prompt
// takes differs by unit and is learned from own attempts.

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

// paces holds the time that a token of a prompt takes, by unit.
type paces struct {
	units sync.Map
}

func (p *paces) of(unit string) *atomic.Int64 {
	if known, ok := p.units.Load(unit); ok {
		return known.(*atomic.Int64)
	}
	fresh := &atomic.Int64{}
	fresh.Store(int64(assumedTokenTime))
	known, _ := p.units.LoadOrStore(unit, fresh)
	return known.(*atomic.Int64)
}

// work is the time to read a prompt of so many tokens.
func (p *paces) work(unit string, tokens int64) time.Duration {
	if tokens == 0 {
		return plainWork
	}
	return time.Duration(tokens * p.of(unit).Load())
}

// learn takes the time to the first token of an attempt that was expected to
// take some other time.
func (p *paces) learn(unit string, expected, took time.Duration) {
	ratio := float64(max(took-firstStep, 0)) / float64(max(expected-firstStep, 1))
	ratio = min(max(ratio, 1/maxSurprise), maxSurprise)
	pace := p.of(unit)
	next := float64(pace.Load()) * math.Pow(ratio, learnShare)
	pace.Store(int64(min(max(next, float64(leastToken)), float64(mostToken))))
}

// Expect is how long an attempt at the endpoint waits for its first token, with
// its own prompt's work.
func (e *Endpoint) Expect(work time.Duration) time.Duration {
	ahead := time.Duration(e.ownPrompt.Load()) + e.Others().Prompt
	return firstStep + ahead + work
}

// gapShare is the weight of a new gap between events.
const gapShare = 0.1

// NoteGap takes the time between two events of a stream from the endpoint.
func (e *Endpoint) NoteGap(gap time.Duration) {
	for {
		old := e.gap.Load()
		next := int64(gap)
		if old > 0 {
			next = old + int64(gapShare*float64(int64(gap)-old))
		}
		if e.gap.CompareAndSwap(old, next) {
			return
		}
	}
}

// Gap is the time between events of streams from the endpoint, lately; 0 where
// there have been none.
func (e *Endpoint) Gap() time.Duration { return time.Duration(e.gap.Load()) }
