package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/eiderspring/eiderspring/wait"
)

// Options configure a run.
type Options struct {
	Deployment string
	Instances  int
	Duration   time.Duration
	Seed       uint64
	Faults     []Fault
	// Rate replaces the deployment's requests per second, if above 0.
	Rate float64
	// RoutingPolicy replaces the default policy, if set.
	RoutingPolicy string
	// Cold starts the engines empty.
	Cold bool
	// Hold keeps serving after the run until ctx ends.
	Hold bool
	// Listen is the callers' address, or empty for any free port.
	Listen string
	// Log receives the instances' log lines, if set.
	Log io.Writer
	// Progress receives a progress line that is overwritten each second, if set.
	Progress io.Writer
	// Out receives the summary.
	Out io.Writer
}

// Run starts a deployment, sends its workload and returns the summary.
func Run(ctx context.Context, o Options) (Summary, error) {
	d, known := Deployments()[o.Deployment]
	if !known {
		return Summary{}, trace.BadParameter("unknown deployment %q", o.Deployment)
	}
	if o.Rate > 0 {
		d.Rate = o.Rate
	}
	f, err := startFleet(d, o)
	if err != nil {
		return Summary{}, err
	}
	defer f.Close()
	fmt.Fprintf(o.Out, "%s: %s\n", d.Name, f)
	summary := f.runWorkload(ctx, d, o)
	fmt.Fprintln(o.Out, summary)
	if o.Hold && ctx.Err() == nil {
		fmt.Fprintf(o.Out, "holding: url=%s token=%s (interrupt to end)\n", f.balancerURL, d.Token)
		<-ctx.Done()
	}
	return summary, nil
}

func (f *Fleet) runWorkload(ctx context.Context, d Deployment, o Options) Summary {
	t := newTally()
	w := newWorkload(d, f, t, o.Seed)
	defer w.client.Close()
	latency := newAddedLatency()
	background, stop := context.WithCancel(ctx)
	defer stop()
	latencyDone := make(chan struct{})
	go func() {
		defer close(latencyDone)
		latency.run(background, f, d.Token)
	}()
	outages := &outageTracker{}
	go outages.run(background, f)
	stopFaults := make(chan struct{})
	injectFaults(f, o.Faults, stopFaults)
	if o.Progress != nil {
		go showProgress(background, o.Progress, t, o.Duration)
	}
	start := time.Now()
	reads, writes := f.storeCalls()
	w.run(ctx, o.Duration)
	elapsed := time.Since(start).Seconds()
	readsAfter, writesAfter := f.storeCalls()
	close(stopFaults)
	stop()
	<-latencyDone
	s := t.summary(f.catalog.Tree.Services)
	s.StoreReadsPerS, s.StoreWritesPerS = float64(readsAfter-reads)/elapsed, float64(writesAfter-writes)/elapsed
	s.AddedP50Us, s.AddedP95Us = latency.difference(50), latency.difference(95)
	s.MaxUnreachable, s.UnreachableSeconds = outages.maxUnits, outages.duration().Seconds()
	s.UnreachableModels = w.probeUnreachable(ctx)
	f.addStandinCounts(&s)
	return s
}

// storeCalls returns the number of calls to the object API so far; opening a
// watch counts as a read.
func (f *Fleet) storeCalls() (reads, writes int64) {
	return f.platform.Objects.Reads.Load() + f.platform.Objects.Watches.Load(), f.platform.Objects.Writes.Load()
}

// addStandinCounts adds the counters of the stand-ins to the summary.
func (f *Fleet) addStandinCounts(s *Summary) {
	runs := map[string]int{}
	for _, e := range f.engines {
		s.Devices++
		s.OverMemory += e.engine.Counts.OverMemory.Load()
		s.LeavingLate += e.engine.Counts.LeavingLate.Load()
		s.Moves += e.engine.Counts.Loads.Load() + e.engine.Counts.Unloads.Load()
	}
	for _, h := range f.services {
		s.LeavingLate += h.service.LeavingLate.Load()
		for key, n := range h.service.Runs() {
			runs[key] += n
		}
	}
	for _, n := range runs {
		s.Duplicated += n - 1
	}
}

const progressInterval = time.Second

func showProgress(ctx context.Context, w io.Writer, t *tally, total time.Duration) {
	start := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, progressInterval)
		t.mu.Lock()
		fmt.Fprintf(w, "\r%3.0f of %.0f s, %d requests, %d met their targets ",
			time.Since(start).Seconds(), total.Seconds(), t.requests, t.metTargets)
		t.mu.Unlock()
	}
	fmt.Fprint(w, "\r\033[K")
}
