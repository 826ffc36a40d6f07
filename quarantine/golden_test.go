package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestLedgerGolden plays sessions of ledgers, which are named by letters. Times are in
// seconds.
//
//	ended on=LEDGER at=S request=N endpoint=N
//	served on=LEDGER at=S request=N
//	tell on=LEDGER at=S to=LEDGER [late=S]
//	show on=LEDGER at=S request=N
func TestLedgerGolden(t *testing.T) {
	datadriven.Walk(t, "testdata/ledger", func(t *testing.T, path string) {
		ledgers := map[string]*Tracker{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := session{t: t, d: d, ledgers: ledgers}
			return s.run()
		})
	})
}

// session is one command of a session.
type session struct {
	t       *testing.T
	d       *datadriven.TestData
	ledgers map[string]*Tracker
}

func (s session) text(key string) (value string) {
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s session) number(key string) (value int) {
	s.d.ScanArgs(s.t, key, &value)
	return value
}

func (s session) ledger(key string) *Tracker {
	name := s.text(key)
	if s.ledgers[name] == nil {
		s.ledgers[name] = NewTracker(limits)
	}
	return s.ledgers[name]
}

func (s session) run() string {
	l, now := s.ledger("on"), at(float64(s.number("at")))
	switch s.d.Cmd {
	case "ended":
		return fmt.Sprintf("endings=%d\n", l.Ended(now, request(s.number("request")), uint64(s.number("endpoint")), 1))
	case "served":
		return fmt.Sprintf("cleared=%t\n", l.Served(now, request(s.number("request")), 1))
	case "tell":
		return s.tell(l, now)
	case "show":
		f := request(s.number("request"))
		return fmt.Sprintf("endings=%d held=%s one_at_a_time=%t\n", l.Suspect(now, f), l.Held(now, f).Round(time.Second), l.OneAtATime(now, f))
	default:
		s.d.Fatalf(s.t, "unknown command %s", s.d.Cmd)
		return ""
	}
}

// tell brings what one ledger tells to another, late by so many seconds.
func (s session) tell(l *Tracker, now time.Time) string {
	to := s.ledger("to")
	l.HearDigest(now, to.Digest(now))
	arrives := now
	if s.d.HasArg("late") {
		arrives = now.Add(time.Duration(s.number("late")) * time.Second)
	}
	var b strings.Builder
	for _, w := range l.Words(now, 10_000) {
		require.True(s.t, to.Hear(arrives, w, 1))
		fmt.Fprintf(&b, "endpoints=%v ages_ms=%v served_ms=%d\n", w.Incarnations, w.AgesMS, w.ServedMS)
	}
	fmt.Fprintf(&b, "same=%t\n", l.Digest(now) == to.Digest(now))
	return b.String()
}
