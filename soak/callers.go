package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Kinds of requests: those of fake.StandardRoutes, and the route that a
// configuration moves.
var (
	kindSafe      = Kind{Path: "/safe/", Service: fake.Plain, Method: http.MethodGet, Repeatable: true}
	kindMoved     = Kind{Path: "/moved/", Service: fake.Plain, Method: http.MethodGet, Repeatable: true}
	kindUnsafe    = Kind{Path: "/unsafe/", Service: fake.Plain, Method: http.MethodPost}
	kindStream    = Kind{Path: "/stream/", Service: fake.LLM, Method: http.MethodPost, Model: fake.Model}
	kindResumable = Kind{Path: "/resumable/", Service: fake.LLM, Method: http.MethodPost, Model: fake.Model2, Repeatable: true}
)

var kinds = []Kind{kindSafe, kindMoved, kindUnsafe, kindUnsafe, kindStream, kindResumable}

// manner is how a caller asks.
type manner struct {
	// patience is what the caller says that it waits.
	patience time.Duration
	// pause draws the time between two requests.
	pause func(*rand.Rand) time.Duration
}

// Busy callers ask again soon. Resting ones leave their connection at rest for nearly
// as long as the settings allow, and outwait an instance that stands still.
var (
	busyCaller = manner{patience: 3 * time.Second, pause: func(random *rand.Rand) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(40*time.Millisecond))
	}}
	restingCaller = manner{patience: 9 * time.Second, pause: func(random *rand.Rand) time.Duration {
		return time.Duration(random.Float64() * float64(idleLimit-settleTime))
	}}
)

// restingCallers is how many resting callers each instance has, beside the busy ones.
const restingCallers = 12

// answerSlack is how much longer callers wait than they say.
const answerSlack = 1500 * time.Millisecond

// Callers ask all instances until they are stopped, each on a connection that it
// keeps until the instance or the way there closes it.
type Callers struct {
	site *Site
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	answers []Result
	asked   int
}

// StartCallers starts so many busy callers for each instance, and the resting ones.
func StartCallers(s *Site, seed uint64, each int) *Callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &Callers{site: s, stop: stop}
	for i := range s.nodes {
		for k := range each + restingCallers {
			how := busyCaller
			if k >= each {
				how = restingCaller
			}
			random := rand.New(rand.NewPCG(seed, uint64(2+i*(each+restingCallers)+k)))
			c.done.Go(func() { c.run(ctx, i, how, random) })
		}
	}
	return c
}

func (c *Callers) run(ctx context.Context, node int, how manner, random *rand.Rand) {
	l := &line{}
	defer l.close()
	for ctx.Err() == nil {
		c.ask(l, node, kinds[random.IntN(len(kinds))], how.patience)
		select {
		case <-ctx.Done():
		case <-time.After(how.pause(random)):
		}
	}
}

// Ask sends one request to an instance, on a connection of its own, and records the
// answer.
func (c *Callers) Ask(node int, kind Kind) Result {
	l := &line{}
	defer l.close()
	return c.ask(l, node, kind, busyCaller.patience)
}

func (c *Callers) ask(l *line, node int, kind Kind, patience time.Duration) Result {
	return c.send(l, Result{Kind: kind, Node: node}, patience)
}

// Repeat sends a request under a name of its own, on a connection of its own: whatever has
// the same name is the same request.
func (c *Callers) Repeat(node int, kind Kind, name string) Result {
	l := &line{}
	defer l.close()
	return c.send(l, Result{Kind: kind, Node: node, Name: name}, busyCaller.patience)
}

// send sends a request and records its answer.
func (c *Callers) send(l *line, a Result, patience time.Duration) Result {
	a.Attempt, a.Sent = c.nextID(), time.Now()
	name := cmp.Or(a.Name, a.Attempt)
	req, err := fake.Request{
		Address: c.site.nodes[a.Node].callers, Method: a.Kind.Method, Path: a.Kind.Path + name, Attempt: a.Attempt,
		Model: a.Kind.Model, Body: requestBody(name), Timeout: patience,
	}.HTTP(context.Background())
	if err == nil {
		err = l.ask(req, &a, a.Sent.Add(patience+answerSlack))
	}
	if err != nil {
		a.Failure = err.Error()
	}
	a.Ended = time.Now()
	return c.record(a)
}

func (c *Callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	return fmt.Sprintf("a%06d", c.asked)
}

func (c *Callers) record(a Result) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// Stop ends the callers and waits for their last answers.
func (c *Callers) Stop() {
	c.stop()
	c.done.Wait()
}

// Answers are all that were recorded.
func (c *Callers) Answers() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}
