package handover

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxHelpers is how many instances an instance hands requests over to, so that the number of
// connections does not grow with the fleet.
const maxHelpers = 4

// MaxTries is how many instances are asked to take one request.
const MaxTries = 3

// Times for which an instance is not asked after it has not taken a request.
const (
	// cutOffPause is short, as a path may return at any moment.
	cutOffPause   = time.Second
	stoppingPause = 10 * time.Second
	busyPause     = 200 * time.Millisecond
	outdatedPause = 500 * time.Millisecond
	// lostPause is for an instance that could not be reached, or was lost before it answered.
	lostPause = 3 * time.Second
)

// Candidate is an instance that may take requests.
type Candidate struct {
	Name string
	// Near is set if it is in the region of this instance.
	Near bool
}

// Helpers chooses the instances to which requests are handed over.
type Helpers struct {
	self string
	// helpers holds what is known of the instances that were asked.
	helpers map[string]*helper
}

type helper struct {
	avoidedUntil time.Time
	inFlight     int
}

// NewHelpers returns Helpers of an instance that has asked nobody yet.
func NewHelpers(self string) *Helpers { return &Helpers{self: self, helpers: map[string]*helper{}} }

// Choose returns the instance to ask next, other than those that were tried, and counts a request
// there until Ended. It returns false if there is none.
//
// Each instance asks its own few helpers, those ranked first by a hash, near ones before others,
// and of these the one that has the fewest of its requests.
func (h *Helpers) Choose(now time.Time, candidates []Candidate, tried []string) (string, bool) {
	maps.DeleteFunc(h.helpers, func(_ string, k *helper) bool { return k.inFlight == 0 && !now.Before(k.avoidedUntil) })
	var own []ranked
	for _, c := range candidates {
		if c.Name != h.self && !slices.Contains(tried, c.Name) && !h.avoided(now, c.Name) {
			own = insert(own, ranked{Candidate: c, weight: h.weight(c.Name)})
		}
	}
	if len(own) == 0 {
		return "", false
	}
	best := slices.MinFunc(own, func(a, b ranked) int {
		return cmp.Or(compareNear(a.Candidate, b.Candidate), cmp.Compare(h.inFlight(a.Name), h.inFlight(b.Name)))
	})
	h.of(best.Name).inFlight++
	return best.Name, true
}

// ranked is a candidate with its place in the hash order of this instance.
type ranked struct {
	Candidate
	weight uint64
}

// insert adds a candidate to the first maxHelpers, which are in order.
func insert(first []ranked, c ranked) []ranked {
	at, _ := slices.BinarySearchFunc(first, c, func(a, b ranked) int {
		return cmp.Or(compareNear(a.Candidate, b.Candidate), cmp.Compare(a.weight, b.weight), cmp.Compare(a.Name, b.Name))
	})
	if at == maxHelpers {
		return first
	}
	first = slices.Insert(first, at, c)
	return first[:min(len(first), maxHelpers)]
}

func compareNear(a, b Candidate) int {
	switch {
	case a.Near == b.Near:
		return 0
	case a.Near:
		return -1
	default:
		return 1
	}
}

func (h *Helpers) weight(name string) uint64 { return xxhash.Sum64String(h.self + "\x00" + name) }

func (h *Helpers) avoided(now time.Time, name string) bool {
	known := h.helpers[name]
	return known != nil && now.Before(known.avoidedUntil)
}

func (h *Helpers) inFlight(name string) int {
	if known := h.helpers[name]; known != nil {
		return known.inFlight
	}
	return 0
}

// of returns what is known of an instance that is asked.
func (h *Helpers) of(name string) *helper {
	known := h.helpers[name]
	if known == nil {
		known = &helper{}
		h.helpers[name] = known
	}
	return known
}

// Ended ends a request at an instance that Choose has counted.
func (h *Helpers) Ended(name string) { h.of(name).inFlight-- }

// Refused records that an instance has not taken a request.
func (h *Helpers) Refused(now time.Time, name string, why Reason) {
	h.avoid(now, name, pauseAfter(why))
}

// Lost records that an instance could not be reached, or was lost before it answered.
func (h *Helpers) Lost(now time.Time, name string) { h.avoid(now, name, lostPause) }

func (h *Helpers) avoid(now time.Time, name string, pause time.Duration) {
	known := h.of(name)
	if until := now.Add(pause); until.After(known.avoidedUntil) {
		known.avoidedUntil = until
	}
}

func pauseAfter(why Reason) time.Duration {
	switch why {
	case Stopping:
		return stoppingPause
	case Busy:
		return busyPause
	case Outdated:
		return outdatedPause
	default:
		return cutOffPause
	}
}
