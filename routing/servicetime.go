package routing

import (
	"sync"
	"time"
)

// serviceTimes estimates for each pool how long the endpoints take for a request.
type serviceTimes struct {
	mu    sync.Mutex
	pools map[string]serviceTime
}

// serviceTime is a moving mean of durations and of their distance from it.
type serviceTime struct{ mean, deviation time.Duration }

// serviceTimeShare is the divisor for the part that one duration has in the mean: ten or twenty
// requests are enough to follow a change.
const serviceTimeShare = 16

func (s *serviceTimes) observe(pool string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pools == nil {
		s.pools = map[string]serviceTime{}
	}
	t, known := s.pools[pool]
	if !known {
		t = serviceTime{mean: d}
	}
	t.deviation += ((d - t.mean).Abs() - t.deviation) / serviceTimeShare
	t.mean += (d - t.mean) / serviceTimeShare
	s.pools[pool] = t
}

// expected returns the time in which most requests end; 0 if none was observed.
func (s *serviceTimes) expected(pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pools[pool]
	return t.mean + t.deviation
}

// mean returns the mean time; 0 if none was observed.
func (s *serviceTimes) mean(pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pools[pool].mean
}

// MeanServiceTime returns how long endpoints of a pool take for a request on average; 0 if it is not known.
func (r *Router) MeanServiceTime(pool string) time.Duration { return r.serviceTimes.mean(pool) }

// ServiceTime returns the time in which endpoints of a pool are expected to serve a request; 0 if it is not known.
func (r *Router) ServiceTime(pool string) time.Duration { return r.serviceTimes.expected(pool) }
