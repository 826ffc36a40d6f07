package daemon

import (
	"slices"

	"github.com/eiderspring/eiderspring/peer"
)

// hubSums deals out the sums that the hub tells, so many at once. An endpoint at which
// nothing is under way any more is told a few times more: until then the others go by its
// last sum.
type hubSums struct {
	// left are the sums of this round that are still to be told.
	left []peer.EndpointLoad
	// idleTells is how often each endpoint with something under way in the last rounds is
	// to be told once it has nothing.
	idleTells map[string]int
}

// mostIdleTells is how often an endpoint is told that has nothing under way any more: datagrams
// are lost now and then.
const mostIdleTells = 2

// next returns up to so many sums. A round that has ended begins again with what all
// instances have under way now.
func (s *hubSums) next(all []peer.EndpointLoad, most int) []peer.EndpointLoad {
	if len(s.left) == 0 {
		s.begin(all)
	}
	var front []peer.EndpointLoad
	front, s.left = cut(s.left, most)
	return front
}

func (s *hubSums) begin(all []peer.EndpointLoad) {
	before := s.idleTells
	s.idleTells = make(map[string]int, len(all))
	s.left = slices.Clone(all)
	for _, l := range all {
		s.idleTells[l.Endpoint] = mostIdleTells
		delete(before, l.Endpoint)
	}
	for endpoint, tells := range before {
		s.left = append(s.left, peer.EndpointLoad{Endpoint: endpoint})
		if tells > 1 {
			s.idleTells[endpoint] = tells - 1
		}
	}
}

// cutSums takes as many sums off the front of a list as so many bytes hold, at least one.
func cutSums(list []peer.EndpointLoad, room int) (front, rest []peer.EndpointLoad) {
	n := 0
	for n < len(list) && (n == 0 || room >= list[n].Bytes()) {
		room -= list[n].Bytes()
		n++
	}
	return cut(list, n)
}
