package condition

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"
)

// TrialSlot is the time in which one instance of the fleet may send one request to an endpoint
// that is left out.
const TrialSlot = 250 * time.Millisecond

// SlotAt returns the number of the time slot at now. Clocks of instances may differ: at the
// border of two slots two instances may try.
func SlotAt(now time.Time) int64 { return now.UnixNano() / int64(TrialSlot) }

// Tries reports whether this instance may try an endpoint in the time slot at now, among those given and
// itself. One instance may, by rendezvous hash; more if endpoints of the pool get so few requests
// that the one would hardly have any for it in the slot.
func (t *Tracker) Tries(now time.Time, k Key, instances []string) bool {
	named := 1
	if e := t.endpoints[k]; e != nil {
		named = namedInstances(t.usualRate(now, e.pool), len(instances))
	}
	slot := SlotAt(now)
	own := trialRank(t.instance, k, slot)
	for _, name := range instances {
		if name == t.instance {
			continue
		}
		if r := trialRank(name, k, slot); r > own || r == own && name < t.instance {
			named--
		}
		if named <= 0 {
			return false
		}
	}
	return true
}

// trialsPerSlot is how many trials are expected in a slot where several instances may try: few
// enough that there are seldom two.
const trialsPerSlot = 0.25

// namedInstances returns how many instances may try in a slot an endpoint to which each of them
// sends about perSecond requests.
func namedInstances(perSecond float64, instances int) int {
	inSlot := perSecond * TrialSlot.Seconds()
	if inSlot <= 0 {
		return 1
	}
	return max(1, int(min(trialsPerSlot/inSlot, float64(instances))))
}

// usualRate returns how many attempts a second this instance makes at an endpoint of a pool on
// average.
func (t *Tracker) usualRate(now time.Time, pool string) float64 {
	attempts := 0.0
	for _, e := range t.pools[pool] {
		attempts += e.own.decayed(now).attempts
	}
	return attempts * math.Ln2 / failureHalfLife.Seconds() / float64(max(len(t.pools[pool]), 1))
}

// trialRank is the rank of an instance by rendezvous hash.
func trialRank(instance string, k Key, slot int64) uint64 {
	h := fnv.New64a()
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(slot))
	binary.LittleEndian.PutUint64(numbers[8:], uint64(k.StartedAtMS))
	_, _ = h.Write(numbers[:])
	_, _ = h.Write([]byte(k.Name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(instance))
	return mix(h.Sum64())
}

// mix spreads the last bytes over all bits (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
