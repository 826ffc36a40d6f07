package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/eiderspring/eiderspring/demo"
	"github.com/eiderspring/eiderspring/examples"
	"github.com/eiderspring/eiderspring/revision"
	"github.com/eiderspring/eiderspring/standin"
	"github.com/eiderspring/eiderspring/store"
)

// scenario sets the state of the store before and after an edit.
type scenario struct {
	name   string
	before func(*standin.ObjectAPI)
	after  func(*standin.ObjectAPI)
	// editsDivisor divides the number of edits, for scenarios that take long; 0
	// means 1.
	editsDivisor int
	// interval is the time between edits.
	interval time.Duration
}

var scenarios = []scenario{
	{name: "healthy", interval: 20 * time.Millisecond},
	{name: "watches cut", interval: 300 * time.Millisecond, before: func(a *standin.ObjectAPI) {
		a.SetMode(standin.StoreDown)
		a.SetMode(standin.StoreUp)
	}},
	{name: "down after", interval: 100 * time.Millisecond, editsDivisor: 5,
		before: func(a *standin.ObjectAPI) {
			a.SetMode(standin.StoreUp)
			// Lets the instances reconnect their watches.
			time.Sleep(watchReconnectTime)
		},
		after: func(a *standin.ObjectAPI) {
			time.Sleep(downDelay)
			a.SetMode(standin.StoreDown)
		}},
	{name: "1 in 10 answers lost", interval: 20 * time.Millisecond,
		before: func(a *standin.ObjectAPI) { a.SetMode(standin.StoreLostAnswers) }},
}

const (
	// inForceTimeout bounds the wait until an edit is in force.
	inForceTimeout = 10 * time.Second
	// watchReconnectTime is longer than a watch takes to reconnect after an
	// outage.
	watchReconnectTime = 2500 * time.Millisecond
	// downDelay is how long the store stays up after an edit in the scenario
	// "down after". With 0, no instance could have received the edit, and none
	// could until the store is up again.
	downDelay = 3 * time.Millisecond
)

// benchSettings prints, for each number of instances and each scenario, the time
// from when an edit is accepted until it is in force on all instances, as CSV.
func benchSettings(ctx context.Context, sizes []int, edits int) error {
	fmt.Println("instances,scenario,edits,p50_ms,max_ms,not_in_force,reverts,store_calls_per_s,peer_bytes_per_s_per_instance")
	for _, n := range sizes {
		f, err := demo.Start(demo.Options{Deployment: "tideline", Instances: n})
		if err != nil {
			return err
		}
		for _, s := range scenarios {
			runScenario(ctx, f, n, s, edits)
		}
		f.Close()
	}
	return nil
}

func runScenario(ctx context.Context, f *demo.Fleet, n int, s scenario, edits int) {
	objects := f.Objects()
	objects.SetMode(standin.StoreUp)
	publisher := revision.NewPublisher(store.NewHTTPClient(store.Config{URL: f.PlatformURL()}), time.Now)
	var reverts atomic.Int64
	revertsCtx, stop := context.WithCancel(ctx)
	go countReverts(revertsCtx, f, &reverts)
	start := time.Now()
	calls, bytes := storeCalls(objects), f.PeerBytes()
	edits /= max(1, s.editsDivisor)
	var latencies []time.Duration
	notInForce := 0
	for i := range edits {
		time.Sleep(s.interval)
		if s.before != nil {
			s.before(objects)
		}
		text := strings.Replace(string(examples.Tideline), `"firstTokenMS": 1000`, fmt.Sprintf(`"firstTokenMS": %d`, 1000+i%7), 1)
		entry, err := publisher.Publish(ctx, "edit", []byte(text), "bench", slices.Max(f.Revisions()))
		if err != nil {
			notInForce++
			continue
		}
		accepted := time.Now()
		if s.after != nil {
			s.after(objects)
		}
		if !waitInForce(f, entry.Revision) {
			notInForce++
			continue
		}
		latencies = append(latencies, time.Since(accepted))
	}
	stop()
	elapsed := time.Since(start).Seconds()
	slices.Sort(latencies)
	p50, maximum := time.Duration(0), time.Duration(0)
	if len(latencies) > 0 {
		p50, maximum = latencies[len(latencies)/2], latencies[len(latencies)-1]
	}
	fmt.Printf("%d,%s,%d,%.1f,%.1f,%d,%d,%.1f,%.0f\n", n, s.name, edits, milliseconds(p50), milliseconds(maximum), notInForce, reverts.Load(),
		float64(storeCalls(objects)-calls)/elapsed, float64(f.PeerBytes()-bytes)/elapsed/float64(n))
	objects.SetMode(standin.StoreUp)
	time.Sleep(time.Second)
}

func storeCalls(a *standin.ObjectAPI) int64 {
	return a.Reads.Load() + a.Writes.Load() + a.Watches.Load()
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func waitInForce(f *demo.Fleet, revision int64) bool {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) {
		if slices.Min(f.Revisions()) >= revision {
			return true
		}
		time.Sleep(200 * time.Microsecond)
	}
	return false
}

// countReverts counts how often the revision in force on an instance goes back
// to a lower one, until ctx is done.
func countReverts(ctx context.Context, f *demo.Fleet, reverts *atomic.Int64) {
	last := f.Revisions()
	for ctx.Err() == nil {
		now := f.Revisions()
		for i := range now {
			if now[i] < last[i] {
				reverts.Add(1)
			}
		}
		last = now
		time.Sleep(time.Millisecond)
	}
}
