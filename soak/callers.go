package soak

import (
	"context"
	"fmt"
	"io"
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

// callerPatience is how long callers wait for an answer.
const callerPatience = 3 * time.Second

// callerPause is the mean pause of a caller between two requests.
const callerPause = 40 * time.Millisecond

// Callers ask all instances until they are stopped, each on a connection that it
// keeps until the instance or the way there closes it.
type Callers struct {
	site *Site
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	answers []Answer
	asked   int
}

// StartCallers starts so many callers for each instance.
func StartCallers(s *Site, seed uint64, each int) *Callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &Callers{site: s, stop: stop}
	for i := range s.nodes {
		for k := range each {
			random := rand.New(rand.NewPCG(seed, uint64(2+i*each+k)))
			c.done.Go(func() { c.run(ctx, i, random) })
		}
	}
	return c
}

func (c *Callers) run(ctx context.Context, node int, random *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		c.Ask(transport, node, kinds[random.IntN(len(kinds))])
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() * float64(callerPause))):
		}
	}
}

// Ask sends one request to an instance and records the answer.
func (c *Callers) Ask(transport http.RoundTripper, node int, kind Kind) Answer {
	a := Answer{Attempt: c.nextID(), Kind: kind, Node: node, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	req, err := fake.Request{
		Address: c.site.nodes[node].callers, Method: kind.Method, Path: kind.Path + a.Attempt, Attempt: a.Attempt,
		Model: kind.Model, Body: requestBody(a.Attempt), Patience: callerPatience,
	}.HTTP(ctx)
	if err != nil {
		a.Broken = err.Error()
		return c.record(a)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.Broken = err.Error()
		return c.record(a)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Seal, a.Body = resp.StatusCode, fake.Seal(resp.Header), string(text)
	if err != nil {
		a.Broken = err.Error()
	}
	return c.record(a)
}

func (c *Callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked++
	return fmt.Sprintf("a%06d", c.asked)
}

func (c *Callers) record(a Answer) Answer {
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
func (c *Callers) Answers() []Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers
}
