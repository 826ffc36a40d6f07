package soak

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// cleanRun returns the results and records of a run without violations.
func cleanRun() ([]Result, []Record) {
	start := time.Unix(1000, 0)
	streamed := ""
	for i := range fake.StreamEvents {
		streamed += fake.StreamEvent("v1", "s1", i)
	}
	results := []Result{
		{Attempt: "p1", Kind: kindUnsafe, Status: http.StatusOK, Seal: "seal-w1", Body: plainBody(kindUnsafe, "p1", "w1")},
		{Attempt: "p2", Kind: kindUnsafe, Status: http.StatusServiceUnavailable},
		{Attempt: "p3", Kind: kindUnsafe, Status: http.StatusBadGateway},
		{Attempt: "s1", Kind: kindStream, Status: http.StatusOK, Seal: "seal-w2", Body: streamed},
		{Attempt: "s2", Kind: kindResumable, Status: http.StatusOK, Seal: "seal-w2", Body: fake.StreamEvent("v1", "s2", 0) + "id: 1\nda", Failure: "reset"},
		{Attempt: "c1", Kind: kindUnsafe, Reused: true, Sent: start, Ended: start.Add(time.Millisecond), Failure: "EOF"},
		{Attempt: "c2", Kind: kindUnsafe, Sent: start, Ended: start.Add(time.Second), Failure: "EOF"},
		{Attempt: "c3", Kind: kindUnsafe, Node: 1, Reused: true, Sent: start, Ended: start.Add(time.Second), Failure: "EOF"},
		{Attempt: "c4", Kind: kindUnsafe, Reused: true, Status: http.StatusBadGateway, Sent: start, Ended: start.Add(time.Second), Failure: "EOF"},
	}
	ran := func(worker, service, attempt string) Record {
		return Record{At: start, Worker: worker, Service: service, WorkerEvent: fake.WorkerEvent{What: fake.EventRun, Attempt: attempt}}
	}
	ordered := func(after time.Duration, holder string, fence int64) Record {
		return Record{At: start.Add(after), Worker: "w2", WorkerEvent: fake.WorkerEvent{What: fake.EventOrder, Holder: holder, Fence: fence}}
	}
	left := func(worker string, after time.Duration) Record {
		return Record{At: start.Add(after), Worker: worker, WorkerEvent: fake.WorkerEvent{What: EventLeft}}
	}
	records := []Record{
		ran("w1", fake.Plain, "p1"), ran("w1", fake.Plain, "p3"), ran("w2", fake.LLM, "s1"), ran("w2", fake.LLM, "s2"), ran("w3", fake.LLM, "s2"),
		ordered(0, "n1", 1), ordered(time.Second, "n1", 1), ordered(3*time.Second, "n2", 2),
		left("w3", 0), left("w1", -time.Second),
	}
	return results, records
}

var cleanRules = Rules{
	OrderLease: 1500 * time.Millisecond, MaxLeaveTime: 2 * time.Second, LeavesFrom: time.Unix(1000, 0),
	CloseRaceWindow: time.Millisecond, CheckTimeouts: true, ExcusedResult: func(res Result) bool { return res.Node == 1 },
}

func TestCheckAcceptsACleanRun(t *testing.T) {
	results, records := cleanRun()
	require.Empty(t, Check(results, records, cleanRules))
}

// crashingRun returns a run in which requests like first crash an endpoint each: some before all
// instances know, one while the knowledge propagates, and some late.
func crashingRun(first Result, early, late int) (results []Result, records []Record) {
	for i := range early + 1 + late {
		res := first
		res.Attempt, res.Status, res.Sent = strings.Repeat("x", i+1), http.StatusBadGateway, time.Unix(1000, 0).Add(time.Duration(i)*time.Millisecond)
		if i > early {
			res.Sent = res.Sent.Add(4 * time.Second)
		}
		res.Ended = res.Sent
		results = append(results, res)
		records = append(records, Record{At: res.Sent, Worker: "w", Service: res.Kind.Service, WorkerEvent: fake.WorkerEvent{What: fake.EventRun, Attempt: res.Attempt}})
	}
	return results, records
}

// TestCheckReportsACrashingRequestThatIsNotHeldBack has a request crash three endpoints
// before all instances know, one while the knowledge propagates, and some late.
func TestCheckReportsACrashingRequestThatIsNotHeldBack(t *testing.T) {
	check := func(late int, rules Rules) []string {
		results, records := crashingRun(Result{Kind: kindUnsafe, Name: crashingPrefix + "1"}, crashThreshold, late)
		return Check(results, records, rules)
	}
	rules := Rules{PropagationTime: 3 * time.Second}
	require.Empty(t, check(3, rules))
	violations := check(4, rules)
	require.Len(t, violations, 1)
	require.Contains(t, violations[0], "not held back: crashing-1 crashed 8 endpoints, 4 of them late")
	rules.Undisturbed = func(Result, time.Time) bool { return false }
	require.Empty(t, check(4, rules))
	require.Empty(t, check(4, Rules{}))
}

// TestCheckReportsACrashingPartThatIsNotHeldBack has a part of prompts crash five endpoints before all
// instances know, each under another request, one while the knowledge propagates, and some late.
func TestCheckReportsACrashingPartThatIsNotHeldBack(t *testing.T) {
	check := func(late int) []string {
		results, records := crashingRun(Result{Kind: kindStream, Part: crashingPrefix + "1"}, partCrashThreshold, late)
		return Check(results, records, Rules{PropagationTime: 3 * time.Second})
	}
	require.Empty(t, check(3))
	violations := check(4)
	require.Len(t, violations, 1)
	require.Contains(t, violations[0], "not held back: crashing-1 crashed 10 endpoints, 4 of them late")
}

// TestCheckReportsEachViolation violates one guarantee at a time.
func TestCheckReportsEachViolation(t *testing.T) {
	for want, violate := range map[string]func(a []Result, r []Record) []Record{
		"ran twice": func(_ []Result, r []Record) []Record { return append(r, r[0]) },
		"refused but ran": func(a []Result, r []Record) []Record {
			a[2].Status = http.StatusTooManyRequests
			return r
		},
		"not requested": func(_ []Result, r []Record) []Record { r[0].Attempt = "nobody's"; return r },
		"wrong service": func(_ []Result, r []Record) []Record { r[2].Service = fake.Plain; return r },
		"wrong answer":  func(a []Result, r []Record) []Record { a[0].Body = plainBody(kindUnsafe, "p9", "w1"); return r },
		"no seal":       func(a []Result, r []Record) []Record { a[0].Seal = ""; return r },
		"truncated but looks complete": func(a []Result, r []Record) []Record {
			a[4].Body, a[4].Failure = fake.StreamEvent("v1", "s2", 0), ""
			return r
		},
		"wrong event": func(a []Result, r []Record) []Record {
			a[3].Body = strings.Replace(a[3].Body, fake.StreamEvent("v1", "s1", 2), fake.StreamEvent("v1", "s1", 3), 1)
			return r
		},
		"two software versions": func(a []Result, r []Record) []Record {
			a[3].Began, a[3].Held, a[3].Version = "s0", 1, "v2"
			return r
		},
		"over memory": func(_ []Result, r []Record) []Record {
			return append(r, Record{WorkerEvent: fake.WorkerEvent{What: fake.EventOverload}})
		},
		"two holders": func(_ []Result, r []Record) []Record { r[7].Fence = 1; return r },
		"stale holder": func(_ []Result, r []Record) []Record {
			late := r[6]
			late.At = late.At.Add(time.Hour)
			return append(r, late)
		},
		"run after leave": func(_ []Result, r []Record) []Record {
			r[4].At = r[8].At.Add(2*time.Second + 1)
			return r
		},
		"neither answered nor refused: c1": func(a []Result, r []Record) []Record {
			a[5].Ended = a[5].Sent.Add(2 * time.Millisecond)
			return r
		},
		"neither answered nor refused: c1 /unsafe/ by instance 0, ran 1 times": func(_ []Result, r []Record) []Record {
			ran := r[0]
			ran.Attempt = "c1"
			return append(r, ran)
		},
		"neither answered nor refused: c2": func(a []Result, r []Record) []Record { a[6].Reused = true; return r },
		"neither answered nor refused: c3": func(a []Result, r []Record) []Record { a[7].Node = 0; return r },
		"neither answered nor refused: c4": func(a []Result, r []Record) []Record {
			a[8].Status, a[8].TimedOut = 0, true
			return r
		},
		"order lease overlap": func(_ []Result, r []Record) []Record { r[7].At = r[6].At.Add(time.Second); return r },
	} {
		results, records := cleanRun()
		records = violate(results, records)
		violations := Check(results, records, cleanRules)
		require.NotEmpty(t, violations, want)
		require.Contains(t, violations[0], want)
	}
}

// TestTimeoutsAreIgnoredOnAnOverloadedMachine checks that only requests whose callers
// gave up are left out.
func TestTimeoutsAreIgnoredOnAnOverloadedMachine(t *testing.T) {
	results, records := cleanRun()
	results[8].Status, results[8].TimedOut = 0, true
	rules := cleanRules
	rules.CheckTimeouts = false
	require.Empty(t, Check(results, records, rules))
	results[8].TimedOut = false
	require.Len(t, Check(results, records, rules), 1)
}

func TestLeavesDuringFaultsAreIgnored(t *testing.T) {
	results, records := cleanRun()
	records[0].At = records[9].At.Add(time.Hour)
	require.Empty(t, Check(results, records, cleanRules))
}

func TestOrdersRightAfterAResumeAreExcused(t *testing.T) {
	results, records := cleanRun()
	records[7].At = records[6].At.Add(time.Second)
	rules := cleanRules
	rules.ExcusedOrder = func(r Record) bool { return r.Holder == "n2" }
	require.Empty(t, Check(results, records, rules))
}

func TestSchedulesComeFromTheSeed(t *testing.T) {
	size := Size{Nodes: 3, Engines: 2, Plain: 2, Faults: time.Minute}
	require.Equal(t, NewSchedule(7, size), NewSchedule(7, size))
	require.NotEqual(t, NewSchedule(7, size), NewSchedule(8, size))
	seen := map[Action]bool{}
	for seed := range uint64(20) {
		for _, f := range NewSchedule(seed, size) {
			seen[f.Action] = true
			require.LessOrEqual(t, f.At+f.For, size.Faults)
		}
	}
	for _, a := range actions {
		require.True(t, seen[a], a)
	}
}

// TestDisturbancesExcuse has requests that were sent at 10 s on connections from 1 s and
// had no response by 13 s.
func TestDisturbancesExcuse(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	gaveUp := Result{Dialed: at(1), Sent: at(10), Ended: at(13), TimedOut: true}
	ended := gaveUp
	ended.TimedOut = false
	for _, c := range []struct {
		action        Action
		from, to      int
		gaveUp, ended bool
	}{
		{NodeKill, 12, 15, true, true},
		{NodeKill, 13, 15, false, false},
		{LinkReset, 8, 9, false, false},
		{LinkMute, 8, 8, true, true},
		{LinkMute, 0, 0, false, false},
		{NodeStandstill, 9, 14, true, false},
		{NodePause, 9, 11, true, false},
		{NodePause, 8, 9, false, false},
	} {
		d := disturbance{from: at(c.from), to: at(c.to), action: c.action}
		require.Equal(t, c.gaveUp, d.excuses(gaveUp), c)
		require.Equal(t, c.ended, d.excuses(ended), c)
	}
}

// TestRunsBeyondALimitAreReported has too many requests at an endpoint with a limit. They
// count only from undisturbed instances, while the limit is announced, and once all
// instances had the time to learn it.
func TestRunsBeyondALimitAreReported(t *testing.T) {
	start := time.Unix(1000, 0)
	record := func(what string, after time.Duration) Record {
		return Record{At: start.Add(after), Worker: "w1", Service: fake.Plain, WorkerEvent: fake.WorkerEvent{What: what, Attempt: "r"}}
	}
	recordsOf := func(burst time.Duration, n int) []Record {
		records := []Record{record(EventLimited, 0), record(fake.EventRun, 0)}
		for i := range n {
			records = append(records, record(fake.EventRun, burst+time.Duration(i)*100*time.Millisecond))
		}
		return append(records, record(EventUnlimited, LimitTime))
	}
	results := []Result{{Attempt: "r", Kind: kindSafe, Failure: "gave up"}}
	rules := Rules{LimitWindow: limitWindow}
	require.Len(t, Check(results, recordsOf(propagationTime, 18), rules), 1)
	require.Empty(t, Check(results, recordsOf(propagationTime, 17), rules))
	require.Empty(t, Check(results, recordsOf(time.Second, 18), rules), "some ran before all instances knew the limit")
	paused := slices.Delete(recordsOf(propagationTime, 18), 1, 2)
	require.Empty(t, Check(results, paused, rules), "nobody could learn the limit before the first run")
	restarted := slices.Insert(recordsOf(propagationTime, 18), 2, record(EventStarted, time.Second))
	require.Empty(t, Check(results, restarted, rules), "the process that announced the limit is gone")
	limitedAgain := slices.Insert(recordsOf(propagationTime, 18), 0, record(EventStarted, 0))
	require.Len(t, Check(results, limitedAgain, rules), 1, "the limit is that of the new process")
	require.Empty(t, Check(results, append(recordsOf(0, 0), recordsOf(propagationTime, 18)[1:19]...), rules), "the limit has ended")
	rules.Undisturbed = func(Result, time.Time) bool { return false }
	require.Empty(t, Check(results, recordsOf(propagationTime, 18), rules))
}
