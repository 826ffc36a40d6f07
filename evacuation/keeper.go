package evacuation

import (
	"cmp"
	"maps"
	"slices"
)

// Version is a version of the store: a revision within one of its eras. The zero value is
// before all others.
type Version struct{ Era, Revision int64 }

// Compare is negative if v is before o, positive if it is after it.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Revision, o.Revision))
}

// Set is the evacuated failure domains as of a version, in order.
type Set struct {
	Version Version
	Domains []string
}

// Event is an input of Keeper.
type Event interface{ isEvent() }

// Listed is the whole list of the store.
type Listed struct{ Set Set }

// Changed is what has changed in the store between the last Listed or Changed and a version.
type Changed struct {
	Version Version
	// Domains tells of each domain that changed whether it is evacuated now.
	Domains map[string]bool
}

// Announced is the word of another instance.
type Announced struct{ Set Set }

func (Listed) isEvent()    {}
func (Changed) isEvent()   {}
func (Announced) isEvent() {}

// Tracker keeps the set that is in force. Its zero value knows of none.
//
// Invariants: the version in force never goes back; changes apply to what the own watch has
// brought, never to the word of another.
type Tracker struct {
	watched Set
	inForce Set
}

// Step applies an event and tells whether other domains are evacuated than before.
func (k *Tracker) Step(e Event) (changed bool) {
	switch e := e.(type) {
	case Listed:
		k.watched = e.Set
		return k.adopt(e.Set)
	case Changed:
		k.watched = k.watched.apply(e)
		return k.adopt(k.watched)
	case Announced:
		return k.adopt(e.Set)
	default:
		return false
	}
}

// InForce is the set that is in force, which must not be changed.
func (k *Tracker) InForce() Set { return k.inForce }

// adopt puts a set in force unless a newer one is.
func (k *Tracker) adopt(s Set) (changed bool) {
	if s.Version.Compare(k.inForce.Version) < 0 {
		return false
	}
	changed = !slices.Equal(s.Domains, k.inForce.Domains)
	k.inForce = s
	return changed
}

// apply returns the set behind some changes.
func (s Set) apply(c Changed) Set {
	domains := make(map[string]bool, len(s.Domains))
	for _, d := range s.Domains {
		domains[d] = true
	}
	maps.Copy(domains, c.Domains)
	maps.DeleteFunc(domains, func(_ string, evacuated bool) bool { return !evacuated })
	return Set{Version: c.Version, Domains: slices.Sorted(maps.Keys(domains))}
}
