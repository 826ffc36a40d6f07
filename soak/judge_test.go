package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// session is a run in which nothing is broken.
func session() ([]Answer, []Record) {
	start := time.Unix(1000, 0)
	streamed := ""
	for i := range fake.StreamEvents {
		streamed += fake.StreamEvent("s1", i)
	}
	answers := []Answer{
		{Attempt: "p1", Kind: kindUnsafe, Status: http.StatusOK, Seal: "seal-w1", Body: plainBody(kindUnsafe, "p1", "w1")},
		{Attempt: "p2", Kind: kindUnsafe, Status: http.StatusServiceUnavailable},
		{Attempt: "p3", Kind: kindUnsafe, Status: http.StatusBadGateway},
		{Attempt: "s1", Kind: kindStream, Status: http.StatusOK, Seal: "seal-w2", Body: streamed},
		{Attempt: "s2", Kind: kindResumable, Status: http.StatusOK, Seal: "seal-w2", Body: fake.StreamEvent("s2", 0) + "id: 1\nda", Broken: "reset"},
	}
	ran := func(worker, service, attempt string) Record {
		return Record{At: start, Worker: worker, Service: service, Happening: fake.Happening{What: fake.HappenedRun, Attempt: attempt}}
	}
	ordered := func(after time.Duration, holder string, fence int64) Record {
		return Record{At: start.Add(after), Worker: "w2", Happening: fake.Happening{What: fake.HappenedOrder, Holder: holder, Fence: fence}}
	}
	left := func(worker string, after time.Duration) Record {
		return Record{At: start.Add(after), Worker: worker, Happening: fake.Happening{What: HappenedLeft}}
	}
	records := []Record{
		ran("w1", fake.Plain, "p1"), ran("w1", fake.Plain, "p3"), ran("w2", fake.LLM, "s1"), ran("w2", fake.LLM, "s2"), ran("w3", fake.LLM, "s2"),
		ordered(0, "n1", 1), ordered(time.Second, "n1", 1), ordered(3*time.Second, "n2", 2),
		left("w3", 0), left("w1", -time.Second),
	}
	return answers, records
}

var sessionRules = Rules{OrderLease: 1500 * time.Millisecond, LeaveBound: 2 * time.Second, LeavesFrom: time.Unix(1000, 0)}

func TestJudgePassesWhatIsSound(t *testing.T) {
	answers, records := session()
	require.Empty(t, Judge(answers, records, sessionRules))
}

// TestJudgeSeesEachBrokenPromise breaks one promise at a time.
func TestJudgeSeesEachBrokenPromise(t *testing.T) {
	for want, spoil := range map[string]func(a []Answer, r []Record) []Record{
		"ran twice": func(_ []Answer, r []Record) []Record { return append(r, r[0]) },
		"refused but ran": func(a []Answer, r []Record) []Record {
			a[2].Status = http.StatusTooManyRequests
			return r
		},
		"unasked":       func(_ []Answer, r []Record) []Record { r[0].Attempt = "nobody's"; return r },
		"wrong service": func(_ []Answer, r []Record) []Record { r[2].Service = fake.Plain; return r },
		"wrong answer":  func(a []Answer, r []Record) []Record { a[0].Body = plainBody(kindUnsafe, "p9", "w1"); return r },
		"no seal":       func(a []Answer, r []Record) []Record { a[0].Seal = ""; return r },
		"cut but looks whole": func(a []Answer, r []Record) []Record {
			a[4].Body, a[4].Broken = fake.StreamEvent("s2", 0), ""
			return r
		},
		"wrong event": func(a []Answer, r []Record) []Record {
			a[3].Body = strings.Replace(a[3].Body, fake.StreamEvent("s1", 2), fake.StreamEvent("s1", 3), 1)
			return r
		},
		"over memory": func(_ []Answer, r []Record) []Record {
			return append(r, Record{Happening: fake.Happening{What: fake.HappenedOverload}})
		},
		"two holders": func(_ []Answer, r []Record) []Record { r[7].Fence = 1; return r },
		"an old holder": func(_ []Answer, r []Record) []Record {
			late := r[6]
			late.At = late.At.Add(time.Hour)
			return append(r, late)
		},
		"an endpoint that leaves": func(_ []Answer, r []Record) []Record {
			r[4].At = r[8].At.Add(2*time.Second + 1)
			return r
		},
		"turns": func(_ []Answer, r []Record) []Record { r[7].At = r[6].At.Add(time.Second); return r },
	} {
		answers, records := session()
		records = spoil(answers, records)
		broken := Judge(answers, records, sessionRules)
		require.NotEmpty(t, broken, want)
		require.Contains(t, broken[0], want)
	}
}

func TestLeavesAmongFaultsAreNotJudged(t *testing.T) {
	answers, records := session()
	records[0].At = records[9].At.Add(time.Hour)
	require.Empty(t, Judge(answers, records, sessionRules))
}

func TestOrdersRightAfterAWakeAreExcused(t *testing.T) {
	answers, records := session()
	records[7].At = records[6].At.Add(time.Second)
	rules := sessionRules
	rules.Excused = func(r Record) bool { return r.Holder == "n2" }
	require.Empty(t, Judge(answers, records, rules))
}

func TestSchedulesComeFromTheSeed(t *testing.T) {
	size := Size{Nodes: 3, Engines: 2, Plain: 2, Faults: time.Minute}
	require.Equal(t, Draw(7, size), Draw(7, size))
	require.NotEqual(t, Draw(7, size), Draw(8, size))
	seen := map[Action]bool{}
	for seed := range uint64(20) {
		for _, f := range Draw(seed, size) {
			seen[f.Action] = true
			require.LessOrEqual(t, f.At+f.For, size.Faults)
		}
	}
	for _, a := range actions {
		require.True(t, seen[a], a)
	}
}
