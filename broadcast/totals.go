package broadcast

import (
	"cmp"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// Totals selects which of the fleet's load totals per endpoint to send. The zero value has sent
// nothing; without Significant it also repeats unchanged totals, as far as they fit.
type Totals struct {
	// Significant, unless nil, reports whether the receivers would decide wrongly if they kept
	// the total sent last. Other changes are sent only in time before the receivers discard the
	// endpoint, if it was sent at all.
	Significant func(now, sent peer.EndpointLoad) bool

	// sent holds the totals that the receivers know, by endpoint.
	sent map[string]sentTotal
}

// sentTotal is a total that was sent at a time.
type sentTotal struct {
	peer.EndpointLoad
	at time.Time
	// idle counts the consecutive times that zero load was sent.
	idle int
}

// rankedTotal is a total with its priority.
type rankedTotal struct {
	peer.EndpointLoad
	priority float64
}

const (
	// idleRepeats is how often zero load is sent for an endpoint that has become idle, as
	// datagrams may be lost.
	idleRepeats = 3
	// neverSentAge is the age that a total counts with if it has not been sent before.
	neverSentAge = 10 * time.Second
	// prefillMicrosPerRequest is the prefill time, in microseconds, that counts as one
	// request.
	prefillMicrosPerRequest = 100_000
	// resendAfter is when a total is sent again although its change is not significant: the
	// receivers discard it after twice as long.
	resendAfter = 2500 * time.Millisecond
)

// Next returns the totals to send now: as many of all as fit into the given number of bytes,
// and at least one. They are ordered by how far the receivers deviate, and for how long.
func (s *Totals) Next(now time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad {
	ranked := s.ranked(now, all)
	var next []peer.EndpointLoad
	for _, r := range ranked {
		bytes -= r.EncodedSize()
		if bytes < 0 && len(next) > 0 {
			break
		}
		next = append(next, r.EndpointLoad)
		s.recordSent(now, r.EndpointLoad)
	}
	return next
}

// ranked returns the totals that are due, the highest priority first.
func (s *Totals) ranked(now time.Time, all []peer.EndpointLoad) []rankedTotal {
	ranked := make([]rankedTotal, 0, len(all))
	present := make(map[string]bool, len(all))
	for _, l := range all {
		present[l.Endpoint] = true
		if s.due(now, l) {
			ranked = append(ranked, rankedTotal{l, s.priority(now, l)})
		}
	}
	for endpoint := range s.sent {
		l := peer.EndpointLoad{Endpoint: endpoint}
		if !present[endpoint] && s.due(now, l) {
			ranked = append(ranked, rankedTotal{l, s.priority(now, l)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedTotal) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return ranked
}

// due reports whether a total is to be sent at all.
func (s *Totals) due(now time.Time, l peer.EndpointLoad) bool {
	if s.Significant == nil {
		return true
	}
	t, sent := s.sent[l.Endpoint]
	return s.Significant(l, t.EndpointLoad) || sent && now.Sub(t.at) >= resendAfter
}

// Significant returns a function that reports a change as significant if it is at least a
// sixteenth of the endpoint's places, or prompts that take longer than pause to process, where
// pause is the time until the next message. Smaller changes are outdated by the time they are
// received.
func Significant(places func(endpoint string) int, pause func() time.Duration) func(now, sent peer.EndpointLoad) bool {
	const part = 16
	return func(now, sent peer.EndpointLoad) bool {
		running := distance(now.Running, sent.Running)
		prompt := time.Duration(distance(now.PrefillMicros, sent.PrefillMicros)) * time.Microsecond
		return running > 0 && part*running >= float64(places(now.Endpoint)) || prompt > pause()
	}
}

// priority returns by how much the receivers deviate, in requests, times the age of what they
// know, in seconds. An unchanged total gains priority with age, so that it is sent again before
// the receivers discard it.
func (s *Totals) priority(now time.Time, l peer.EndpointLoad) float64 {
	t := s.sent[l.Endpoint]
	age := neverSentAge
	if !t.at.IsZero() {
		age = now.Sub(t.at)
	}
	deviation := distance(l.Running, t.Running) + distance(l.PrefillMicros, t.PrefillMicros)/prefillMicrosPerRequest
	return (1 + deviation) * age.Seconds()
}

func distance(a, b int64) float64 { return float64(max(a-b, b-a)) }

// recordSent records that a total is sent.
func (s *Totals) recordSent(now time.Time, l peer.EndpointLoad) {
	t := sentTotal{EndpointLoad: l, at: now}
	if l.Running == 0 && l.PrefillMicros == 0 {
		t.idle = s.sent[l.Endpoint].idle + 1
	}
	if s.sent == nil {
		s.sent = map[string]sentTotal{}
	}
	if t.idle >= idleRepeats {
		delete(s.sent, l.Endpoint)
		return
	}
	s.sent[l.Endpoint] = t
}
