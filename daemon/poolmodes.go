package daemon

import (
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/credit"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// poolModes lets all instances of a large fleet seek places of a pool's endpoints in the same way:
// they tell the coordinator how many requests have ended there, and it decides whether places are
// lent. A nil value does nothing.
type poolModes struct {
	router *routing.Router

	mu sync.Mutex
	// policy decides at the coordinator.
	policy credit.PoolPolicy
	// sampledAt is when this instance last told which requests have ended, announcedAt when it last
	// told, as coordinator, what is decided.
	sampledAt, announcedAt time.Time
}

const (
	// poolModesInterval is the time between two reports of ended requests, and between two
	// announcements of what is decided.
	poolModesInterval = time.Second
	// maxPoolBytes bounds the size of either in a packet.
	maxPoolBytes = 400
)

// addSamples adds to a summary how many requests of this instance have ended.
func (s *poolModes) addSamples(now time.Time, p *peer.Packet) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.sampledAt) < poolModesInterval {
		return
	}
	s.sampledAt = now
	p.PoolSamples = s.router.TakeEnded(min(remainingBytes(*p), maxPoolBytes))
}

// addModes adds to an announcement of the coordinator what is decided, and applies it here. loads
// are the fleet's requests by endpoint.
func (s *poolModes) addModes(now time.Time, loads []peer.EndpointLoad, p *peer.Packet) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for pool, busy := range s.placesInUse(loads) {
		s.policy.RecordBusy(now, pool, busy)
	}
	if now.Sub(s.announcedAt) < poolModesInterval {
		return
	}
	s.announcedAt = now
	s.router.SetPoolModes(now, s.policy.Modes())
	// It includes what the former coordinator has decided of pools that are not known here yet.
	p.PoolModes = fittingModes(s.router.PoolModes(now), min(remainingBytes(*p), maxPoolBytes))
}

// placesInUse returns how many places of each pool's endpoints are in use.
func (s *poolModes) placesInUse(loads []peer.EndpointLoad) map[string]int64 {
	view := s.router.View()
	busy := make(map[string]int64, len(view.Pools))
	for pool := range view.Pools {
		busy[pool] = 0
	}
	for _, l := range loads {
		if e := view.ByName[l.Endpoint]; e != nil {
			busy[e.Pool] += min(l.Running, int64(e.Concurrency))
		}
	}
	return busy
}

// receiveSamples records, at the coordinator, the requests of an instance that have ended.
func (s *poolModes) receiveSamples(now time.Time, samples []credit.PoolSample) {
	if s == nil || len(samples) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sample := range samples {
		s.policy.RecordEnded(now, sample)
	}
}

// receiveModes applies what the coordinator has decided.
func (s *poolModes) receiveModes(now time.Time, modes []credit.PoolMode) {
	if s != nil && len(modes) > 0 {
		s.router.SetPoolModes(now, modes)
	}
}

// fittingModes returns as much of the front of a list as fits into room bytes.
func fittingModes(modes []credit.PoolMode, room int) []credit.PoolMode {
	for i, m := range modes {
		if room -= m.EncodedSize(); room < 0 {
			return modes[:i]
		}
	}
	return modes
}
