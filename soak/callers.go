package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Kinds of requests: those of fake.StandardRoutes, and kindMoved, whose path replaces
// that of kindSafe in a configuration with a moved route.
var (
	kindSafe      = Kind{Path: "/safe/", Service: fake.Plain, Method: http.MethodGet, Repeatable: true}
	kindMoved     = Kind{Path: "/moved/", Service: fake.Plain, Method: http.MethodGet, Repeatable: true}
	kindUnsafe    = Kind{Path: "/unsafe/", Service: fake.Plain, Method: http.MethodPost}
	kindStream    = Kind{Path: "/stream/", Service: fake.LLM, Method: http.MethodPost, Model: fake.Model}
	kindResumable = Kind{Path: "/resumable/", Service: fake.LLM, Method: http.MethodPost, Model: fake.Model2, Repeatable: true}
)

var kinds = []Kind{kindSafe, kindMoved, kindUnsafe, kindUnsafe, kindStream, kindResumable}

// callerProfile is the request pattern of a caller.
type callerProfile struct {
	// timeout is the deadline that the caller announces with a request.
	timeout time.Duration
	// thinkTime draws the time between a response and the next request.
	thinkTime func(*rand.Rand) time.Duration
}

// Busy callers send the next request soon. Idle callers leave their connection idle for
// nearly as long as the settings allow, and their timeout exceeds a NodeStandstill.
var (
	busyProfile = callerProfile{timeout: 3 * time.Second, thinkTime: func(random *rand.Rand) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(40*time.Millisecond))
	}}
	idleProfile = callerProfile{timeout: 9 * time.Second, thinkTime: func(random *rand.Rand) time.Duration {
		return time.Duration(random.Float64() * float64(idleTimeout-settleTime))
	}}
)

// idleCallers is the number of idle callers per instance, in addition to the busy ones.
const idleCallers = 12

// timeoutSlack is how long callers wait beyond the deadline that they announce.
const timeoutSlack = 1500 * time.Millisecond

// Callers send requests to all instances until they are stopped. Each caller has one
// connection, which it keeps until the instance or the proxy closes it.
type Callers struct {
	testbed *Testbed
	stop    context.CancelFunc
	done    sync.WaitGroup

	mu      sync.Mutex
	results []Result
	sent    int
}

// StartCallers starts the given number of busy callers for each instance, and the idle
// ones.
func StartCallers(t *Testbed, seed uint64, busy int) *Callers {
	ctx, stop := context.WithCancel(context.Background())
	c := &Callers{testbed: t, stop: stop}
	for i := range t.nodes {
		for k := range busy + idleCallers {
			profile := busyProfile
			if k >= busy {
				profile = idleProfile
			}
			random := rand.New(rand.NewPCG(seed, uint64(2+i*(busy+idleCallers)+k)))
			c.done.Go(func() { c.run(ctx, i, profile, random) })
		}
	}
	return c
}

func (c *Callers) run(ctx context.Context, node int, profile callerProfile, random *rand.Rand) {
	conn := &callerConn{}
	defer conn.close()
	for ctx.Err() == nil {
		res := c.sendOn(conn, node, kinds[random.IntN(len(kinds))], profile.timeout)
		c.takeUp(ctx, res, random)
		select {
		case <-ctx.Done():
		case <-time.After(profile.thinkTime(random)):
		}
	}
}

// maxTakeUps bounds the tries to take a stream up, takeUpPause is the time before each.
const (
	maxTakeUps  = 3
	takeUpPause = 30 * time.Millisecond
)

// takeUp asks any instances for the rest of a stream that has broken off, until the caller has it or
// has tried maxTakeUps times.
func (c *Callers) takeUp(ctx context.Context, res Result, random *rand.Rand) {
	for range maxTakeUps {
		held, version := heldEvents(res)
		if res.Kind.Path != kindResumable.Path || res.Failure == "" && res.Status == http.StatusOK || held == 0 || ctx.Err() != nil {
			return
		}
		time.Sleep(takeUpPause)
		res = c.takeUpAt(random.IntN(len(c.testbed.nodes)), Result{Kind: res.Kind, Began: cmp.Or(res.Began, res.Attempt), Held: held, Version: version})
	}
}

// takeUpAt asks an instance for the rest of a stream on a new connection.
func (c *Callers) takeUpAt(node int, res Result) Result {
	conn := &callerConn{}
	defer conn.close()
	res.Node = node
	return c.do(conn, res, busyProfile.timeout)
}

// heldEvents returns how many events of its stream a caller has after a response, and the version that
// wrote them.
func heldEvents(res Result) (held int, version string) {
	held, version = res.Held, res.Version
	if res.Status != http.StatusOK {
		return held, version
	}
	events := strings.SplitAfter(res.Body, "\n\n")
	for _, event := range events[:len(events)-1] {
		held++
		version = fake.EventVersion(event)
	}
	return held, version
}

// Send sends one request to an instance on a new connection and records the result.
func (c *Callers) Send(node int, kind Kind) Result {
	conn := &callerConn{}
	defer conn.close()
	return c.sendOn(conn, node, kind, busyProfile.timeout)
}

func (c *Callers) sendOn(conn *callerConn, node int, kind Kind, timeout time.Duration) Result {
	return c.do(conn, Result{Kind: kind, Node: node}, timeout)
}

// Resend sends a request with the given name on a new connection. All attempts with the
// same name are the same request: they have the same path and body.
func (c *Callers) Resend(node int, kind Kind, name string) Result {
	conn := &callerConn{}
	defer conn.close()
	return c.do(conn, Result{Kind: kind, Node: node, Name: name}, busyProfile.timeout)
}

// SendWithPart sends a new request on a new connection. Its prompt has the given part, which crashes
// endpoints.
func (c *Callers) SendWithPart(node int, kind Kind, part string) Result {
	conn := &callerConn{}
	defer conn.close()
	return c.do(conn, Result{Kind: kind, Node: node, Part: part}, busyProfile.timeout)
}

// commonPart is a part of all prompts.
const commonPart = "common"

// promptParts returns the parts of a request's prompt, the last of which is its own.
func promptParts(res Result) []string {
	switch {
	case res.Kind.Model == "":
		return nil
	case res.Part != "":
		return []string{commonPart, res.Part, res.Attempt}
	}
	return []string{commonPart, cmp.Or(res.Name, res.Began, res.Attempt)}
}

// do sends a request and records its result.
func (c *Callers) do(conn *callerConn, res Result, timeout time.Duration) Result {
	res.Attempt, res.Sent = c.nextID(), time.Now()
	name := cmp.Or(res.Name, res.Began, res.Attempt)
	req, err := fake.Request{
		Address: c.testbed.nodes[res.Node].callerAddress, Method: res.Kind.Method, Path: res.Kind.Path + name, Attempt: res.Attempt,
		Model: res.Kind.Model, PromptParts: promptParts(res), Body: requestBody(name), Timeout: timeout, Resumes: res.Began, LastEvent: res.Held - 1,
	}.HTTP(context.Background())
	if err == nil {
		err = conn.roundTrip(req, &res, res.Sent.Add(timeout+timeoutSlack))
	}
	if err != nil {
		res.Failure = err.Error()
	}
	res.Ended = time.Now()
	return c.record(res)
}

func (c *Callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	return fmt.Sprintf("a%06d", c.sent)
}

func (c *Callers) record(res Result) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, res)
	return res
}

// Stop stops the callers and waits for their last results.
func (c *Callers) Stop() {
	c.stop()
	c.done.Wait()
}

// Results returns all recorded results.
func (c *Callers) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.results
}
