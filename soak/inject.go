package soak

import (
	"log/slog"
	"sync"
	"syscall"
	"time"
)

// inject injects the faults at their times and waits until all have ended.
func (r *run) inject(schedule []Fault) {
	start := time.Now()
	for _, f := range schedule {
		time.Sleep(time.Until(start.Add(f.At)))
		slog.Info("fault", "fault", f.String())
		r.faults.Go(func() { r.injectFault(f) })
	}
	r.faults.Wait()
}

func (r *run) injectFault(f Fault) {
	t := r.testbed
	switch f.Action {
	case NodeTerm, NodeKill, NodeStopSeries:
		r.restartNode(t.nodes[f.Target], f)
	case AllKill:
		var all sync.WaitGroup
		for _, n := range t.nodes {
			all.Go(func() { r.restartNode(n, Fault{Action: NodeKill, For: f.For}) })
		}
		all.Wait()
	case NodeStandstill:
		// An instance that is paused during a planned stop exceeds its grace period.
		if !t.nodes[f.Target].stopping() {
			r.pauseNode(t.nodes[f.Target], f)
		}
	case NodePause:
		r.pauseNode(t.nodes[f.Target], f)
	case NodeHangup:
		t.nodes[f.Target].signal(syscall.SIGHUP)
	case WorkerTerm, WorkerKill, WorkerPause, WorkerRestart:
		r.injectWorkerFault(t.workers[f.Target], f)
	case WorkerLimit:
		t.workers[f.Target].signal(LimitSignal)
	case StoreRefusing, StoreLosing, StoreSilent:
		t.controlStore("mode/" + string(f.Action))
		time.Sleep(f.For)
		t.controlStore("mode/up")
	case StoreForget:
		t.controlStore("forget")
	case StoreCopied:
		t.controlStore("copied")
		r.rewriteConfiguration()
	case ForeignEntry:
		t.writeForeignEntries(f.Target)
	case CrashingRequest:
		r.resendCrashing(f)
	case CrashingPart:
		r.shareCrashing(f)
	case CallerSurge:
		r.surge(f)
	case Reconfigure:
		r.moveRoute()
	default:
		r.injectLinkFault(f)
	}
}

func (r *run) pauseNode(n *node, f Fault) {
	from := time.Now()
	n.signal(syscall.SIGSTOP)
	time.Sleep(f.For)
	r.testbed.excuseOrders(n)
	n.signal(syscall.SIGCONT)
	r.testbed.addDisturbance(n, from, f.Action)
}

// restartNode stops an instance and starts it again after the duration of the fault.
func (r *run) restartNode(n *node, f Fault) {
	signal := syscall.SIGKILL
	if f.Action != NodeKill {
		signal = syscall.SIGTERM
	}
	if f.Action == NodeStopSeries {
		go n.signalUntilExit(signalInterval, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT)
	}
	// A paused process handles a signal only after it resumes.
	n.signal(syscall.SIGCONT)
	from := time.Now()
	if !n.stop(signal, stopGrace) {
		from, f.Action = time.Now().Add(-settleTime), NodeKill
		r.addSlowStop(n)
	}
	time.Sleep(f.For)
	if f.Action == NodeKill {
		r.testbed.addDisturbance(n, from, f.Action)
	}
	if err := n.start(); err != nil {
		r.addViolation("not started: %s: %v", n.name, err)
	}
}

func (r *run) injectWorkerFault(w *worker, f Fault) {
	switch f.Action {
	case WorkerPause:
		w.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		w.signal(syscall.SIGCONT)
		return
	case WorkerTerm:
		w.signal(syscall.SIGCONT)
		w.stop(syscall.SIGTERM, 2*DrainTime)
	default:
		w.stop(syscall.SIGKILL, time.Second)
	}
	time.Sleep(f.For)
	if err := r.testbed.startIncarnation(r.options.Programs.StandIns, w, f.Action == WorkerRestart); err != nil {
		r.addViolation("not started: %s: %v", w.name, err)
	}
}

func (r *run) injectLinkFault(f Fault) {
	var proxy *Proxy
	switch f.Link {
	case LinkStore:
		proxy = r.testbed.nodes[f.Target].toStore
	case LinkCallers:
		proxy = r.testbed.nodes[f.Target].fromCallers
	default:
		proxy = r.testbed.workers[f.Target].proxy
	}
	if f.Link == LinkCallers {
		from := time.Now()
		defer func() { r.testbed.addDisturbance(r.testbed.nodes[f.Target], from, f.Action) }()
	}
	if f.Action == LinkMute {
		proxy.Mute()
		return
	}
	proxy.Set(f.Action)
	time.Sleep(f.For)
	if f.Link == LinkWorker {
		// Orders that were delayed on the way to an endpoint arrive now.
		for _, n := range r.testbed.nodes {
			r.testbed.excuseOrders(n)
		}
	}
	proxy.Set("")
}

// moveRoute writes a new configuration in which a route is moved, or moved back.
func (r *run) moveRoute() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.testbed.routeMoved = !r.testbed.routeMoved
	if err := r.testbed.configure(); err != nil {
		r.violations = append(r.violations, "configuration not written: "+err.Error())
	}
}

// rewriteConfiguration writes the current configuration again, as the store may have
// lost it.
func (r *run) rewriteConfiguration() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.testbed.write(); err != nil {
		r.violations = append(r.violations, "configuration not written again: "+err.Error())
	}
}
