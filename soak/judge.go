package soak

import (
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
	// Path is the prefix of the route, Service the one that may run it, by any
	// configuration that was ever written.
	Path    string
	Service string
	Method  string
	// Model is what is asked for; empty for a plain request.
	Model string
	// Repeatable tells whether it may run more than once.
	Repeatable bool
}

// Answer is what a caller got.
type Result struct {
	Attempt string
	Kind    Kind
	Node    int
	// Name is the request's where it is repeated; empty for one that comes once.
	Name string
	// Dialed is when the connection was made, Sent when the request went out, Ended
	// when the caller had its answer or gave up.
	Dialed, Sent, Ended time.Time
	// Kept tells that the request was sent whole on a connection that had brought an
	// answer before.
	Kept   bool
	Status int
	Seal   string
	Body   string
	// Broken is why the answer has no end; empty for a whole one.
	Failure string
	// TimedOut tells that the caller gave up; else the connection ended.
	TimedOut bool
}

// Record is something that happened at an endpoint.
type Record struct {
	At      time.Time
	Worker  string
	Service string
	fake.WorkerEvent
}

// Rules are what the judge must know of the site.
type Rules struct {
	// OrderLease is for how long an endpoint must have had no order of one holder
	// before another orders there.
	OrderLease time.Duration
	// Excused tells of an order that was sent right after its sender woke or its
	// link was mended, which no sender can help; nil excuses none.
	Excused func(Record) bool
	// LeaveBound is how long an endpoint that leaves may get requests, and LeavesFrom
	// since when leaves are judged: faults before it excuse them. The zero time
	// judges none.
	LeaveBound time.Duration
	LeavesFrom time.Time
	// Disturbed tells of a request without an answer whose instance was killed, or
	// whose way there was disturbed, at that time, or that its caller gave up while
	// the instance stood still; nil tells of none.
	Disturbed func(Result) bool
	// Known is how long instances in touch have to know that a request ends endpoints;
	// zero judges none. InTouch tells of a request to an instance that was, all that
	// time, and since a moment; nil tells of all.
	Known   time.Duration
	InTouch func(a Result, since time.Time) bool
	// LimitWindow is the time in which requests beyond an endpoint's limit are counted;
	// zero judges none.
	LimitWindow time.Duration
	// Crossing is within what time of its sending a request may meet the planned
	// close of its connection on the way; the instance has not taken it then.
	Crossing time.Duration
	// Patient tells that callers give up only where an answer is overdue, which
	// depends on the machine.
	Patient bool
}

// Judge returns the promises that were broken.
func Check(answers []Result, records []Record, rules Rules) []string {
	j := judge{rules: rules, asked: map[string]Kind{}, runs: map[string]int{}}
	for _, a := range answers {
		j.asked[a.Attempt] = a.Kind
	}
	for _, r := range records {
		j.record(r)
	}
	for _, a := range answers {
		j.answer(a)
	}
	j.orders(records)
	j.leaves(records)
	j.endings(answers, records)
	j.limits(answers, records)
	return j.broken
}

type judge struct {
	rules  Rules
	asked  map[string]Kind
	runs   map[string]int
	broken []string
}

func (j *judge) add(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf(format, args...))
}

func (j *judge) record(r Record) {
	switch r.What {
	case fake.EventOverload:
		j.add("over memory: %s at %s by %s", r.Order, r.Worker, r.Holder)
	case fake.EventRun:
		j.run(r)
	}
}

func (j *judge) run(r Record) {
	kind, asked := j.asked[r.Attempt]
	if !asked {
		j.add("unasked: %s ran %s %s", r.Worker, r.Attempt, r.Path)
		return
	}
	if kind.Service != r.Service {
		j.add("wrong service: %s of %s ran %s %s", r.Worker, r.Service, r.Attempt, r.Path)
	}
	j.runs[r.Attempt]++
	if j.runs[r.Attempt] == 2 && !kind.Repeatable {
		j.add("ran twice: %s %s, again at %s", r.Attempt, r.Path, r.Worker)
	}
}

// promisesNotRun tells whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	return slices.Contains([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// unanswered checks that a request that was sent whole on a kept connection has an
// answer or a refusal.
func (j *judge) unanswered(a Result) {
	if !a.Kept || a.Status != 0 || a.TimedOut && !j.rules.Patient || j.rules.Disturbed != nil && j.rules.Disturbed(a) {
		return
	}
	after := a.Ended.Sub(a.Sent)
	if !a.TimedOut && after <= j.rules.Crossing && j.runs[a.Attempt] == 0 {
		return
	}
	j.add("neither answered nor refused: %s %s by instance %d, ran %d times, ended %s behind its sending at %s: %s",
		a.Attempt, a.Kind.Path, a.Node, j.runs[a.Attempt], after, a.Sent.Format(time.StampMilli), a.Failure)
}

func (j *judge) answer(a Result) {
	j.unanswered(a)
	if a.Seal == "" && promisesNotRun(a.Status) && !a.Kind.Repeatable && j.runs[a.Attempt] > 0 {
		j.add("refused but ran: %s %s with %d from instance %d", a.Attempt, a.Kind.Path, a.Status, a.Node)
	}
	if a.Status != http.StatusOK {
		return
	}
	worker, sealed := strings.CutPrefix(a.Seal, fake.SealPrefix)
	if !sealed {
		j.add("no seal: %s", a.Attempt)
		return
	}
	if a.Kind.Model != "" {
		j.stream(a)
		return
	}
	if want := plainBody(a.Kind, a.Attempt, worker); a.Failure == "" && a.Body != want {
		j.add("wrong answer: %s: %q in place of %q", a.Attempt, a.Body, want)
	}
}

// stream checks the events: each in its place, of this request, and all if the
// answer looks whole.
func (j *judge) stream(a Result) {
	whole := 0
	for event := range strings.SplitSeq(a.Body, "\n\n") {
		if event == "" {
			continue
		}
		want := fake.StreamEvent(a.Attempt, whole)
		if event+"\n\n" != want {
			if a.Failure == "" || !strings.HasPrefix(want, event) {
				j.add("wrong event %d of %s: %q", whole, a.Attempt, event)
			}
			return
		}
		whole++
	}
	if a.Failure == "" && whole != fake.StreamEvents {
		j.add("cut but looks whole: %s has %d events", a.Attempt, whole)
	}
}

// orders checks that one holder at a time orders at an endpoint, and that fencing
// numbers tell holders apart.
func (j *judge) orders(records []Record) {
	last := map[string]Record{}
	holders := map[string]string{}
	for _, r := range records {
		if r.What != fake.EventOrder || j.rules.Excused != nil && j.rules.Excused(r) {
			continue
		}
		before, known := last[r.Worker]
		last[r.Worker] = r
		key := r.Worker + " " + strconv.FormatInt(r.Fence, 10)
		if h := holders[key]; h != "" && h != r.Holder {
			j.add("two holders: %s and %s order at %s with fencing number %d", h, r.Holder, r.Worker, r.Fence)
		}
		holders[key] = r.Holder
		if !known || before.Holder == r.Holder {
			continue
		}
		if r.Fence < before.Fence {
			j.add("an old holder: %s orders at %s with %d behind %s with %d", r.Holder, r.Worker, r.Fence, before.Holder, before.Fence)
		}
		if gap := r.At.Sub(before.At); gap < j.rules.OrderLease {
			j.add("turns: %s orders at %s %s behind %s", r.Holder, r.Worker, gap, before.Holder)
		}
	}
}

// leaves checks that nothing runs at an endpoint when the time for its leave is over.
func (j *judge) leaves(records []Record) {
	left := map[string]time.Time{}
	for _, r := range records {
		if r.What == HappenedLeft {
			left[r.Worker] = r.At
		}
	}
	for _, r := range records {
		at, leaves := left[r.Worker]
		if r.What != fake.EventRun || !leaves || j.rules.LeavesFrom.IsZero() || at.Before(j.rules.LeavesFrom) {
			continue
		}
		if late := r.At.Sub(at); late > j.rules.LeaveBound {
			j.add("an endpoint that leaves: %s ran %s %s behind its leave", r.Worker, r.Attempt, late)
		}
	}
}

// mostLateEndings is how many endpoints a request may end once all instances in touch know
// that it has ended lateFrom of them.
const (
	mostLateEndings = 3
	lateFrom        = 3
)

// endings checks that a request which ends endpoints is held back.
func (j *judge) endings(answers []Result, records []Record) {
	if j.rules.Known == 0 {
		return
	}
	repeated := map[string]Result{}
	for _, a := range answers {
		if a.Name != "" {
			repeated[a.Attempt] = a
		}
	}
	endings := map[string][]Record{}
	for _, r := range records {
		if a, known := repeated[r.Attempt]; known && r.What == fake.EventRun {
			endings[a.Name] = append(endings[a.Name], r)
		}
	}
	for name, ended := range endings {
		late := 0
		for i, r := range ended {
			a := repeated[r.Attempt]
			from := ended[min(lateFrom, len(ended))-1].At
			if i >= lateFrom && r.At.Sub(from) > j.rules.Known && (j.rules.InTouch == nil || j.rules.InTouch(a, from)) {
				late++
			}
		}
		if late > mostLateEndings {
			j.add("not held back: %s ended %d endpoints, %d of them late", name, len(ended), late)
		}
	}
}

// plainBody is what a worker answers to the plain request of an attempt.
func plainBody(k Kind, attempt, worker string) string {
	return fake.PlainBody(k.Method, k.Path+attempt, worker, requestBody(attempt))
}

// requestBody is the body of every request of an attempt.
func requestBody(attempt string) string { return "body of " + attempt }
