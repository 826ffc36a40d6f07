package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Kind is a kind of request.
type Kind struct {
	// Path is the prefix of the route. Service is the only service that may run the
	// request; it is the same in all configurations that are written.
	Path    string
	Service string
	Method  string
	// Model is the requested model; empty for a plain request.
	Model string
	// Repeatable is set if the request may run more than once.
	Repeatable bool
}

// Result is the outcome of one request at its caller.
type Result struct {
	Attempt string
	Kind    Kind
	Node    int
	// Name is the name under which the request is resent; empty for a request that is
	// sent once.
	Name string
	// Part is the part of the prompt that the request shares with others and that crashes endpoints;
	// empty if there is none.
	Part string
	// Began is the attempt that began the stream of which the request asks for the rest, empty for a
	// whole answer. Held is the number of events that the caller has of it, Version the software
	// version that wrote them.
	Began   string
	Held    int
	Version string
	// Dialed is when the connection was established, Sent when the request was sent,
	// and Ended when the caller had the response or gave up.
	Dialed, Sent, Ended time.Time
	// Reused is set if the whole request was sent on a connection that had carried a
	// response before.
	Reused bool
	Status int
	Seal   string
	Body   string
	// Failure says why the response is missing or incomplete; empty for a complete one.
	Failure string
	// TimedOut is set if the caller gave up; otherwise a failure means that the
	// connection ended.
	TimedOut bool
}

// Record is an event at an endpoint.
type Record struct {
	At      time.Time
	Worker  string
	Service string
	fake.WorkerEvent
}

// Rules are the bounds and exceptions that Check applies.
type Rules struct {
	// OrderLease is the minimum time between the last order of one holder at an
	// endpoint and the first order of another.
	OrderLease time.Duration
	// ExcusedOrder reports whether an order was sent right after its sender resumed
	// or its link recovered, which no sender can prevent; nil excuses none.
	ExcusedOrder func(Record) bool
	// MaxLeaveTime is how long an endpoint that leaves may still receive requests.
	// Leaves before LeavesFrom are not checked, as faults excuse them; the zero time
	// disables the check.
	MaxLeaveTime time.Duration
	LeavesFrom   time.Time
	// ExcusedResult reports whether a request without a response is excused: its
	// instance was killed or the link to it was disturbed at that time, or its caller
	// gave up while the instance was paused. nil excuses none.
	ExcusedResult func(Result) bool
	// PropagationTime is the time within which undisturbed instances must learn that a
	// request crashes endpoints; zero disables the check. Undisturbed reports whether
	// the instance of a request was undisturbed for that time before it, and what the
	// instances have learned since the given time cannot have been lost; nil stands for
	// true.
	PropagationTime time.Duration
	Undisturbed     func(res Result, since time.Time) bool
	// LimitWindow is the sliding window in which the requests at an endpoint with a
	// limit are counted; zero disables the check.
	LimitWindow time.Duration
	// CloseRaceWindow is the time after its sending within which a request may cross
	// the planned close of its connection; the instance has then not accepted it.
	CloseRaceWindow time.Duration
	// CheckTimeouts makes a request violate a guarantee if its caller gave up. Whether
	// a response is overdue depends on the load of the machine.
	CheckTimeouts bool
}

// Check returns the violated guarantees, one message each.
func Check(results []Result, records []Record, rules Rules) []string {
	c := checker{rules: rules, sent: map[string]Kind{}, runs: map[string]int{}}
	for _, res := range results {
		c.sent[res.Attempt] = res.Kind
	}
	for _, r := range records {
		c.checkRecord(r)
	}
	for _, res := range results {
		c.checkResult(res)
	}
	c.checkOrders(records)
	c.checkLeaves(records)
	c.checkCrashes(results, records)
	c.checkLimits(results, records)
	return c.violations
}

type checker struct {
	rules      Rules
	sent       map[string]Kind
	runs       map[string]int
	violations []string
}

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) checkRecord(r Record) {
	switch r.What {
	case fake.EventOverload:
		c.addViolation("over memory: %s at %s by %s", r.Order, r.Worker, r.Holder)
	case fake.EventRun:
		c.checkRun(r)
	}
}

func (c *checker) checkRun(r Record) {
	kind, sent := c.sent[r.Attempt]
	if !sent {
		c.addViolation("not requested: %s ran %s %s", r.Worker, r.Attempt, r.Path)
		return
	}
	if kind.Service != r.Service {
		c.addViolation("wrong service: %s of %s ran %s %s", r.Worker, r.Service, r.Attempt, r.Path)
	}
	c.runs[r.Attempt]++
	if c.runs[r.Attempt] == 2 && !kind.Repeatable {
		c.addViolation("ran twice: %s %s, again at %s", r.Attempt, r.Path, r.Worker)
	}
}

// statusMeansNotRun reports whether a status guarantees that the request has not run.
func statusMeansNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// checkUnanswered checks that a request that was sent whole on a reused connection has
// a response or a refusal.
func (c *checker) checkUnanswered(res Result) {
	if !res.Reused || res.Status != 0 || res.TimedOut && !c.rules.CheckTimeouts || c.rules.ExcusedResult != nil && c.rules.ExcusedResult(res) {
		return
	}
	after := res.Ended.Sub(res.Sent)
	if !res.TimedOut && after <= c.rules.CloseRaceWindow && c.runs[res.Attempt] == 0 {
		return
	}
	c.addViolation("neither answered nor refused: %s %s by instance %d, ran %d times, ended %s after its sending at %s: %s",
		res.Attempt, res.Kind.Path, res.Node, c.runs[res.Attempt], after, res.Sent.Format(time.StampMilli), res.Failure)
}

func (c *checker) checkResult(res Result) {
	c.checkUnanswered(res)
	if res.Seal == "" && statusMeansNotRun(res.Status) && !res.Kind.Repeatable && c.runs[res.Attempt] > 0 {
		c.addViolation("refused but ran: %s %s with %d from instance %d", res.Attempt, res.Kind.Path, res.Status, res.Node)
	}
	if res.Status != http.StatusOK {
		return
	}
	worker, sealed := strings.CutPrefix(res.Seal, fake.SealPrefix)
	if !sealed {
		c.addViolation("no seal: %s", res.Attempt)
		return
	}
	if res.Kind.Model != "" {
		c.checkStream(res)
		return
	}
	if want := plainBody(res.Kind, res.Attempt, worker); res.Failure == "" && res.Body != want {
		c.addViolation("wrong answer: %s: got %q, want %q", res.Attempt, res.Body, want)
	}
}

// checkStream checks that each event of a stream belongs to its request and is in
// order, that one software version wrote all of them, over the caller's tries, and that no event is
// missing if the response looks complete.
func (c *checker) checkStream(res Result) {
	events, version := res.Held, res.Version
	for event := range strings.SplitSeq(res.Body, "\n\n") {
		if event == "" {
			continue
		}
		written := fake.EventVersion(event)
		if version == "" {
			version = written
		}
		if written != version && slices.Contains(versions[:], written) {
			c.addViolation("two software versions: event %d of %s, begun by %q at %s, is of %s", events, res.Attempt, res.Began, version, written)
			return
		}
		want := fake.StreamEvent(version, res.Attempt, events)
		if event+"\n\n" != want {
			if res.Failure == "" || !strings.HasPrefix(want, event) {
				c.addViolation("wrong event %d of %s: %q", events, res.Attempt, event)
			}
			return
		}
		events++
	}
	if res.Failure == "" && events != fake.StreamEvents {
		c.addViolation("truncated but looks complete: %s has %d events", res.Attempt, events)
	}
}

// checkOrders checks that one holder at a time sends orders to an endpoint, and that
// no two holders use the same fencing number.
func (c *checker) checkOrders(records []Record) {
	last := map[string]Record{}
	holders := map[string]string{}
	for _, r := range records {
		if r.What != fake.EventOrder || c.rules.ExcusedOrder != nil && c.rules.ExcusedOrder(r) {
			continue
		}
		previous, known := last[r.Worker]
		last[r.Worker] = r
		key := r.Worker + " " + strconv.FormatInt(r.Fence, 10)
		if h := holders[key]; h != "" && h != r.Holder {
			c.addViolation("two holders: %s and %s order at %s with fencing number %d", h, r.Holder, r.Worker, r.Fence)
		}
		holders[key] = r.Holder
		if !known || previous.Holder == r.Holder {
			continue
		}
		if r.Fence < previous.Fence {
			c.addViolation("stale holder: %s orders at %s with fencing number %d after %s with %d", r.Holder, r.Worker, r.Fence, previous.Holder, previous.Fence)
		}
		if gap := r.At.Sub(previous.At); gap < c.rules.OrderLease {
			c.addViolation("order lease overlap: %s orders at %s %s after %s", r.Holder, r.Worker, gap, previous.Holder)
		}
	}
}

// checkLeaves checks that no request runs at an endpoint more than MaxLeaveTime after
// it left.
func (c *checker) checkLeaves(records []Record) {
	left := map[string]time.Time{}
	for _, r := range records {
		if r.What == EventLeft {
			left[r.Worker] = r.At
		}
	}
	for _, r := range records {
		at, leaves := left[r.Worker]
		if r.What != fake.EventRun || !leaves || c.rules.LeavesFrom.IsZero() || at.Before(c.rules.LeavesFrom) {
			continue
		}
		if late := r.At.Sub(at); late > c.rules.MaxLeaveTime {
			c.addViolation("run after leave: %s ran %s %s after its leave", r.Worker, r.Attempt, late)
		}
	}
}

// maxLateCrashes is how many endpoints a request, or the requests with a part of a prompt, may crash
// after all undisturbed instances know that it has crashed crashThreshold or partCrashThreshold of
// them.
const (
	maxLateCrashes     = 3
	crashThreshold     = 3
	partCrashThreshold = 5
)

// checkCrashes checks that a request that crashes endpoints, and all with a part of a prompt that
// does, are held back.
func (c *checker) checkCrashes(results []Result, records []Record) {
	if c.rules.PropagationTime == 0 {
		return
	}
	resent := map[string]Result{}
	for _, res := range results {
		if res.Name != "" || res.Part != "" {
			resent[res.Attempt] = res
		}
	}
	crashes := map[string][]Record{}
	for _, r := range records {
		if res, known := resent[r.Attempt]; known && r.What == fake.EventRun {
			name := cmp.Or(res.Part, res.Name)
			crashes[name] = append(crashes[name], r)
		}
	}
	for name, runs := range crashes {
		late, threshold := 0, crashThreshold
		if resent[runs[0].Attempt].Part != "" {
			threshold = partCrashThreshold
		}
		for i, r := range runs {
			res := resent[r.Attempt]
			from := runs[min(threshold, len(runs))-1].At
			if i >= threshold && r.At.Sub(from) > c.rules.PropagationTime && (c.rules.Undisturbed == nil || c.rules.Undisturbed(res, from)) {
				late++
			}
		}
		if late > maxLateCrashes {
			c.addViolation("not held back: %s crashed %d endpoints, %d of them late", name, len(runs), late)
		}
	}
}

// plainBody is the response of a worker to the plain request of an attempt.
func plainBody(k Kind, attempt, worker string) string {
	return fake.PlainBody(k.Method, k.Path+attempt, worker, requestBody(attempt))
}

// requestBody is the body of every request of an attempt.
func requestBody(attempt string) string { return "body of " + attempt }
