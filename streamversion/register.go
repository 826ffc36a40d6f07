package streamversion

import (
	"maps"
	"slices"
	"time"
)

// Entry is what the store keeps of the software versions of a pool.
type Entry struct {
	// Versions are those whose streams may still be taken up, in order.
	Versions []string `json:"versions"`
	// Complete is set if there is none besides: the pool has been followed for long enough, or
	// from its start.
	Complete bool `json:"complete"`
	// Era is the era of the store in which a holder of the pool's lease last wrote the entry. One of an
	// earlier era is from a copy of the store, which may lack what was written since.
	Era int64 `json:"era,omitempty"`
}

// Names reports whether the entry names a version.
func (e Entry) Names(version string) bool { return slices.Contains(e.Versions, version) }

// With returns the entry with one more version.
func (e Entry) With(version string) Entry {
	e.Versions = append(slices.Clone(e.Versions), version)
	slices.Sort(e.Versions)
	return e
}

// equal reports whether two entries say the same.
func (e Entry) equal(o Entry) bool {
	return e.Complete == o.Complete && e.Era == o.Era && slices.Equal(e.Versions, o.Versions)
}

// Only returns the version at which every stream of the pool began, by its entry, the era of the store
// and the versions of the pool's endpoints now; false if it is not certain that there is only one.
func (e Entry) Only(era int64, present []string) (string, bool) {
	if !e.Complete || e.Era != era || len(e.Versions) != 1 || e.Versions[0] == "" {
		return "", false
	}
	for _, version := range present {
		if version != e.Versions[0] {
			return "", false
		}
	}
	return e.Versions[0], true
}

// maxStepGap is the longest time between two steps after which the steps in between saw each version
// that mattered: an instance that has been suspended for longer may have missed one.
const maxStepGap = 2 * time.Second

// maxCopyAge is how old the copy of a store may be from which it comes back.
const maxCopyAge = 10 * time.Second

// Register follows the versions of a pool at each instance, and decides what the entry is to say at the
// one that writes it. A version is named from when it is seen until MaxKeep after it was last seen.
//
// Invariant: it never leaves out a version that it has seen, or that the stored entry named when it
// was loaded, within MaxKeep.
type Register struct {
	stored *Entry
	// lastSeen holds when each version was last present.
	lastSeen map[string]time.Time
	// since is when the steps without a gap began, steppedAt when the last one was; broken is set once
	// there was a gap.
	since, steppedAt time.Time
	broken           bool
	// era is that of the store, eraBeganAt when it began; zero if it had begun before the first step.
	era        int64
	eraBeganAt time.Time
}

// NewRegister returns a register of which nothing is loaded.
func NewRegister() *Register { return &Register{lastSeen: map[string]time.Time{}} }

// Load takes the stored entry; nil if there is none. Versions that are new in it count as seen now.
func (r *Register) Load(now time.Time, e *Entry) {
	r.stored = e
	if e == nil {
		return
	}
	for _, version := range e.Versions {
		if _, known := r.lastSeen[version]; !known {
			r.lastSeen[version] = now
		}
	}
}

// Step takes the era of the store and the versions that are present.
func (r *Register) Step(now time.Time, era int64, present []string) {
	if r.steppedAt.IsZero() {
		r.since = now
	} else if era != r.era {
		r.eraBeganAt = now
	}
	r.era = era
	if !r.steppedAt.IsZero() && now.Sub(r.steppedAt) > maxStepGap {
		r.restart(now)
	}
	r.steppedAt = now
	for _, version := range present {
		r.lastSeen[version] = now
	}
	maps.DeleteFunc(r.lastSeen, func(_ string, at time.Time) bool { return now.Sub(at) >= MaxKeep })
}

// Several reports whether more than one version has been seen within MaxKeep.
func (r *Register) Several() bool { return len(r.lastSeen) > 1 }

// Entry returns the entry to write, if the stored one is to change. first is set if the deployment
// began while this process ran.
func (r *Register) Entry(first bool) (Entry, bool) {
	e := Entry{Versions: slices.Sorted(maps.Keys(r.lastSeen)), Complete: r.steppedAt.Sub(r.since) >= MaxKeep, Era: r.era}
	if r.stored == nil {
		e.Complete = e.Complete || first && !r.broken
		return e, len(e.Versions) > 0
	}
	e.Complete = e.Complete || r.stored.Complete && (r.stored.Era == r.era || r.coversCopy())
	return e, !e.equal(*r.stored)
}

// coversCopy reports whether the pool has been followed since before the copy was made from which the
// store came back.
func (r *Register) coversCopy() bool { return r.eraBeganAt.Sub(r.since) >= maxCopyAge }

// restart begins to follow the pool anew: what was last seen before the gap may have been there in it.
func (r *Register) restart(now time.Time) {
	r.since, r.broken = now, true
	for version := range r.lastSeen {
		r.lastSeen[version] = now
	}
}
