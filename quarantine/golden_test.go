package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestTrackerGolden runs the sessions in testdata/tracker, in which trackers have names. Times
// are in seconds.
//
//	terminated on=TRACKER at=S request=N endpoint=N
//	succeeded on=TRACKER at=S request=N
//	report on=TRACKER at=S to=TRACKER [late=S]
//	show on=TRACKER at=S request=N
func TestTrackerGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/tracker", func(t *testing.T, path string) {
		trackers := map[string]*Tracker{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := session{t: t, d: d, trackers: trackers}
			return s.run()
		})
	})
}

// session is one command of a session.
type session struct {
	t        *testing.T
	d        *datadriven.TestData
	trackers map[string]*Tracker
}

func (s session) text(key string) (value string) {
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s session) number(key string) (value int) {
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s session) tracker(key string) *Tracker {
	name := s.text(key)
	if s.trackers[name] == nil {
		s.trackers[name] = NewTracker(limits)
	}
	return s.trackers[name]
}

func (s session) run() string {
	l, now := s.tracker("on"), at(float64(s.number("at")))
	switch s.d.Cmd {
	case "terminated":
		return fmt.Sprintf("terminations=%d\n", l.RecordTermination(now, request(s.number("request")), uint64(s.number("endpoint")), 1))
	case "succeeded":
		return fmt.Sprintf("cleared=%t\n", l.RecordSuccess(now, request(s.number("request")), 1))
	case "report":
		return s.report(l, now)
	case "show":
		f := request(s.number("request"))
		return fmt.Sprintf("terminations=%d held=%s one_at_a_time=%t\n", l.TerminationCount(now, f), l.HoldRemaining(now, f).Round(time.Second), l.OneAtATime(now, f))
	default:
		s.d.Fatalf(s.t, "unknown command %s", s.d.Cmd)
		return ""
	}
}

// report delivers the reports of one tracker to another, late by the given number of seconds.
func (s session) report(l *Tracker, now time.Time) string {
	to := s.tracker("to")
	l.ReceiveDigest(now, to.Digest(now))
	arrives := now
	if s.d.HasArg("late") {
		arrives = now.Add(time.Duration(s.number("late")) * time.Second)
	}
	var b strings.Builder
	for _, r := range l.PendingReports(now, 10_000) {
		require.True(s.t, to.ReceiveReport(arrives, r, 1))
		fmt.Fprintf(&b, "endpoints=%v ages_ms=%v served_ms=%d\n", r.Incarnations, r.AgesMS, r.ServedMS)
	}
	fmt.Fprintf(&b, "same=%t\n", l.Digest(now) == to.Digest(now))
	return b.String()
}
