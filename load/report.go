package load

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram bounds, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 10 * 60 * 1000 * 1000
	significantDigits = 3
)

// Recorder collects results; it is safe for concurrent use.
type Recorder struct {
	mu                        sync.Mutex
	counts                    map[Outcome]int64
	firstToken, maxGap, total *hdrhistogram.Histogram
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &Recorder{counts: map[Outcome]int64{}, firstToken: newHistogram(), maxGap: newHistogram(), total: newHistogram()}
}

// Add records one result. Latencies are recorded for complete responses only.
func (r *Recorder) Add(result Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result.Outcome]++
	if result.Outcome != Complete {
		return
	}
	_ = r.firstToken.RecordValue(result.FirstToken.Microseconds())
	_ = r.total.RecordValue(result.Total.Microseconds())
	if result.Tokens > 1 {
		_ = r.maxGap.RecordValue(result.MaxGap.Microseconds())
	}
}

// Quantiles are the quantiles of one latency, in microseconds.
type Quantiles struct {
	P50 int64 `json:"p50_us"`
	P95 int64 `json:"p95_us"`
	P99 int64 `json:"p99_us"`
	Max int64 `json:"max_us"`
}

// Report is the summary of a run.
type Report struct {
	Seconds           float64           `json:"seconds"`
	Requests          int64             `json:"requests"`
	Outcomes          map[Outcome]int64 `json:"outcomes"`
	CompletePerSecond float64           `json:"complete_per_s"`
	FirstToken        Quantiles         `json:"first_token"`
	LongestGap        Quantiles         `json:"longest_gap"`
	Total             Quantiles         `json:"whole"`
}

// Report summarizes the results recorded over the given time.
func (r *Recorder) Report(elapsed time.Duration) Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Report{Seconds: elapsed.Seconds(), Outcomes: map[Outcome]int64{}}
	for o, n := range r.counts {
		out.Outcomes[o] = n
		out.Requests += n
	}
	out.CompletePerSecond = float64(r.counts[Complete]) / elapsed.Seconds()
	out.FirstToken, out.LongestGap, out.Total = quantiles(r.firstToken), quantiles(r.maxGap), quantiles(r.total)
	return out
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		P50: h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// WriteText writes the report as text.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%d requests in %.1f s, %.1f complete/s\n", r.Requests, r.Seconds, r.CompletePerSecond)
	for _, o := range []Outcome{Complete, NotRun, Unknown, Refused} {
		if n := r.Outcomes[o]; n > 0 {
			fmt.Fprintf(w, "  %-10s %d\n", o, n)
		}
	}
	fmt.Fprintf(w, "%-14s %10s %10s %10s %10s\n", "latency (ms)", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		q    Quantiles
	}{{"first token", r.FirstToken}, {"longest gap", r.LongestGap}, {"whole answer", r.Total}} {
		fmt.Fprintf(w, "%-14s %10.2f %10.2f %10.2f %10.2f\n", row.name,
			milliseconds(row.q.P50), milliseconds(row.q.P95), milliseconds(row.q.P99), milliseconds(row.q.Max))
	}
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }
