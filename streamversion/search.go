package streamversion

import "time"

// Times of a search, from its start.
const (
	// lateBeginning is how long a beginning may be on its way: a caller may return before it has
	// arrived.
	lateBeginning = 60 * time.Millisecond
	// SearchTimeout is when a search ends without a result: other instances answer within some
	// milliseconds, those of another region within some tens.
	SearchTimeout = 250 * time.Millisecond
)

// rounds are the times at which the owners are asked. An answer, a question or a beginning may be
// lost.
var rounds = []time.Duration{0, 20 * time.Millisecond, lateBeginning, 120 * time.Millisecond, 180 * time.Millisecond}

// firstLateRound is the first round at which a beginning that is late has arrived.
const firstLateRound = 2

// Search looks for the beginning of a stream at its owners.
type Search struct {
	began     time.Time
	near, far []string
	// round is the number of rounds that have begun.
	round int
	// unknownIn holds, for each instance that does not know the beginning, the last round in which
	// it said so.
	unknownIn map[string]int64
	found     Beginning
	state     State
	done      bool
}

// NewSearch returns a search at the owners near and far, which are asked from the second round on.
func NewSearch(now time.Time, near, far []string) *Search {
	return &Search{began: now, near: near, far: far, unknownIn: map[string]int64{}, done: len(near)+len(far) == 0}
}

// Tick returns the instances to ask now, in the given round; none if no round is due.
func (s *Search) Tick(now time.Time) (ask []string, round int64) {
	since := now.Sub(s.began)
	if since >= SearchTimeout {
		s.done = true
	}
	due := s.round
	for due < len(rounds) && since >= rounds[due] {
		due++
	}
	if s.done || due == s.round {
		return nil, 0
	}
	s.round = due
	ask = append(ask, s.near...)
	if s.round > 1 {
		ask = append(ask, s.far...)
	}
	return ask, int64(s.round - 1)
}

// Answered takes an answer of an instance.
func (s *Search) Answered(from string, a Answer) {
	switch {
	case s.done:
	case a.State == Unknown:
		s.unknownIn[from] = max(s.unknownIn[from], a.Round)
		s.done = s.knownNowhere()
	default:
		s.found, s.state, s.done = a.Beginning, a.State, true
	}
}

// knownNowhere reports whether all owners have said that they don't know the beginning, late enough.
func (s *Search) knownNowhere() bool {
	for _, owners := range [][]string{s.near, s.far} {
		for _, name := range owners {
			if s.unknownIn[name] < firstLateRound {
				return false
			}
		}
	}
	return true
}

// Result returns what was found, and whether the search has ended.
func (s *Search) Result() (Beginning, State, bool) { return s.found, s.state, s.done }
