package settings

import (
	"cmp"
	"slices"
)

// precedence orders requests by their callers' priorities and, if those are equal, by
// their own priorities. A higher priority goes first.
type precedence struct{ first, own int }

// ranks maps each precedence that can occur under the settings to a distinct priority, in
// the same order.
type ranks map[precedence]int

// maxPriority is the highest priority in ranks. Once the distinct priorities are used up,
// the remaining precedences share 0.
const maxPriority = 9

func newRanks(t *Tree) ranks {
	if t.Edge == nil {
		return nil
	}
	own := map[int]bool{}
	for _, r := range t.Edge.Routes {
		own[r.Policy.Priority] = true
	}
	callers := map[int]bool{}
	for _, c := range t.Callers {
		if c.Priority != nil {
			callers[*c.Priority] = true
		}
	}
	if len(callers) == 0 {
		return nil
	}
	var all []precedence
	for o := range own {
		all = append(all, precedence{o, o})
		for c := range callers {
			all = append(all, precedence{c, o})
		}
	}
	slices.SortFunc(all, func(a, b precedence) int { return cmp.Or(cmp.Compare(b.first, a.first), cmp.Compare(b.own, a.own)) })
	r := ranks{}
	for _, p := range slices.Compact(all) {
		r[p] = max(maxPriority-len(r), 0)
	}
	return r
}

// Priority returns the effective priority of a request whose own priority is own and whose
// caller has the given priority, nil for none. The caller's priority takes precedence; own
// orders the requests of callers with equal priorities.
func (c *Catalog) Priority(caller *int, own int) int {
	first := own
	if caller != nil {
		first = *caller
	}
	if rank, known := c.ranks[precedence{first, own}]; known {
		return rank
	}
	return first
}
