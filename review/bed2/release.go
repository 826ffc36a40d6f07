package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client is one client of resumable streams, over all tries.
type client struct {
	attempts []attempt
	// events are the events that it got, in order; whole is set if the stream ended as complete.
	events []string
	whole  bool
}

// stream asks for a stream and takes it up as a client may.
func (b *bed) stream(n *node, pieces int) *client {
	c, began := &client{}, ""
	for try := range 2 {
		header := map[string]string{"X-Model": model, "X-Token-Count": fmt.Sprintf("800,%d", 2*pieces), "X-Prompt-Prefix": "5c1e07a2:340,91bd3f06:227," + newID()[:8] + ":233"}
		if len(c.events) > 0 {
			header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(len(c.events)-1), began
		}
		first := len(c.events) == 0
		a := do(n, call{method: "POST", path: "/bowing/2f", header: header, body: "annotations", timeout: 15 * time.Second}, func(e string) { c.events = append(c.events, e) })
		if first && len(c.events) > 0 {
			began = a.ID
		}
		c.attempts = append(c.attempts, a)
		b.rec.printf("%s: try %d %s: status %d, %d events so far, end %v", n.name, try, a.ID, a.Status, len(c.events), a.Err)
		if c.whole = a.Err == nil && a.Status == 200; c.whole {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return c
}

// versionsOf returns the software versions that wrote the events of a client's stream.
func versionsOf(c *client) []string {
	var versions []string
	for _, e := range c.events {
		_, data, _ := strings.Cut(e, "data: ")
		version, _, _ := strings.Cut(data, " ")
		if !slices.Contains(versions, version) {
			versions = append(versions, version)
		}
	}
	return versions
}

// inPlaceRelease lets model workers crash one after the other; each starts again at once under its id, with
// the next version of its software. The store is sound: its stale answers are staleBy old.
func inPlaceRelease(b *bed) []string {
	const (
		nodes            = 9
		workers, crashes = 6, 5
		perNode          = 3
		pieces           = 40
	)
	b.store.staleBy = 4 * time.Second
	configure(b.store, 1)
	for i := range workers {
		w := newWorker(b.rec, b.store, fmt.Sprintf("i-%d", i), "z"+strconv.Itoa(1+i%3), service)
		b.workers = append(b.workers, w)
		w.start("v1", model)
	}
	b.addNodes(nodes)
	for _, n := range b.nodes {
		n.start()
	}
	awaitReady(b.nodes)
	time.Sleep(12 * time.Second)
	var mu sync.Mutex
	var clients []*client
	var busy sync.WaitGroup
	end := time.Now().Add(24 * time.Second)
	for _, n := range b.nodes {
		for range perNode {
			busy.Go(func() {
				for time.Now().Before(end) {
					c := b.stream(n, pieces)
					mu.Lock()
					clients = append(clients, c)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	for i, w := range b.workers[:crashes] {
		if !b.trouble {
			break
		}
		if i > 0 {
			time.Sleep(2800 * time.Millisecond)
		}
		w.crash()
		time.Sleep(200 * time.Millisecond)
		w.start("v2")
	}
	busy.Wait()
	served, mixed := 0, []string{}
	for _, c := range clients {
		if c.whole {
			served++
		}
		if v := versionsOf(c); len(v) > 1 {
			mixed = append(mixed, fmt.Sprintf("the stream of attempt %s by %s holds events of %s", c.attempts[0].ID, c.attempts[0].Node, strings.Join(v, " and ")))
		}
	}
	b.rec.printf("%d streams, %d whole, %d with events of two versions", len(clients), served, len(mixed))
	fmt.Printf("%d streams, %d whole, %d with events of two versions\n", len(clients), served, len(mixed))
	if served < len(clients)/2 {
		unusable("too few streams are served")
	}
	if len(mixed) <= 2 {
		return nil
	}
	return mixed
}
