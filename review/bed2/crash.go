package main

import (
	"fmt"
	"strconv"
	"sync"
	"time"
)

// modelNames returns the names of models.
func modelNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, "m"+strconv.Itoa(i))
	}
	return names
}

// busyRuns is how many streams run at the worker that crashes.
const busyRuns = 16

// versionCrash lets one model worker crash while workers of two software versions serve. It is the only one of its
// version that holds a busy model; two others of its version serve, with the memory full of other models.
func versionCrash(b *bed) []string {
	const nodes, callers, pieces, perModel = 9, 36, 45, 3
	b.addNodes(nodes)
	for _, n := range b.nodes {
		n.start()
	}
	time.Sleep(2 * time.Second)
	held := [][]string{{"m0", "m1", "m2"}, {"m3", "m4", "m5"}, {"m6", "m7", "m8"}, {"m0", "m9", "m10"}, {"m11", "m12", "m13"}, {"m14", "m15", "m16"}}
	names := modelNames(17)
	configureModels(b.store, 1, names)
	for i, models := range held {
		w := newWorker(b.rec, b.store, fmt.Sprintf("i-%d", i), "z"+strconv.Itoa(1+i%3), service)
		b.workers = append(b.workers, w)
		w.start(fmt.Sprintf("v%d", 1+i/3), models...)
	}
	awaitReady(b.nodes)
	go b.probe()
	time.Sleep(6 * time.Second)
	var mu sync.Mutex
	var clients []patient
	var busy sync.WaitGroup
	end := time.Now().Add(16 * time.Second)
	for _, name := range names[1:] {
		for range perModel {
			busy.Go(func() {
				for time.Now().Before(end) {
					header := map[string]string{"X-Model": name, "X-Token-Count": "800,22", "X-Prompt-Prefix": "5c1e07a2:340," + newID()[:8] + ":460"}
					do(b.pick(), call{method: "POST", path: "/fingering/2f", header: header, body: "annotations", timeout: 5 * time.Second}, func(string) {})
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	for i := range callers {
		busy.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Second / callers)
			for time.Now().Before(end) {
				p := b.patientStream(pieces)
				mu.Lock()
				clients = append(clients, p)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if b.trouble {
		// It crashes while it is busy.
		for range 300 {
			if b.workers[0].runs() >= busyRuns {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		b.workers[0].crash()
	}
	busy.Wait()
	return b.checkTakenUp(clients)
}
