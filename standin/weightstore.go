package standin

import (
	"sync"
	"time"
)

// Weights is the source from which an engine loads weights.
type Weights interface {
	// Begin reserves a load and returns its duration from now. The caller must call
	// done when the load ends.
	Begin(now time.Time) (total time.Duration, done func())
}

// WeightStore is the platform's rate-limited store of weights. A load waits until
// the rate admits it, and slows down when too many loads are in flight.
type WeightStore struct {
	mu         sync.Mutex
	interval   time.Duration
	concurrent int
	next       time.Time
	active     int
	// Loads counts the loads started.
	Loads int
}

// NewWeightStore returns a store that starts at most loadsPerSecond loads per second
// and runs up to concurrent loads at full speed.
func NewWeightStore(loadsPerSecond float64, concurrent int) *WeightStore {
	return &WeightStore{interval: time.Duration(float64(time.Second) / loadsPerSecond), concurrent: concurrent}
}

// fullSpeedLoadTime is the duration of one load at full speed.
const fullSpeedLoadTime = time.Second

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
	return wait + time.Duration(float64(fullSpeedLoadTime)*slowdown), s.end
}

func (s *WeightStore) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
