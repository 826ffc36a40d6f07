// Package signals owns the signals of a process that serves. A signal whose default action ends the
// process would cut the requests that it has accepted, so that no such signal keeps or regains its
// default action between Own and the exit of the process:
//
//   - SIGTERM and SIGINT request a planned stop. Further ones change nothing.
//   - SIGHUP requests a reload of the configuration, while the process stops as well.
//   - SIGPIPE is ignored: a write to a pipe without a reader, such as the log's, fails instead.
//
// SIGQUIT keeps the action of the Go runtime: it ends the process with the stacks of all goroutines.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of this process.
type Signals struct {
	stopping context.Context
	hangups  chan os.Signal
}

// Own takes the signals over for the rest of the process. It is called once, before the process sets
// anything up.
func Own(ctx context.Context) *Signals {
	signal.Ignore(syscall.SIGPIPE)
	// Releasing the signals would restore their default actions.
	stopping, _ := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	s := &Signals{stopping: stopping, hangups: make(chan os.Signal, 1)}
	signal.Notify(s.hangups, syscall.SIGHUP)
	return s
}

// Stopping returns a context that ends when a planned stop is requested.
func (s *Signals) Stopping() context.Context { return s.stopping }

// OnHangup calls reload for each hangup until the process exits, one call at a time. Hangups since Own
// count, and those that arrive during a call are followed by one more.
func (s *Signals) OnHangup(reload func()) {
	go func() {
		for range s.hangups {
			reload()
		}
	}()
}
