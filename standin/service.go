package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Service is a plain HTTP service. It runs every call that it receives. At-most-once
// execution is a guarantee of the system under test, and Runs is used to check it.
type Service struct {
	Started, LeavingLate atomic.Int64

	latency time.Duration

	mu        sync.Mutex
	runs      map[string]int
	leavingAt time.Time
}

// NewService returns a service on which each call takes latency.
func NewService(latency time.Duration) *Service {
	return &Service{latency: latency, runs: map[string]int{}}
}

// ServeHTTP runs the call and responds with ServiceAnswer.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	s.countRun(r.Header.Get("Idempotency-Key"))
	time.Sleep(s.latency)
	w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
	_, _ = io.WriteString(w, ServiceAnswer(r.URL.Path, string(body)))
}

// ServiceAnswer returns the response of a service to a path and a body.
func ServiceAnswer(path, body string) string {
	return fmt.Sprintf("%s done: %s", path, Token(path, body, 0))
}

func (s *Service) countRun(key string) {
	s.Started.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.runs[key]++
	}
	if !s.leavingAt.IsZero() && time.Since(s.leavingAt) > leavingGrace {
		s.LeavingLate.Add(1)
	}
}

// Leave marks the service as leaving. Work that starts more than leavingGrace after
// now is counted in LeavingLate.
func (s *Service) Leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingAt = now
}

// Runs returns the number of runs per idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		runs[k] = n
	}
	return runs
}
