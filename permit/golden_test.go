package permit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// session is two instances before one endpoint; what one sends reaches the other when the
// session says so.
type session struct {
	now    time.Time
	locals map[string]*Limiter
	asks   map[string]Request
	grants map[string]Grant
}

var sessionEndpoint = LimitKey{Name: "e1"}

// TestGolden runs the sessions in testdata. Instance a issues and b asks; at is in
// milliseconds since the start.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{locals: map[string]*Limiter{}, asks: map[string]Request{}, grants: map[string]Grant{}}
		for _, name := range []string{"a", "b"} {
			s.locals[name] = NewLimiter(name, 0, func() {})
			s.locals[name].SetFleet(Fleet{Members: []string{"a"}, KnownCount: 1})
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var ms int
			var name string
			d.ScanArgs(t, "at", &ms)
			d.ScanArgs(t, "by", &name)
			s.now = start.Add(time.Duration(ms) * time.Millisecond)
			return s.do(t, d, name)
		})
	})
}

func (s *session) do(t *testing.T, d *datadriven.TestData, name string) string {
	l := s.locals[name]
	switch d.Cmd {
	case "named":
		var perSecond float64
		d.ScanArgs(t, "per-second", &perSecond)
		return fmt.Sprintf("news=%v\n", l.RecordLimit(s.now, sessionEndpoint, perSecond))
	case "unlimited":
		var sent int
		d.ScanArgs(t, "sent", &sent)
		return fmt.Sprintf("news=%v\n", l.RecordNoLimit(s.now, sessionEndpoint, start.Add(time.Duration(sent)*time.Millisecond)))
	case "request":
		if l.Take(s.now, sessionEndpoint) {
			return "sent\n"
		}
		l.RecordDemand(s.now, sessionEndpoint)
		return "waits\n"
	case "ask":
		return s.ask(l, name)
	case "answer":
		g, answered := l.HandleRequest(s.now, s.asks["b"])
		s.grants["b"] = g
		return fmt.Sprintf("answered=%v n=%d ended=%v\n", answered, g.N, g.Word.Ended)
	case "granted":
		return fmt.Sprintf("goes-on=%v\n", l.ReceiveGrant(s.now, "a", s.grants[name]))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

func (s *session) ask(l *Limiter, name string) string {
	var b strings.Builder
	asks, got := l.PendingRequests(s.now)
	for _, a := range asks {
		s.asks[name] = a.Ask
		fmt.Fprintf(&b, "to=%s rank=%d n=%d per-second=%v age=%dms\n", a.To, a.Ask.Rank, a.Ask.N, a.Ask.Report.PerSecond, a.Ask.Report.AgeMS)
	}
	fmt.Fprintf(&b, "got=%v\n", got)
	return b.String()
}
