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

// Options are those of one run.
type Options struct {
	Programs Programs
	Seed     uint64
	Size     Size
	// Plan is the schedule of faults; nil draws it from the seed.
	Plan []Fault
	// Callers is how many callers ask each instance.
	Callers int
	// Dir gets the logs of all processes.
	Dir string
	// Untimed leaves out what only holds on a machine that is not overloaded: the
	// times between holders' orders, until an endpoint that leaves gets nothing,
	// and of a planned stop.
	SkipTimingChecks bool
}

// Report is what a run found.
type Report struct {
	Seed                     uint64
	Faults, Requests, Served int
	// Broken are the promises that were broken.
	Violations []string
}

// String is the report as one line.
func (r Report) String() string {
	return fmt.Sprintf("seed=%d faults=%d requests=%d served=%d broken=%d", r.Seed, r.Faults, r.Requests, r.Served, len(r.Violations))
}

const (
	// calmPatience bounds the wait for what must come back when all faults have
	// ended.
	calmPatience = 20 * time.Second
	// calmTries is how many requests of each kind every instance must then serve in
	// a row, or nearly.
	calmTries = 10
	// settleTime lets what is on its way arrive before the judge looks.
	settleTime = 500 * time.Millisecond
	// loadMargin is what the machine's load may add to the time until an endpoint
	// that leaves gets nothing.
	loadMargin = 300 * time.Millisecond
	// crossMost is how long after its sending a request may meet the close of a
	// connection that was at rest, on a machine that is overloaded. On others none
	// does: callers rest for half the time that instances leave connections open.
	crossMost = 2 * time.Second
)

// Run plays the schedule of a seed and judges it.
func Run(o Options) (Report, error) {
	report := Report{Seed: o.Seed}
	site, err := NewSite(o.Programs, o.Size, o.Dir)
	if err != nil {
		return report, err
	}
	defer site.Close()
	r := &run{options: o, site: site}
	if !r.allReady() {
		return report, fmt.Errorf("not ready within %s, logs in %s", calmPatience, o.Dir)
	}
	r.callers = StartCallers(site, o.Seed, o.Callers)
	plan := o.Plan
	if plan == nil {
		plan = Draw(o.Seed, o.Size)
	}
	played, kept := make(chan struct{}), sync.WaitGroup{}
	kept.Go(func() { r.keepWorkers(played) })
	r.play(plan)
	close(played)
	kept.Wait()
	r.calm()
	// Callers go on while the instances end.
	r.stop()
	r.callers.Stop()
	time.Sleep(settleTime)
	site.Close()
	return r.judge(report, len(plan)), nil
}

type run struct {
	options Options
	site    *Site
	callers *Callers
	faults  sync.WaitGroup
	mu      sync.Mutex
	broken  []string
	// leavesFrom is when all faults were over and endpoints began to leave.
	leavesFrom time.Time
}

func (r *run) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// play injects the faults at their times and waits until all have ended.
func (r *run) play(plan []Fault) {
	began := time.Now()
	for _, f := range plan {
		time.Sleep(time.Until(began.Add(f.At)))
		slog.Info("fault", "fault", f.String())
		r.faults.Go(func() { r.inject(f) })
	}
	r.faults.Wait()
}

func (r *run) inject(f Fault) {
	s := r.site
	switch f.Action {
	case NodeTerm, NodeKill:
		r.restartNode(s.nodes[f.Target], f)
	case AllKill:
		var all sync.WaitGroup
		for _, n := range s.nodes {
			all.Go(func() { r.restartNode(n, Fault{Action: NodeKill, For: f.For}) })
		}
		all.Wait()
	case NodeStandstill:
		// One that ends as planned would not get to its end within the grace.
		if !s.nodes[f.Target].ending() {
			r.pauseNode(s.nodes[f.Target], f)
		}
	case NodePause:
		r.pauseNode(s.nodes[f.Target], f)
	case NodeHangup:
		s.nodes[f.Target].signal(syscall.SIGHUP)
	case WorkerTerm, WorkerKill, WorkerPause, WorkerReborn:
		r.disturbWorker(s.workers[f.Target], f)
	case WorkerLimit:
		s.workers[f.Target].signal(LimitSignal)
	case StoreRefusing, StoreLosing, StoreSilent:
		s.tellStore("mode/" + string(f.Action))
		time.Sleep(f.For)
		s.tellStore("mode/up")
	case StoreForget:
		s.tellStore("forget")
	case StoreCopied:
		s.tellStore("copied")
		r.rewrite()
	case ForeignEntry:
		s.spoilEntries(f.Target)
	case CrashingRequest:
		r.repeatCrashing(f)
	case Reconfigure:
		r.reconfigure()
	default:
		r.disturbLink(f)
	}
}

func (r *run) pauseNode(n *node, f Fault) {
	from := time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(f.For)
	r.site.excuse(n)
	n.signal(syscall.SIGCONT)
	r.site.disturb(n, from, f.Action)
}

// restartNode ends an instance, and starts it again later.
func (r *run) restartNode(n *node, f Fault) {
	signal := syscall.SIGKILL
	if f.Action == NodeTerm {
		signal = syscall.SIGTERM
	}
	// A process that is paused takes a signal only when it goes on.
	n.signal(syscall.SIGCONT)
	from := time.Now()
	if !n.end(signal, graceTime) {
		from, f.Action = time.Now().Add(-settleTime), NodeKill
		r.late(n)
	}
	time.Sleep(f.For)
	if f.Action == NodeKill {
		r.site.disturb(n, from, f.Action)
	}
	if err := n.start(); err != nil {
		r.add("not started: %s: %v", n.name, err)
	}
}

func (r *run) disturbWorker(w *worker, f Fault) {
	switch f.Action {
	case WorkerPause:
		w.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		w.signal(syscall.SIGCONT)
		return
	case WorkerTerm:
		w.signal(syscall.SIGCONT)
		w.end(syscall.SIGTERM, 2*DrainTime)
	default:
		w.end(syscall.SIGKILL, time.Second)
	}
	time.Sleep(f.For)
	if err := r.site.startAgain(r.options.Programs.StandIns, w, f.Action == WorkerReborn); err != nil {
		r.add("not started: %s: %v", w.name, err)
	}
}

func (r *run) disturbLink(f Fault) {
	var proxy *Proxy
	switch f.Link {
	case LinkStore:
		proxy = r.site.nodes[f.Target].toStore
	case LinkCallers:
		proxy = r.site.nodes[f.Target].fromCallers
	default:
		proxy = r.site.workers[f.Target].proxy
	}
	if f.Link == LinkCallers {
		from := time.Now()
		defer func() { r.site.disturb(r.site.nodes[f.Target], from, f.Action) }()
	}
	if f.Action == LinkMute {
		proxy.Mute()
		return
	}
	proxy.Set(f.Action)
	time.Sleep(f.For)
	if f.Link == LinkWorker {
		// What was held up on the way to an endpoint arrives now.
		for _, n := range r.site.nodes {
			r.site.excuse(n)
		}
	}
	proxy.Set("")
}

// reconfigure moves a route, or moves it back.
func (r *run) reconfigure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.site.moved = !r.site.moved
	if err := r.site.configure(); err != nil {
		r.broken = append(r.broken, "configuration not written: "+err.Error())
	}
}

// rewrite writes the configuration again that the store may have lost.
func (r *run) rewrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.site.write(); err != nil {
		r.broken = append(r.broken, "configuration not written again: "+err.Error())
	}
}

// eventually tells whether a condition comes true within calmPatience.
func eventually(condition func() bool) bool {
	for end := time.Now().Add(calmPatience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

var readyClient = &http.Client{Timeout: time.Second}

func (n *node) isReady() bool {
	resp, err := readyClient.Get("http://" + n.ready + fake.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *run) allReady() bool {
	for _, n := range r.site.nodes {
		if !eventually(n.isReady) {
			return false
		}
	}
	return true
}

// calm checks, with all faults over, that all instances serve again by the newest
// configuration, and that they stop to use an endpoint that leaves.
func (r *run) calm() {
	if !r.allReady() {
		r.add("not ready again within %s", calmPatience)
		return
	}
	r.reconfigure()
	for i := range r.site.nodes {
		r.servesAgain(i)
	}
	if !r.options.SkipTimingChecks {
		r.leaves()
	}
}

// servesAgain checks that an instance serves each kind, the moved route included.
func (r *run) servesAgain(i int) {
	now, then := kindSafe, kindMoved
	if r.site.moved {
		now, then = then, now
	}
	for _, k := range []Kind{now, kindUnsafe, kindStream, kindResumable} {
		if !eventually(func() bool { return r.served(i, k) >= calmTries*8/10 }) {
			r.add("not served again: %s at instance %d", k.Path, i)
		}
	}
	if a := r.callers.Ask(i, then); a.Status != http.StatusNotFound {
		r.add("an old route at instance %d: %s gives %d", i, then.Path, a.Status)
	}
}

// served is how many of calmTries requests come back whole.
func (r *run) served(i int, k Kind) int {
	n := 0
	for range calmTries {
		if a := r.callers.Ask(i, k); a.Status == http.StatusOK && a.Failure == "" {
			n++
		}
	}
	return n
}

// Times of a store outage in the end phase.
const (
	// outageRounds is how many outages have endpoints that leave behind them.
	outageRounds = 3
	// silenceLeast is longer than EntryLapse, so that all entries lapse.
	silenceLeast = 2500 * time.Millisecond
	silenceMost  = 4500 * time.Millisecond
	// contactTime is when an instance counts as in contact with a store that is back;
	// endpoints leave up to contactJitter behind that.
	contactTime   = 3 * time.Second
	contactJitter = 200 * time.Millisecond
)

// leaves lets plain endpoints leave, first with the store at rest, then right behind
// outages of the store, both by saying so and by their entries going at once. The
// judge looks at the records.
func (r *run) leaves() {
	r.leavesFrom = time.Now()
	random := rand.New(rand.NewPCG(r.options.Seed, 1))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Float64()*float64(most-least))
	}
	says, goes := r.site.workers[r.site.size.Engines], r.site.workers[r.site.size.Engines+1]
	r.leave(says, syscall.SIGTERM)
	for range outageRounds {
		silence, contact := between(silenceLeast, silenceMost), between(contactTime, contactTime+contactJitter)
		slog.Info("outage", "silence", silence, "contact", contact)
		r.site.tellStore("mode/" + string(StoreSilent))
		time.Sleep(silence)
		r.site.tellStore("mode/up")
		time.Sleep(contact)
		var both sync.WaitGroup
		both.Go(func() { r.leave(says, syscall.SIGTERM) })
		both.Go(func() { r.leave(goes, RemoveEntrySignal) })
		both.Wait()
	}
}

// leave lets an endpoint leave by a signal. Once it has ended, its next incarnation is
// waited for until it is in use.
func (r *run) leave(w *worker, how syscall.Signal) {
	slog.Info("leave", "worker", w.id(), "how", how.String())
	w.signal(how)
	time.Sleep(DrainTime)
	if !r.site.happened(w.id(), HappenedLeft) {
		r.add("leave not acknowledged: %s", w.id())
	}
	w.end(syscall.SIGTERM, DrainTime)
	if err := r.site.startWorker(r.options.Programs.StandIns, w); err != nil {
		r.add("not started: %s: %v", w.name, err)
		return
	}
	if !eventually(func() bool { return r.site.happened(w.id(), fake.EventRun) }) {
		r.add("not used again: %s", w.id())
	}
}

// stop ends all instances as planned: each must end in time, by itself.
func (r *run) stop() {
	var all sync.WaitGroup
	for _, n := range r.site.nodes {
		all.Go(func() {
			if !n.end(syscall.SIGTERM, graceTime) {
				r.late(n)
			}
		})
	}
	all.Wait()
}

// late notes an instance that had to be killed at the end of its grace.
func (r *run) late(n *node) {
	if !r.options.SkipTimingChecks {
		r.add("not ended within the grace: %s", n.name)
	}
}

func (r *run) judge(report Report, faults int) Report {
	for _, n := range r.site.nodes {
		if crashes := n.crashed(); crashes > 0 {
			r.add("ended by itself %d times: %s", crashes, n.name)
		}
	}
	answers := r.callers.Answers()
	rules := Rules{
		Known: knownTime, InTouch: r.site.inTouch, LimitWindow: limitWindow,
		OrderLease: orderLease, Excused: r.site.excusedOrder, LeaveBound: settingsTime + loadMargin, LeavesFrom: r.leavesFrom,
		Disturbed: r.site.disturbed, Patient: true,
	}
	if r.options.SkipTimingChecks {
		rules.OrderLease, rules.Known, rules.Crossing, rules.Patient = 0, 0, crossMost, false
		rules.LimitWindow = 0
	}
	report.Violations = append(r.broken, Check(answers, r.site.records, rules)...)
	report.Faults, report.Requests = faults, len(answers)
	for _, a := range answers {
		if a.Status == http.StatusOK && a.Failure == "" {
			report.Served++
		}
	}
	return report
}
