package admission

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/internal/pace"
)

// Limits bound a queue.
type Limits struct {
	// MaxWaiters is the largest number of waiting requests.
	MaxWaiters int
	// MaxBytes is the largest total size of their bodies.
	MaxBytes int
}

// Queue holds the waiting requests of one pool.
//
// Invariants: every list in units is sorted by compare and not empty; count and bytes are
// the totals over all lists and stay within limits.
type Queue struct {
	limits Limits
	units  map[string][]*Waiter
	// paces measure by unit how fast those that wait are admitted.
	paces  map[string]*pace.Meter
	shares shares
	count  int
	bytes  int
}

// NewQueue returns an empty queue.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, units: map[string][]*Waiter{}, paces: map[string]*pace.Meter{}, shares: shares{units: map[string]map[uint32]accountUse{}}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.count }

// Waiting reports whether requests for the unit are waiting.
func (q *Queue) Waiting(unit string) bool { return len(q.units[unit]) > 0 }

// Waiters returns the requests that wait for the unit in order. The result must not be modified.
func (q *Queue) Waiters(unit string) []*Waiter { return q.units[unit] }

// Enqueue adds a waiter to the queue and returns the waiters refused for it: either the
// new one, or waiters of lower rank that are removed to make room.
func (q *Queue) Enqueue(w *Waiter) []Refusal {
	var refused []Refusal
	if w.Bounded && q.countAhead(w) > w.MaxAhead {
		return append(refused, Refusal{Waiter: w, Reason: ReasonTooManyAhead})
	}
	for q.count+1 > q.limits.MaxWaiters || q.bytes+w.Bytes > q.limits.MaxBytes {
		last := q.last()
		if last == nil || compare(w, last) >= 0 {
			return append(refused, Refusal{Waiter: w, Reason: ReasonQueueFull})
		}
		q.remove(last)
		refused = append(refused, Refusal{Waiter: last, Reason: ReasonQueueFull})
	}
	q.insert(w)
	return refused
}

// Admit admits waiters in order as long as take reserves a slot for them: by level, then those of
// the account that uses least for its weight, then by rank. It also refuses waiters whose StartBy
// has passed, or passes before their turn comes at the pace at which others were admitted.
func (q *Queue) Admit(now time.Time, take func(*Waiter) bool) (admitted []*Waiter, refused []Refusal) {
	refused = q.expire(now)
	q.lowerLate(now)
	full := make(map[string]bool)
	for {
		w := q.first(now, full)
		if w == nil {
			q.measure(now, admitted)
			return admitted, append(refused, q.refuseOutpaced(now)...)
		}
		if !take(w) {
			full[w.Unit] = true
			continue
		}
		q.remove(w)
		q.shares.started(w)
		admitted = append(admitted, w)
	}
}

// Started records that a waiter was admitted without having been queued, Ended that one that
// was admitted has ended.
func (q *Queue) Started(w *Waiter) { q.shares.started(w) }

// Ended is the counterpart of Started and Admit.
func (q *Queue) Ended(w *Waiter) { q.shares.ended(w) }

// front returns up to n waiters for a unit: the first by rank, but so that no account has more
// than a quarter of them while others wait.
func (q *Queue) front(unit string, n int) []*Waiter {
	list := q.units[unit]
	if len(list) <= n {
		return list
	}
	perAccount := max(n/4, 1)
	var front, behind []*Waiter
	taken := map[uint32]int{}
	for _, w := range list {
		if taken[w.Account]++; taken[w.Account] > perAccount {
			behind = append(behind, w)
			continue
		}
		if front = append(front, w); len(front) == n {
			return front
		}
	}
	return append(front, behind[:n-len(front)]...)
}

// Cancel removes a waiter and reports whether it was still queued.
func (q *Queue) Cancel(w *Waiter) bool { return q.remove(w) }

// Clear removes and refuses all waiters.
func (q *Queue) Clear(reason Reason) []Refusal {
	var refused []Refusal
	for _, list := range q.units {
		for _, w := range list {
			refused = append(refused, Refusal{Waiter: w, Reason: reason})
		}
	}
	for unit := range q.units {
		q.emptied(unit)
	}
	q.count, q.bytes = 0, 0
	return refused
}

// expire refuses the waiters whose StartBy has passed.
func (q *Queue) expire(now time.Time) []Refusal {
	var refused []Refusal
	for _, list := range q.units {
		for _, w := range slices.Clone(list) {
			if now.Before(w.StartBy) {
				continue
			}
			after := q.turn(w)
			q.remove(w)
			refused = append(refused, Refusal{Waiter: w, Reason: ReasonExpired, RetryAfter: after})
		}
	}
	slices.SortFunc(refused, func(a, b Refusal) int { return compare(a.Waiter, b.Waiter) })
	return refused
}

// lowerLate gives the waiters that can no longer meet their targets their lower place.
func (q *Queue) lowerLate(now time.Time) {
	for _, list := range q.units {
		for _, w := range slices.Clone(list) {
			if w.missesTarget(now) {
				q.remove(w)
				w.Late = true
				q.insert(w)
			}
		}
	}
}

// RemoveHopeless removes and refuses the waiters that are known not to start in their time.
func (q *Queue) RemoveHopeless() []Refusal {
	var refused []Refusal
	for _, list := range q.units {
		for _, w := range slices.Clone(list) {
			if w.hopeless() {
				q.remove(w)
				refused = append(refused, Refusal{Waiter: w, Reason: ReasonCannotStart})
			}
		}
	}
	slices.SortFunc(refused, func(a, b Refusal) int { return compare(a.Waiter, b.Waiter) })
	return refused
}

// countAhead returns the number of waiters for the same unit that go before w.
func (q *Queue) countAhead(w *Waiter) int {
	i, _ := slices.BinarySearchFunc(q.units[w.Unit], w, compare)
	return i
}

func (q *Queue) insert(w *Waiter) {
	list := q.units[w.Unit]
	i, _ := slices.BinarySearchFunc(list, w, compare)
	q.units[w.Unit] = slices.Insert(list, i, w)
	q.count++
	q.bytes += w.Bytes
}

func (q *Queue) remove(w *Waiter) bool {
	list := q.units[w.Unit]
	i, found := slices.BinarySearchFunc(list, w, compare)
	if !found {
		return false
	}
	q.count--
	q.bytes -= w.Bytes
	if len(list) == 1 {
		q.emptied(w.Unit)
		return true
	}
	q.units[w.Unit] = slices.Delete(list, i, i+1)
	return true
}

// first returns the first waiter in order whose unit is not in skip.
func (q *Queue) first(now time.Time, skip map[string]bool) *Waiter {
	var best *Waiter
	for unit, list := range q.units {
		if skip[unit] {
			continue
		}
		if w := q.firstOf(now, list); best == nil || q.shares.compare(now, w, best) < 0 {
			best = w
		}
	}
	return best
}

// firstOf returns the first waiter in order of a list, which is sorted by compare. Where accounts
// do not share, that is its head.
func (q *Queue) firstOf(now time.Time, list []*Waiter) *Waiter {
	best := list[0]
	if best.Weight == 0 {
		return best
	}
	for _, w := range list[1:] {
		if q.shares.compare(now, w, best) < 0 {
			best = w
		}
	}
	return best
}

func (q *Queue) last() *Waiter {
	var worst *Waiter
	for _, list := range q.units {
		if w := list[len(list)-1]; worst == nil || compare(w, worst) > 0 {
			worst = w
		}
	}
	return worst
}
