package admission

import (
	"cmp"
	"maps"
	"time"
)

// shares counts the admitted requests that have not ended, by unit and client account. Accounts
// that use the same take turns.
type shares struct {
	units map[string]map[uint32]accountUse
	// turn grows with each admission.
	turn uint64
}

// accountUse is what an account uses of a unit, and when it was last admitted.
type accountUse struct {
	running int64
	turn    uint64
}

// maxIdleAccounts bounds the accounts of a unit that are kept without a running request, for
// their turns.
const maxIdleAccounts = 256

// started counts an admitted waiter, ended one that has ended.
func (s *shares) started(w *Waiter) {
	s.turn++
	s.record(w, 1, s.turn)
}

func (s *shares) ended(w *Waiter) {
	s.record(w, -1, s.of(w).turn)
}

func (s *shares) record(w *Waiter, change int64, turn uint64) {
	if w.Weight == 0 {
		return
	}
	accounts := s.units[w.Unit]
	if accounts == nil {
		accounts = map[uint32]accountUse{}
		s.units[w.Unit] = accounts
	}
	accounts[w.Account] = accountUse{running: max(accounts[w.Account].running+change, 0), turn: turn}
	if len(accounts) > maxIdleAccounts {
		maps.DeleteFunc(accounts, func(_ uint32, u accountUse) bool { return u.running == 0 })
	}
}

// of returns what the waiter's account uses of its unit.
func (s *shares) of(w *Waiter) accountUse { return s.units[w.Unit][w.Account] }

// use returns how much of its unit the waiter's account uses, relative to its weight.
func (s *shares) use(w *Waiter) float64 {
	if w.Weight == 0 {
		return 0
	}
	return float64(s.of(w).running) / float64(w.Weight)
}

// compare orders waiters by who is admitted first.
func (s *shares) compare(now time.Time, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(b.level(now), a.level(now)), cmp.Compare(s.use(a), s.use(b)), cmp.Compare(s.of(a).turn, s.of(b).turn), compare(a, b),
	)
}
