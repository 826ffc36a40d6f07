package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/eiderspring/eiderspring/wait"
)

// Options are the choices of a run.
type Options struct {
	Deployment string
	Instances  int
	Duration   time.Duration
	Seed       uint64
	Faults     []Fault
	// Rate replaces the deployment's requests a second, if above 0.
	Rate float64
	// RoutingPolicy replaces the default policy, if set.
	RoutingPolicy string
	// Cold starts the engines empty.
	Cold bool
	// Hold keeps serving after the run until ctx ends.
	Hold bool
	// Listen is the callers' address, or empty for any free port.
	Listen string
	// Log gets the instances' log lines, if set.
	Log io.Writer
	// Progress gets a line a second that overwrites itself, if set.
	Progress io.Writer
	// Out gets the summary.
	Out io.Writer
}

// Run plays a deployment and returns what was counted.
func Run(ctx context.Context, o Options) (Summary, error) {
	d, known := Deployments()[o.Deployment]
	if !known {
		return Summary{}, trace.BadParameter("no deployment %q", o.Deployment)
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
	summary := f.play(ctx, d, o)
	fmt.Fprintln(o.Out, summary)
	if o.Hold && ctx.Err() == nil {
		fmt.Fprintf(o.Out, "holding: url=%s token=%s (interrupt to end)\n", f.balancerURL, d.Token)
		<-ctx.Done()
	}
	return summary, nil
}

func (f *Fleet) play(ctx context.Context, d Deployment, o Options) Summary {
	t := newTally()
	w := newWorkload(d, f, t, o.Seed)
	defer w.client.Close()
	added := newAddedLatency()
	background, stop := context.WithCancel(ctx)
	defer stop()
	addedDone := make(chan struct{})
	go func() {
		defer close(addedDone)
		added.run(background, f, d.Token)
	}()
	missing := &outages{}
	go missing.run(background, f)
	faultsOver := make(chan struct{})
	runFaults(f, o.Faults, faultsOver)
	if o.Progress != nil {
		go showProgress(background, o.Progress, t, o.Duration)
	}
	start := time.Now()
	reads, writes := f.storeCalls()
	w.run(ctx, o.Duration)
	took := time.Since(start).Seconds()
	readsAfter, writesAfter := f.storeCalls()
	close(faultsOver)
	stop()
	<-addedDone
	s := t.summary(f.catalog.Tree.Services)
	s.StoreReadsPerS, s.StoreWritesPerS = float64(readsAfter-reads)/took, float64(writesAfter-writes)/took
	s.AddedP50Us, s.AddedP95Us = added.at(50), added.at(95)
	s.MaxUnreachable, s.UnreachableSeconds = missing.most, missing.lasted().Seconds()
	s.UnreachableModels = w.unreachable(ctx)
	f.judge(&s)
	return s
}

// storeCalls returns the calls of the object API; an opened watch counts as a
// read.
func (f *Fleet) storeCalls() (reads, writes int64) {
	return f.platform.Objects.Reads.Load() + f.platform.Objects.Watches.Load(), f.platform.Objects.Writes.Load()
}

// judge adds what the stand-ins counted.
func (f *Fleet) judge(s *Summary) {
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

const progressEvery = time.Second

func showProgress(ctx context.Context, w io.Writer, t *tally, total time.Duration) {
	start := time.Now()
	for ctx.Err() == nil {
		wait.For(ctx, progressEvery)
		t.mu.Lock()
		fmt.Fprintf(w, "\r%3.0f of %.0f s, %d requests, %d met their targets ",
			time.Since(start).Seconds(), total.Seconds(), t.requests, t.met)
		t.mu.Unlock()
	}
	fmt.Fprint(w, "\r\033[K")
}
