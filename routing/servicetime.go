package routing

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/credit"
)

// serviceTimes estimates for each pool how long the endpoints take for a request, and holds what the
// fleet's coordinator has decided by what all instances measure.
type serviceTimes struct {
	mu    sync.Mutex
	pools map[string]*serviceTime
}

// serviceTime is what is known of one pool.
type serviceTime struct {
	// mean and deviation are a moving mean of this instance's durations and of their distance from
	// it.
	mean, deviation time.Duration
	// ended counts the requests since they were last taken.
	ended int64
	// mode is the coordinator's decision, received at modeAt; zero if there was none.
	mode   credit.PoolMode
	modeAt time.Time
}

const (
	// serviceTimeShare is the divisor for the part that one duration has in the mean: ten or twenty
	// requests are enough to follow a change.
	serviceTimeShare = 16
	// poolModeLifetime is how long a decision of the coordinator counts. It is repeated each second,
	// and another instance that becomes coordinator needs some time for its first one.
	poolModeLifetime = 10 * time.Second
)

// pool returns what is known of a pool; mu must be held.
func (s *serviceTimes) pool(name string) *serviceTime {
	if s.pools == nil {
		s.pools = map[string]*serviceTime{}
	}
	t := s.pools[name]
	if t == nil {
		t = &serviceTime{}
		s.pools[name] = t
	}
	return t
}

func (s *serviceTimes) observe(pool string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pool(pool)
	if t.mean == 0 {
		t.mean = d
	}
	t.deviation += ((d - t.mean).Abs() - t.deviation) / serviceTimeShare
	t.mean += (d - t.mean) / serviceTimeShare
}

// countEnded counts a request that the endpoint no longer has.
func (s *serviceTimes) countEnded(pool string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(pool).ended++
}

// expected returns the time in which most requests end; 0 if none was observed.
func (s *serviceTimes) expected(pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pool(pool)
	return t.mean + t.deviation
}

// mean returns the mean time of the fleet's requests, or else of this instance's own; 0 if neither is
// known.
func (s *serviceTimes) mean(now time.Time, pool string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pool(pool)
	if t.decided(now) {
		return time.Duration(t.mode.Micros) * time.Microsecond
	}
	return t.mean
}

// lent reports whether the places of a pool's endpoints are lent: as the coordinator has decided, or
// else by this instance's own measurement.
func (s *serviceTimes) lent(now time.Time, pool string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pool(pool)
	if t.decided(now) {
		return t.mode.Lent
	}
	return t.mean >= credit.LeastServiceTime
}

// decided reports whether there is a decision of the coordinator.
func (t *serviceTime) decided(now time.Time) bool {
	return !t.modeAt.IsZero() && now.Sub(t.modeAt) < poolModeLifetime
}

// take returns how many requests have ended since that was last taken, of the pools for which there
// is room.
func (s *serviceTimes) take(room int) []credit.PoolSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	var samples []credit.PoolSample
	for pool, t := range s.pools {
		sample := credit.PoolSample{Pool: pool, Requests: t.ended}
		if t.ended == 0 || sample.EncodedSize() > room {
			continue
		}
		room -= sample.EncodedSize()
		samples = append(samples, sample)
		t.ended = 0
	}
	return samples
}

// ServiceTime returns the time in which endpoints of a pool are expected to serve a request; 0 if it
// is not known.
func (r *Router) ServiceTime(pool string) time.Duration { return r.serviceTimes.expected(pool) }

// WorkBeforeFirst returns how long the work for a request takes at least until its first event, at an
// engine, or its answer, at a plain service; 0 if that is not known.
func (r *Router) WorkBeforeFirst(req *Request) time.Duration {
	if req.Unit == "" {
		return r.ServiceTime(req.Pool)
	}
	return firstTokenOverhead + r.prefill.promptWork(req.model(), req.PromptTokens)
}

// MeanServiceTime returns how long endpoints of a pool take for a request on average; 0 if it is not
// known.
func (r *Router) MeanServiceTime(now time.Time, pool string) time.Duration {
	return r.serviceTimes.mean(now, pool)
}

// TakeEnded returns how many requests have ended, by pool, since it last returned the pool. Encoded,
// the result fits into room bytes.
func (r *Router) TakeEnded(room int) []credit.PoolSample { return r.serviceTimes.take(room) }

// PoolModes returns what the coordinator has decided, as far as it still counts, by name of the pool.
func (r *Router) PoolModes(now time.Time) []credit.PoolMode {
	s := &r.serviceTimes
	s.mu.Lock()
	defer s.mu.Unlock()
	var modes []credit.PoolMode
	for _, t := range s.pools {
		if t.decided(now) {
			modes = append(modes, t.mode)
		}
	}
	slices.SortFunc(modes, func(a, b credit.PoolMode) int { return cmp.Compare(a.Pool, b.Pool) })
	return modes
}

// SetPoolModes records what the coordinator has decided about the pools that it names.
func (r *Router) SetPoolModes(now time.Time, modes []credit.PoolMode) {
	s := &r.serviceTimes
	s.mu.Lock()
	defer s.mu.Unlock()
	known := r.View().Pools
	for _, m := range modes {
		if _, exists := known[m.Pool]; exists {
			t := s.pool(m.Pool)
			t.mode, t.modeAt = m, now
		}
	}
}
