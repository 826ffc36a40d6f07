package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// crashPart is the part of a prompt on which workers crash, crashedFor how long they are away then.
const (
	crashPart  = "bad0bad0"
	crashedFor = 3 * time.Second
)

// soundTry is the first attempt of a sound request.
type soundTry struct {
	sent           time.Time
	inTouch, began bool
}

// crashes counts the crashes of workers and tells when the fifth was.
type crashes struct {
	mu    sync.Mutex
	times []time.Time
}

func (c *crashes) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.times = append(c.times, time.Now())
}

// lastOfFirst returns when the fifth crash was, or the last if there are fewer.
func (c *crashes) lastOfFirst() (at time.Time, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.times) == 0 {
		return time.Time{}, 0
	}
	return c.times[min(len(c.times), 5)-1], len(c.times)
}

// crashingPart sends requests with a part of a prompt that crashes each worker which begins to write an answer on
// it, beside sound ones that share the first part.
func crashingPart(b *bed) []string {
	const nodes, workers, callers, every = 9, 6, 24, 400 * time.Millisecond
	b.addNodes(nodes)
	for _, n := range b.nodes {
		n.start()
	}
	time.Sleep(2 * time.Second)
	configure(b.store, 1)
	seen := &crashes{}
	for i := range workers {
		w := newWorker(b.rec, b.store, fmt.Sprintf("i-%d", i), "z"+strconv.Itoa(1+i%3), service)
		w.onCrash = seen.add
		b.workers = append(b.workers, w)
		w.start("v1", model)
	}
	awaitReady(b.nodes)
	go b.probe()
	time.Sleep(8 * time.Second)
	var mu sync.Mutex
	var tries []soundTry
	var busy sync.WaitGroup
	end := time.Now().Add(36 * time.Second)
	prompt := func(part string) map[string]string {
		return map[string]string{"X-Model": model, "X-Token-Count": "800,22", "X-Prompt-Prefix": "5c1e07a2:340," + part + ":227," + newID()[:8] + ":233"}
	}
	for range callers {
		busy.Go(func() {
			for time.Now().Before(end) {
				n, events := b.pick(), 0
				since := n.since()
				a := do(n, call{method: "POST", path: "/fingering/2f", header: prompt("91bd3f06"), body: newID(), timeout: 5 * time.Second}, func(string) { events++ })
				b.rec.printf("sound %s at %s: status %d, %d events, end %v %s", a.ID, n.name, a.Status, events, a.Err, a.Body)
				mu.Lock()
				tries = append(tries, soundTry{sent: a.Sent, inTouch: a.Sent.Sub(since) >= contact, began: events > 0})
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	time.Sleep(10 * time.Second)
	began := time.Now()
	if b.trouble {
		busy.Go(func() {
			for i := 0; time.Now().Before(end.Add(-time.Second)); i++ {
				busy.Go(func() {
					a := do(b.nodes[i%nodes], call{method: "POST", path: "/fingering/2f", header: prompt(crashPart), body: newID(), timeout: 5 * time.Second}, func(string) {})
					b.rec.printf("crashing %s: status %d, end %v %s", a.ID, a.Status, a.Err, a.Body)
				})
				time.Sleep(every)
			}
		})
	}
	busy.Wait()
	return checkSound(b, tries, began, seen)
}

// checkSound checks LOST: from twice contactMs after the fifth crash, sound requests of the route with the same
// first part begin at the first attempt at least half as often as before.
func checkSound(b *bed, tries []soundTry, began time.Time, seen *crashes) []string {
	var before, beganBefore, after, beganAfter int
	fifth, count := seen.lastOfFirst()
	for _, t := range tries {
		switch {
		case !t.inTouch:
		case t.sent.Before(began.Add(-time.Second)):
			before++
			if t.began {
				beganBefore++
			}
		case count > 0 && t.sent.After(fifth.Add(2*contact)):
			after++
			if t.began {
				beganAfter++
			}
		}
	}
	text := fmt.Sprintf("%d crashes; before them %d of %d sound requests began, from %s after the fifth on %d of %d", count, beganBefore, before, 2*contact, beganAfter, after)
	b.rec.printf("%s", text)
	fmt.Println(text)
	if before < 20 || beganBefore < before/2 {
		unusable("too few requests are served")
	}
	if after < 20 || 2*beganAfter*before >= beganBefore*after {
		return nil
	}
	return []string{text}
}
