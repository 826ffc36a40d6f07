package credit

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// candidate is a waiting request of a borrower.
type candidate struct {
	Want
	borrower *borrower
}

// queue yields the waiting requests of all borrowers in the order in which they get places: by
// priority as raised by age and lowered for a missed target, then those of the account that uses
// least for its weight, then by age. An account's use grows with each place
// that its requests get, so that accounts which want more than their share take turns, and
// what one doesn't want is left to the others.
type queue struct {
	// classes are the waiting requests, by what goes before the accounts' use.
	classes []class
	uses    map[uint32]int64
}

// class are waiting requests of which the accounts' use decides.
type class struct {
	candidates []candidate
	accounts   accountHeap
}

// accountQueue are the waiting requests of one account, the oldest first.
type accountQueue struct {
	account    uint32
	candidates []candidate
	uses       map[uint32]int64
}

// load returns the account's use for its weight, after one more place.
func (q *accountQueue) load() float64 {
	return float64(q.uses[q.account]+1) / float64(q.candidates[0].Weight)
}

// newQueue returns the queue of a lending's waiting requests. Of each borrower the first are left
// out for which it holds credits, and all if it has not renewed its ask.
func (d *lending) newQueue(now time.Time) *queue {
	var all []candidate
	uses := map[uint32]int64{}
	for _, b := range d.list {
		for _, u := range b.ask.Uses {
			uses[u.Account] += u.Running
		}
		if now.Sub(b.askedAt) >= creditLifetime {
			continue
		}
		credits := max(b.reserved()-b.ask.Running, 0)
		for i, w := range b.ask.Wants {
			if int64(i) < credits {
				uses[w.Account]++
				continue
			}
			all = append(all, candidate{w, b})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return compareCandidates(a, b) })
	return &queue{classes: splitClasses(all), uses: uses}
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(compareClass(a.Want, b.Want), cmp.Compare(b.AgeMS, a.AgeMS), cmp.Compare(a.borrower.process, b.borrower.process), cmp.Compare(a.ID, b.ID))
}

func splitClasses(all []candidate) (classes []class) {
	for i, c := range all {
		if i == 0 || compareClass(all[i-1].Want, c.Want) != 0 {
			classes = append(classes, class{})
		}
		last := &classes[len(classes)-1]
		last.candidates = append(last.candidates, c)
	}
	return classes
}

// next returns the request that goes next, and counts a place as used by its account.
func (q *queue) next() (c candidate, found bool) {
	for len(q.classes) > 0 {
		first := &q.classes[0]
		if first.candidates != nil {
			first.split(q.uses)
		}
		if len(first.accounts) > 0 {
			return first.accounts.pop(), true
		}
		q.classes = q.classes[1:]
	}
	return candidate{}, false
}

// split sorts the requests of a class by account.
func (k *class) split(uses map[uint32]int64) {
	byAccount := map[uint32]*accountQueue{}
	for _, c := range k.candidates {
		q := byAccount[c.Account]
		if q == nil {
			q = &accountQueue{account: c.Account, uses: uses}
			byAccount[c.Account] = q
			k.accounts = append(k.accounts, q)
		}
		q.candidates = append(q.candidates, c)
	}
	k.candidates = nil
	heap.Init(&k.accounts)
}

// accountHeap orders accounts by their use, then by their oldest request.
type accountHeap []*accountQueue

// pop removes the first request of the first account.
func (h *accountHeap) pop() candidate {
	q := (*h)[0]
	c := q.candidates[0]
	q.candidates = q.candidates[1:]
	q.uses[q.account]++
	if len(q.candidates) == 0 {
		heap.Pop(h)
	} else {
		heap.Fix(h, 0)
	}
	return c
}

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if a, b := h[i].load(), h[j].load(); a != b {
		return a < b
	}
	return compareCandidates(h[i].candidates[0], h[j].candidates[0]) < 0
}

func (h accountHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop are called by package heap only.
func (h *accountHeap) Push(x any) { *h = append(*h, x.(*accountQueue)) }

func (h *accountHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
