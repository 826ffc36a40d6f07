package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Bounds of sites/rcgm-liege.toml and of its resumable kind of request.
const (
	contact   = 3 * time.Second
	timeLimit = 15 * time.Second
	// maxTries is how often a client takes a broken stream up.
	maxTries = 5
)

// tried is a try at a stream that a machine in touch has taken.
type tried struct {
	inTouch, began bool
}

// patient is a client that begins a stream and, if it breaks, takes it up as it is told: after Retry-After,
// up to a third of the time that it has left, and after a second where no channel comes up.
type patient struct {
	first   tried
	takeUps []tried
	broken  bool
}

func (b *bed) patientStream(pieces int) patient {
	var p patient
	var events []string
	began, end, n := "", time.Now().Add(timeLimit), b.pick()
	prompt := "5c1e07a2:340,91bd3f06:227," + newID()[:8] + ":233"
	for try := 0; try <= maxTries && time.Now().Before(end); try++ {
		header := map[string]string{"X-Model": model, "X-Token-Count": fmt.Sprintf("800,%d", 2*pieces), "X-Prompt-Prefix": prompt}
		if try > 0 {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(len(events)-1), began
		}
		had, since := len(events), n.since()
		a := do(n, call{method: "POST", path: "/bowing/2f", header: header, body: "annotations", timeout: time.Until(end)}, func(e string) { events = append(events, e) })
		t := tried{inTouch: a.Sent.Sub(since) >= contact && n.since().Equal(since), began: len(events) > had}
		b.rec.printf("%s: try %d %s: status %d, %d events so far, in touch %t, end %v %s", n.name, try, a.ID, a.Status, len(events), t.inTouch, a.Err, a.Body)
		if try == 0 {
			p.first, began = t, a.ID
		} else {
			p.takeUps = append(p.takeUps, t)
		}
		if a.Err == nil && a.Status == 200 || len(events) == 0 {
			return p
		}
		p.broken = true
		pause := time.Second
		if seconds, err := strconv.ParseFloat(a.Retry, 64); err == nil {
			pause = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(min(pause, time.Until(end)/3))
		if a.Status == 0 {
			// No channel came up, so that the machine has read nothing.
			try--
		}
		n = b.pick()
	}
	return p
}

// pick returns an instance as the platform does, which gives new channels to those that are ready, and to
// all if none is.
func (b *bed) pick() *node {
	var ready []*node
	for _, n := range b.nodes {
		if n.in.Load() {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		ready = b.nodes
	}
	return ready[rand.IntN(len(ready))]
}

// allKilled kills the processes of all instances while workers of two software versions serve.
func allKilled(b *bed) []string {
	const nodes, workers, callers, pieces = 9, 6, 27, 45
	b.addNodes(nodes)
	for _, n := range b.nodes {
		n.start()
	}
	time.Sleep(2 * time.Second)
	configure(b.store, 1)
	for i := range workers {
		w := newWorker(b.rec, b.store, fmt.Sprintf("i-%d", i), "z"+strconv.Itoa(1+i/2), service)
		b.workers = append(b.workers, w)
		w.start(fmt.Sprintf("v%d", 1+i%2), model)
	}
	awaitReady(b.nodes)
	go b.probe()
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	var clients []patient
	var busy sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	for range callers {
		busy.Go(func() {
			for time.Now().Before(end) {
				p := b.patientStream(pieces)
				mu.Lock()
				clients = append(clients, p)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		b.rec.printf("all instances are killed")
		for _, n := range b.nodes {
			n.kill()
		}
		time.Sleep(1100 * time.Millisecond)
		for _, n := range b.nodes {
			n.start()
		}
		b.rec.printf("all instances are started again")
	}
	busy.Wait()
	return b.checkTakenUp(clients)
}

// checkTakenUp checks LOST: of 12 or more streams that clients take up again at machines in touch, the share
// that goes on is not under half of the share of new streams that begin.
func (b *bed) checkTakenUp(clients []patient) []string {
	var began, firsts, wentOn, takenUp, broken int
	for _, p := range clients {
		if p.broken {
			broken++
		}
		if p.first.inTouch {
			firsts++
			if p.first.began {
				began++
			}
		}
		counted, goesOn := false, false
		for _, t := range p.takeUps {
			counted = counted || t.inTouch
			goesOn = goesOn || t.inTouch && t.began
		}
		if counted {
			takenUp++
		}
		if goesOn {
			wentOn++
		}
	}
	text := fmt.Sprintf("at machines in touch %d of %d new streams began, %d of %d streams that were taken up went on; %d streams were broken", began, firsts, wentOn, takenUp, broken)
	b.rec.printf("%s", text)
	fmt.Println(text)
	if firsts < 20 || began < firsts/2 {
		unusable("too few streams are served")
	}
	if takenUp < 12 || 2*wentOn*firsts >= began*takenUp {
		return nil
	}
	return []string{text}
}
