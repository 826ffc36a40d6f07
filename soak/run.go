package soak

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/eiderspring/eiderspring/platform/fake"
)

// Options configure a run.
type Options struct {
	Programs Programs
	Seed     uint64
	Size     Size
	// Schedule is the schedule of faults; if nil, it is generated from the seed.
	Schedule []Fault
	// Callers is the number of busy callers per instance.
	Callers int
	// Dir is the directory for the logs of all processes.
	Dir string
	// SkipTimingChecks leaves out the guarantees that hold only on a machine that is
	// not overloaded, such as the time between orders of different holders, the time
	// until an endpoint that leaves receives no requests, and that of a planned stop.
	SkipTimingChecks bool
}

// Report is the result of a run.
type Report struct {
	Seed                     uint64
	Faults, Requests, Served int
	// TakenUp is the number of tries to take a broken stream up, WentOn that of those that brought
	// an event.
	TakenUp, WentOn int
	// Violations are the violated guarantees, one message each.
	Violations []string
}

// String returns the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d faults=%d requests=%d served=%d taken_up=%d went_on=%d broken=%d", r.Seed, r.Faults, r.Requests, r.Served, r.TakenUp, r.WentOn, len(r.Violations))
}

const (
	// recoveryTimeout bounds the wait for each part of the recovery after all faults
	// have ended.
	recoveryTimeout = 20 * time.Second
	// recoveryAttempts is the number of successive requests of each kind of which
	// every instance must then serve at least 80 %.
	recoveryAttempts = 10
	// settleTime is the time for data in flight to arrive before the checks.
	settleTime = 500 * time.Millisecond
	// signalInterval is the time between the signals of a NodeStopSeries.
	signalInterval = 250 * time.Millisecond
	// loadMargin is what the load of the machine may add to the time until an endpoint
	// that leaves receives no requests.
	loadMargin = 300 * time.Millisecond
	// maxCloseRace is how long after its sending a request may cross the close of an
	// idle connection on an overloaded machine. On others none does: callers are idle
	// for at most half the time that instances keep connections open.
	maxCloseRace = 2 * time.Second
)

// Run injects the faults of a schedule and checks the guarantees.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	testbed, err := NewTestbed(o.Programs, o.Size, o.Dir)
	if err != nil {
		return report, err
	}
	defer testbed.Close()
	r := &run{options: o, testbed: testbed}
	if !r.allReady() {
		return report, fmt.Errorf("not ready within %s, logs in %s", recoveryTimeout, o.Dir)
	}
	r.callers = StartCallers(testbed, o.Seed, o.Callers)
	schedule := o.Schedule
	if schedule == nil {
		schedule = NewSchedule(o.Seed, o.Size)
	}
	scheduleDone, restarts := make(chan struct{}), sync.WaitGroup{}
	restarts.Go(func() { r.restartWorkers(scheduleDone) })
	r.inject(schedule)
	close(scheduleDone)
	restarts.Wait()
	r.checkRecovery()
	// Callers keep sending while the instances stop.
	r.stopInstances()
	r.callers.Stop()
	time.Sleep(settleTime)
	testbed.Close()
	return r.check(report, len(schedule)), nil
}

type run struct {
	options    Options
	testbed    *Testbed
	callers    *Callers
	faults     sync.WaitGroup
	mu         sync.Mutex
	violations []string
	// leavesFrom is when endpoints begin to leave, after all faults have ended.
	leavesFrom time.Time
}

func (r *run) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// waitUntil reports whether a condition becomes true within recoveryTimeout.
func waitUntil(condition func() bool) bool {
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

var readyClient = &http.Client{Timeout: time.Second}

func (n *node) isReady() bool {
	resp, err := readyClient.Get("http://" + n.readyAddress + fake.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) allReady() bool {
	for _, n := range r.testbed.nodes {
		if !waitUntil(n.isReady) {
			return false
		}
	}
	return true
}

// checkRecovery checks, after all faults have ended, that all instances serve again by
// the newest configuration, and lets endpoints leave.
func (r *run) checkRecovery() {
	if !r.allReady() {
		r.addViolation("not ready again within %s", recoveryTimeout)
		return
	}
	r.moveRoute()
	for i := range r.testbed.nodes {
		r.checkServing(i)
	}
	if !r.options.SkipTimingChecks {
		r.leaveEndpoints()
	}
}

// checkServing checks that an instance serves each kind of request, and that it uses
// the current path of the moved route and no longer the former one.
func (r *run) checkServing(i int) {
	current, former := kindSafe, kindMoved
	if r.testbed.routeMoved {
		current, former = former, current
	}
	for _, k := range []Kind{current, kindUnsafe, kindStream, kindResumable} {
		if !waitUntil(func() bool { return r.countServed(i, k) >= recoveryAttempts*8/10 }) {
			r.addViolation("not serving again: %s at instance %d", k.Path, i)
		}
	}
	if res := r.callers.Send(i, former); res.Status != http.StatusNotFound {
		r.addViolation("former route still in use at instance %d: %s returns status %d", i, former.Path, res.Status)
	}
}

// countServed returns how many of recoveryAttempts requests get a complete response.
func (r *run) countServed(i int, k Kind) int {
	n := 0
	for range recoveryAttempts {
		if res := r.callers.Send(i, k); res.Status == http.StatusOK && res.Failure == "" {
			n++
		}
	}
	return n
}

// Times of the store outages in leaveEndpoints.
const (
	// outageRounds is the number of outages after which endpoints leave.
	outageRounds = 3
	// minSilence is longer than EntryTTL, so that all entries expire.
	minSilence = 2500 * time.Millisecond
	maxSilence = 4500 * time.Millisecond
	// reconnectTime is the time after which an instance counts as connected to a store
	// that is available again, the default of Fresh.ContactMS of the configuration.
	// Endpoints leave up to reconnectJitter later.
	reconnectTime   = 3 * time.Second
	reconnectJitter = 200 * time.Millisecond
)

// leaveEndpoints lets plain endpoints leave: first one while the store is available,
// then two right after each outage of the store, of which one announces its leave and
// the other removes its entry at once. Check evaluates the records.
func (r *run) leaveEndpoints() {
	r.leavesFrom = time.Now()
	random := rand.New(rand.NewPCG(r.options.Seed, 1))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Float64()*float64(high-low))
	}
	announced, removed := r.testbed.workers[r.testbed.size.Engines], r.testbed.workers[r.testbed.size.Engines+1]
	r.leaveAndRestart(announced, syscall.SIGTERM)
	for range outageRounds {
		silence, reconnect := between(minSilence, maxSilence), between(reconnectTime, reconnectTime+reconnectJitter)
		slog.Info("outage", "silence", silence, "contact", reconnect)
		r.testbed.controlStore("mode/" + string(StoreSilent))
		time.Sleep(silence)
		r.testbed.controlStore("mode/up")
		time.Sleep(reconnect)
		var both sync.WaitGroup
		both.Go(func() { r.leaveAndRestart(announced, syscall.SIGTERM) })
		both.Go(func() { r.leaveAndRestart(removed, RemoveEntrySignal) })
		both.Wait()
	}
}

// leaveAndRestart lets an endpoint leave by a signal. After the endpoint has exited,
// it starts the next incarnation and waits until that receives requests.
func (r *run) leaveAndRestart(w *worker, how syscall.Signal) {
	slog.Info("leave", "worker", w.id(), "how", how.String())
	w.signal(how)
	time.Sleep(DrainTime)
	if !r.testbed.hasRecord(w.id(), EventLeft) {
		r.addViolation("leave not acknowledged: %s", w.id())
	}
	w.stop(syscall.SIGTERM, DrainTime)
	if err := r.testbed.startWorker(r.options.Programs.StandIns, w); err != nil {
		r.addViolation("not started: %s: %v", w.name, err)
		return
	}
	if !waitUntil(func() bool { return r.testbed.hasRecord(w.id(), fake.EventRun) }) {
		r.addViolation("not used again: %s", w.id())
	}
}

// stopInstances stops all instances as planned. Each must exit within stopGrace.
func (r *run) stopInstances() {
	var all sync.WaitGroup
	for _, n := range r.testbed.nodes {
		all.Go(func() {
			if !n.stop(syscall.SIGTERM, stopGrace) {
				r.addSlowStop(n)
			}
		})
	}
	all.Wait()
}

// addSlowStop records an instance that had to be killed at the end of its grace period.
func (r *run) addSlowStop(n *node) {
	if !r.options.SkipTimingChecks {
		r.addViolation("not stopped within the grace period: %s", n.name)
	}
}

func (r *run) check(report Report, faults int) Report {
	for _, n := range r.testbed.nodes {
		if crashes := n.crashCount(); crashes > 0 {
			r.addViolation("exited unexpectedly %d times: %s", crashes, n.name)
		}
		for _, failure := range n.stopFailures() {
			r.addViolation("planned stop cut short: %s: %s", n.name, failure)
		}
	}
	results := r.callers.Results()
	rules := Rules{
		PropagationTime: propagationTime, Undisturbed: r.testbed.undisturbed, LimitWindow: limitWindow,
		OrderLease: orderLease, ExcusedOrder: r.testbed.excusedOrder, MaxLeaveTime: leavingTime + loadMargin, LeavesFrom: r.leavesFrom,
		ExcusedResult: r.testbed.excusedResult, CheckTimeouts: true,
	}
	if r.options.SkipTimingChecks {
		rules.OrderLease, rules.PropagationTime, rules.CloseRaceWindow, rules.CheckTimeouts = 0, 0, maxCloseRace, false
		rules.LimitWindow = 0
	}
	report.Violations = append(r.violations, Check(results, r.testbed.records, rules)...)
	report.Faults, report.Requests = faults, len(results)
	for _, res := range results {
		if res.Status == http.StatusOK && res.Failure == "" {
			report.Served++
		}
		if res.Began == "" {
			continue
		}
		report.TakenUp++
		if res.Status == http.StatusOK {
			report.WentOn++
		}
	}
	return report
}
