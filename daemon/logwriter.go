package daemon

import (
	"bytes"
	"context"
	"errors"
	"expvar"
	"io"
	"time"

	"golang.org/x/time/rate"

	"github.com/eiderspring/eiderspring/ring"
)

const (
	// logLines bounds the lines that wait to be written; the oldest go first.
	logQueueLines = 4096
	// logRate bounds the lines a second, logBurst how many may come at once.
	// Two lines a request leave room for 500 requests a second.
	logRate  = 1000
	logBurst = 4000
	// logFlush bounds the wait for the last lines at the end.
	logFlushTimeout = 200 * time.Millisecond
)

// LogWriter writes lines from a goroutine of its own, so that whoever logs is
// never held up by who reads. It bounds the lines a second; what is dropped is
// counted.
type LogWriter struct {
	out       io.Writer
	lines     *ring.Ring[[]byte]
	limiter   *rate.Limiter
	discarded expvar.Int
	done      chan struct{}
}

// NewLogWriter returns a writer in front of out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out: out, lines: ring.New[[]byte](logQueueLines, ring.DropOldest), limiter: rate.NewLimiter(logRate, logBurst), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line. It never fails and never waits.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.discarded.Add(1)
		return len(line), nil
	}
	// The ring drops rather than fails; after Close there is nobody to tell.
	_ = w.lines.Put(context.Background(), bytes.Clone(line))
	return len(line), nil
}

// Dropped is how many lines were not written.
func (w *LogWriter) Dropped() int64 { return w.discarded.Value() + w.lines.Dropped() }

// Close writes what is left, as long as the reader takes it.
func (w *LogWriter) Close() {
	w.lines.Close()
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
	}
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		line, err := w.lines.Take(context.Background())
		if errors.Is(err, ring.ErrClosed) {
			return
		}
		if _, err := w.out.Write(line); err != nil {
			// Nowhere is left to say so but the count.
			w.discarded.Add(1)
		}
	}
}
