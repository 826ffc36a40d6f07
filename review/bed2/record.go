package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// run is the start of a request at a worker.
type run struct {
	Attempt, Worker, Version, Service, After string
	At                                       time.Time
}

// orderAt is an order that has reached a worker.
type orderAt struct {
	Holder string
	Fence  int64
	At     time.Time
}

// recorder writes record.txt, and keeps what the check needs.
type recorder struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	runs   []run
	orders map[string][]orderAt
}

func newRecorder(dir string) *recorder {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		unusable(err.Error())
	}
	return &recorder{began: time.Now(), file: f, orders: map[string][]orderAt{}}
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) run(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, x)
	fmt.Fprintf(r.file, "%8.3f s  %s (%s, %s) runs %s after %q\n", time.Since(r.began).Seconds(), x.Worker, x.Service, x.Version, x.Attempt, x.After)
}

func (r *recorder) order(worker, holder string, fence int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders[worker] = append(r.orders[worker], orderAt{holder, fence, time.Now()})
}
