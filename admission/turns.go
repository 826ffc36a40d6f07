package admission

import (
	"maps"
	"time"

	"github.com/eiderspring/eiderspring/internal/pace"
)

// measure records which waiters were admitted, and for which units others still wait: what is
// admitted while others wait are the places that become free.
func (q *Queue) measure(now time.Time, admitted []*Waiter) {
	for _, w := range admitted {
		if m := q.paces[w.Unit]; m != nil {
			m.Add(1)
		}
	}
	for unit := range q.units {
		if q.paces[unit] == nil {
			q.paces[unit] = &pace.Meter{}
		}
		q.paces[unit].Advance(now, !q.unserved(unit))
	}
	maps.DeleteFunc(q.paces, func(_ string, m *pace.Meter) bool { return m.Forgotten(now) })
}

// emptied records that nothing waits for the unit any more: no time counts from then on.
func (q *Queue) emptied(unit string) {
	delete(q.units, unit)
	if m := q.paces[unit]; m != nil {
		m.SetFull(false)
	}
}

// unserved reports whether no endpoint serves the unit, which its first waiter has been told.
func (q *Queue) unserved(unit string) bool {
	list := q.units[unit]
	return len(list) > 0 && list[0].unserved()
}

// pace returns how many waiters for the unit are admitted in a second; false if that is not known.
func (q *Queue) pace(unit string) (perSecond float64, known bool) {
	m := q.paces[unit]
	if m == nil || q.unserved(unit) {
		return 0, false
	}
	perSecond, observed := m.PerSecond()
	return perSecond, observed && perSecond > 0
}

// turn returns after how long the turn of a waiter comes; 0 if that is not known.
func (q *Queue) turn(w *Waiter) time.Duration {
	rate, known := q.pace(w.Unit)
	if !known {
		return 0
	}
	expected, _ := pace.Wait(float64(q.countAhead(w)+1), rate)
	return expected
}

// refuseOutpaced refuses the waiters whose turn will not come by their StartBy. It is told when it
// would have come: a place is then expected to be free. Whoever lends places decides this for those
// that wait for them.
func (q *Queue) refuseOutpaced(now time.Time) []Refusal {
	var refused []Refusal
	for unit := range q.units {
		refused = append(refused, q.refuseOutpacedOf(now, unit)...)
	}
	return refused
}

func (q *Queue) refuseOutpacedOf(now time.Time, unit string) []Refusal {
	rate, known := q.pace(unit)
	if !known {
		return nil
	}
	var refused []Refusal
	var kept []*Waiter
	for _, w := range q.units[unit] {
		expected, least := pace.Wait(float64(len(kept)+1), rate)
		if w.Number != 0 || !now.Add(least).After(w.StartBy) {
			kept = append(kept, w)
			continue
		}
		q.count--
		q.bytes -= w.Bytes
		refused = append(refused, Refusal{Waiter: w, Reason: ReasonOutpaced, RetryAfter: expected})
	}
	q.units[unit] = kept
	if len(kept) == 0 {
		q.emptied(unit)
	}
	return refused
}
