package broadcast

import (
	"cmp"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// Totals deals out what all instances have under way at each endpoint. The zero value has told
// nothing, and tells what has not changed too, as far as it fits.
type Totals struct {
	// Significant, unless nil, tells whether the others would go wrong by going on with what was
	// told. What does not matter is told only in time before they forget the endpoint, if
	// it was told at all.
	Significant func(now, told peer.EndpointLoad) bool

	// told is what the others go by, by endpoint.
	told map[string]toldSum
}

// toldSum is a sum that was told, at a moment.
type toldSum struct {
	peer.EndpointLoad
	at time.Time
	// idle is how often it was told that nothing is under way.
	idle int
}

// sumNeed is a sum, and how much the others need it.
type sumNeed struct {
	peer.EndpointLoad
	need float64
}

const (
	// mostIdleTells is how often an endpoint is told at which nothing is under way any more:
	// datagrams are lost now and then.
	mostIdleTells = 3
	// neverTold stands for the age of a sum that was not told before.
	neverTold = 10 * time.Second
	// promptRequest is how much reading of prompts, in microseconds, counts as one request.
	promptRequest = 100_000
	// retell is when a sum that was told is told again, where only what matters is: the
	// others forget it behind twice as long.
	retell = 2500 * time.Millisecond
)

// Next returns what to tell now of all sums, as many as fit into so many bytes, and at least
// one. The order is by how far the others are off, for how long.
func (s *Totals) Next(now time.Time, all []peer.EndpointLoad, bytes int) []peer.EndpointLoad {
	needs := s.needs(now, all)
	var next []peer.EndpointLoad
	for _, n := range needs {
		bytes -= n.EncodedSize()
		if bytes < 0 && len(next) > 0 {
			break
		}
		next = append(next, n.EndpointLoad)
		s.tell(now, n.EndpointLoad)
	}
	return next
}

// needs returns all sums, those that are needed most first.
func (s *Totals) needs(now time.Time, all []peer.EndpointLoad) []sumNeed {
	needs := make([]sumNeed, 0, len(all))
	present := make(map[string]bool, len(all))
	for _, l := range all {
		present[l.Endpoint] = true
		if s.due(now, l) {
			needs = append(needs, sumNeed{l, s.need(now, l)})
		}
	}
	for endpoint := range s.told {
		l := peer.EndpointLoad{Endpoint: endpoint}
		if !present[endpoint] && s.due(now, l) {
			needs = append(needs, sumNeed{l, s.need(now, l)})
		}
	}
	slices.SortFunc(needs, func(a, b sumNeed) int {
		return cmp.Or(cmp.Compare(b.need, a.need), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return needs
}

// due tells whether a sum is worth telling at all.
func (s *Totals) due(now time.Time, l peer.EndpointLoad) bool {
	if s.Significant == nil {
		return true
	}
	t, told := s.told[l.Endpoint]
	return s.Significant(l, t.EndpointLoad) || told && now.Sub(t.at) >= retell
}

// Significant returns what matters of an endpoint with so many places, to others that are told
// next in pause: a sixteenth of its places, and prompts that take longer than that to read.
// What is less is over, or other, by the time that it is told.
func Significant(places func(endpoint string) int, pause func() time.Duration) func(now, told peer.EndpointLoad) bool {
	const part = 16
	return func(now, told peer.EndpointLoad) bool {
		running := distance(now.Running, told.Running)
		prompt := time.Duration(distance(now.PrefillMicros, told.PrefillMicros)) * time.Microsecond
		return running > 0 && part*running >= float64(places(now.Endpoint)) || prompt > pause()
	}
}

// need is by how much the others are off, in requests, times for how long they may be, in
// seconds. One that has not changed is told again in time, as the others forget it.
func (s *Totals) need(now time.Time, l peer.EndpointLoad) float64 {
	t := s.told[l.Endpoint]
	age := neverTold
	if !t.at.IsZero() {
		age = now.Sub(t.at)
	}
	off := distance(l.Running, t.Running) + distance(l.PrefillMicros, t.PrefillMicros)/promptRequest
	return (1 + off) * age.Seconds()
}

func distance(a, b int64) float64 { return float64(max(a-b, b-a)) }

// tell records what is told.
func (s *Totals) tell(now time.Time, l peer.EndpointLoad) {
	t := toldSum{EndpointLoad: l, at: now}
	if l.Running == 0 && l.PrefillMicros == 0 {
		t.idle = s.told[l.Endpoint].idle + 1
	}
	if s.told == nil {
		s.told = map[string]toldSum{}
	}
	if t.idle >= mostIdleTells {
		delete(s.told, l.Endpoint)
		return
	}
	s.told[l.Endpoint] = t
}
