package settings

import (
	"cmp"
	"slices"
)

// precedence orders requests: by their callers' priorities and, among those that are alike,
// by their own. Higher goes first.
type precedence struct{ first, own int }

// ranks gives each precedence that settings make possible a priority of its own, in order.
type ranks map[precedence]int

// mostPriority is the highest priority that ranks give; those far behind share 0.
const mostPriority = 9

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
		r[p] = max(mostPriority-len(r), 0)
	}
	return r
}

// Priority is that of a request with a priority of its own whose caller has another, nil for
// none. The caller's goes before its own, which still orders the requests of callers that
// have the same.
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
