package credit

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// PoolSample is how many requests of one instance have ended at the endpoints of a pool.
type PoolSample struct {
	_        struct{} `cbor:",toarray"`
	Pool     string
	Requests int64
}

// PoolMode states whether the places of a pool's endpoints are lent, and for how long a request has
// a place there on average, in microseconds.
type PoolMode struct {
	_      struct{} `cbor:",toarray"`
	Pool   string
	Lent   bool
	Micros int64
}

// PoolPolicy decides for the whole fleet of which pools places are lent. Instances that decided for
// themselves would differ: those that lend then find the places taken by those that do not, serve
// nothing, and measure nothing else. The zero value has decided nothing.
//
// It goes by the places in use and the requests that end in a second (utilization law), as the
// times of the requests include their wait at the endpoint.
type PoolPolicy struct {
	pools map[string]*poolUse
}

// poolUse is the use of a pool's endpoints, with what was observed earlier counting less.
type poolUse struct {
	// requests have ended, placeSeconds is for how long places were in use, since the given time.
	requests, placeSeconds float64
	since, at              time.Time
	// busy is the number of places in use at busyAt.
	busy   int64
	busyAt time.Time
	lent   bool
}

const (
	// LeastServiceTime is the least mean service time from which places are lent. A place that is
	// given back is lent again some 10 ms later: of shorter requests that would be more than a fifth
	// of the endpoint's time, and the sums of others' requests lose less. They are lent until the
	// mean is below leastServiceTimeLent.
	LeastServiceTime     = 40 * time.Millisecond
	leastServiceTimeLent = 30 * time.Millisecond
	// poolMemory is the time in which what was observed comes to count for less than half, and
	// leastPoolTime for how long a pool is observed before anything is decided: requests are told
	// some time after they have ended.
	poolMemory    = 10 * time.Second
	leastPoolTime = 5 * time.Second
	// maxBusyInterval is the longest time for which a number of places in use counts.
	maxBusyInterval = time.Second
	// leastPoolRequests is how many requests a decision takes at least.
	leastPoolRequests = 20
	// maxPools bounds the pools that are kept.
	maxPools = 256
	// maxIntegerBytes is the size of the longest encoded integer.
	maxIntegerBytes = 9
)

// EncodedSize returns an upper bound of the sample's size in a packet in bytes.
func (s PoolSample) EncodedSize() int { return len(s.Pool) + 3*maxIntegerBytes }

// EncodedSize returns an upper bound of the mode's size in a packet in bytes.
func (m PoolMode) EncodedSize() int { return len(m.Pool) + 3*maxIntegerBytes }

// valid reports whether a sample can be true.
func (s PoolSample) valid() bool {
	return s.Pool != "" && len(s.Pool) <= maxNameBytes && s.Requests > 0 && s.Requests <= maxCount
}

// RecordEnded adds the requests of an instance that have ended.
func (p *PoolPolicy) RecordEnded(now time.Time, s PoolSample) {
	if !s.valid() {
		return
	}
	u := p.use(now, s.Pool)
	if u == nil {
		return
	}
	if u.requests < 1 {
		// The pool was idle: what was observed then says nothing about its requests.
		u.since, u.placeSeconds = now, 0
	}
	u.requests += float64(s.Requests)
}

// RecordBusy records how many places of a pool's endpoints all instances have in use now.
func (p *PoolPolicy) RecordBusy(now time.Time, pool string, busy int64) {
	u := p.use(now, pool)
	if u == nil {
		return
	}
	if passed := min(now.Sub(u.busyAt), maxBusyInterval); !u.busyAt.IsZero() && passed > 0 {
		u.placeSeconds += float64(u.busy+busy) / 2 * passed.Seconds()
	}
	u.busy, u.busyAt = busy, now
	u.decide()
}

// use returns the use of a pool, aged until now; nil if there are too many.
func (p *PoolPolicy) use(now time.Time, pool string) *poolUse {
	if p.pools == nil {
		p.pools = map[string]*poolUse{}
	}
	u := p.pools[pool]
	if u == nil {
		if len(p.pools) >= maxPools {
			return nil
		}
		u = &poolUse{since: now, at: now}
		p.pools[pool] = u
	}
	decay := math.Exp(-max(now.Sub(u.at), 0).Seconds() / poolMemory.Seconds())
	u.requests, u.placeSeconds, u.at = u.requests*decay, u.placeSeconds*decay, now
	return u
}

// decide changes the mode once the mean time is beyond its bound.
func (u *poolUse) decide() {
	if !u.known() {
		return
	}
	bound := LeastServiceTime
	if u.lent {
		bound = leastServiceTimeLent
	}
	u.lent = u.mean() >= bound
}

func (u *poolUse) known() bool {
	return u.requests >= leastPoolRequests && u.placeSeconds > 0 && u.at.Sub(u.since) >= leastPoolTime
}

// mean returns for how long a request has a place.
func (u *poolUse) mean() time.Duration {
	return time.Duration(u.placeSeconds / u.requests * float64(time.Second))
}

// Modes returns the modes of all pools of which enough is known, by name.
func (p *PoolPolicy) Modes() []PoolMode {
	var modes []PoolMode
	for pool, u := range p.pools {
		if u.known() {
			modes = append(modes, PoolMode{Pool: pool, Lent: u.lent, Micros: u.mean().Microseconds()})
		}
	}
	slices.SortFunc(modes, func(a, b PoolMode) int { return cmp.Compare(a.Pool, b.Pool) })
	return modes
}
