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
	// logQueueLines bounds the queue of lines to write; when full, the oldest are dropped.
	logQueueLines = 4096
	// logRate bounds the lines per second, logBurst the size of a burst. With two lines
	// per request, logRate suffices for 500 requests per second.
	logRate  = 1000
	logBurst = 4000
	// logFlushTimeout bounds how long Close waits for the remaining lines.
	logFlushTimeout = 200 * time.Millisecond
)

// LogWriter writes lines from a goroutine of its own, so that a slow reader of the log
// never blocks the code that logs. It bounds the lines per second and counts those that it
// drops.
type LogWriter struct {
	out       io.Writer
	lines     *ring.Ring[[]byte]
	limiter   *rate.Limiter
	discarded expvar.Int
	done      chan struct{}
}

// NewLogWriter returns a LogWriter that writes to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out: out, lines: ring.New[[]byte](logQueueLines, ring.DropOldest), limiter: rate.NewLimiter(logRate, logBurst), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It never fails and never blocks.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.discarded.Add(1)
		return len(line), nil
	}
	// A full ring drops its oldest line instead of failing; after Close the line is lost.
	_ = w.lines.Put(context.Background(), bytes.Clone(line))
	return len(line), nil
}

// Dropped returns how many lines were not written.
func (w *LogWriter) Dropped() int64 { return w.discarded.Value() + w.lines.Dropped() }

// Close writes the queued lines, for at most logFlushTimeout.
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
			// The log itself cannot report the error; only the counter can.
			w.discarded.Add(1)
		}
	}
}
