package permit

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// session is two instances and one endpoint. A message of one instance reaches the other
// when the session delivers it.
type session struct {
	now      time.Time
	limiters map[string]*Limiter
	requests map[string]Request
	grants   map[string]Grant
}

var sessionEndpoint = LimitKey{Name: "e1"}

// TestGolden runs the sessions in testdata. Instance a issues permits and b requests them; at
// is in milliseconds since the start.
func TestGolden(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &session{limiters: map[string]*Limiter{}, requests: map[string]Request{}, grants: map[string]Grant{}}
		for _, name := range []string{"a", "b"} {
			s.limiters[name] = NewLimiter(name, 0, func() {})
			s.limiters[name].SetFleet(Fleet{Members: []string{"a"}, KnownCount: 1})
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
	l := s.limiters[name]
	switch d.Cmd {
	case "limit":
		var perSecond float64
		d.ScanArgs(t, "per-second", &perSecond)
		return fmt.Sprintf("news=%v\n", l.RecordLimit(s.now, sessionEndpoint, perSecond))
	case "no-limit":
		var sent int
		d.ScanArgs(t, "sent", &sent)
		return fmt.Sprintf("news=%v\n", l.RecordNoLimit(s.now, sessionEndpoint, start.Add(time.Duration(sent)*time.Millisecond)))
	case "request":
		if l.Take(s.now, sessionEndpoint) {
			return "sent\n"
		}
		l.RecordDemand(s.now, sessionEndpoint)
		return "waits\n"
	case "request-permits":
		return s.requestPermits(l, name)
	case "grant":
		g, answered := l.HandleRequest(s.now, s.requests["b"])
		s.grants["b"] = g
		return fmt.Sprintf("answered=%v n=%d ended=%v\n", answered, g.N, g.Report.Ended)
	case "receive-grant":
		return fmt.Sprintf("wakes=%v\n", l.ReceiveGrant(s.now, "a", s.grants[name]))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
		return ""
	}
}

func (s *session) requestPermits(l *Limiter, name string) string {
	var b strings.Builder
	requests, issued := l.PendingRequests(s.now)
	for _, r := range requests {
		s.requests[name] = r.Request
		fmt.Fprintf(&b, "to=%s rank=%d n=%d per-second=%v age=%dms\n", r.To, r.Request.Rank, r.Request.N, r.Request.Report.PerSecond, r.Request.Report.AgeMS)
	}
	fmt.Fprintf(&b, "issued=%v\n", issued)
	return b.String()
}
