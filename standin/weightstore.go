package standin

import (
	"sync"
	"time"
)

// Weights is where an engine gets weights from.
type Weights interface {
	// Begin books a load and returns how long it takes from now; done must be
	// called when it is over.
	Begin(now time.Time) (total time.Duration, done func())
}

// WeightStore is the platform's rate-limited store of weights. A load waits
// its turn at the rate, and goes slower when too many are under way.
type WeightStore struct {
	mu         sync.Mutex
	interval   time.Duration
	concurrent int
	next       time.Time
	active     int
	// Loads counts the loads started.
	Loads int
}

// NewWeightStore allows so many loads a second, and so many at full speed.
func NewWeightStore(loadsPerSecond float64, concurrent int) *WeightStore {
	return &WeightStore{interval: time.Duration(float64(time.Second) / loadsPerSecond), concurrent: concurrent}
}

// loadTime is how long one load takes at full speed.
const loadTime = time.Second

// Begin implements Weights.
func (s *WeightStore) Begin(now time.Time) (total time.Duration, done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(s.interval)
	s.active++
	s.Loads++
	slowdown := max(1, float64(s.active)/float64(s.concurrent))
	return wait + time.Duration(float64(loadTime)*slowdown), s.end
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
