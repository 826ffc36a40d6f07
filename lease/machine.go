package lease

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Machine is one instance's part in a lease.
//
// Invariants: held implies that now is before validUntil at the last Step;
// epochs that Acquired reports strictly grow.
type Machine struct {
	cfg  Config
	want bool
	// look is set while the record is to be known.
	look bool

	// known is the newest record seen, at version and revision, last changed at changedAt.
	known     Record
	version   string
	revision  int64
	exists    bool
	seen      bool
	changedAt time.Time

	held       bool
	epoch      int64
	validUntil time.Time
	renewAt    time.Time

	// lapsed tells that the last acquisition took a lease that had an owner.
	lapsed bool

	// writing is the write under way, sent at sentAt.
	writing *Write
	sentAt  time.Time
	// abandoned is set for a write under way that was made for an earlier era.
	abandoned bool
	// doubtful is set after a write of unknown fate: only what is read next
	// tells what is stored. doubtSince is when the first such write was sent;
	// what is read may be its effect and no later one's.
	doubtful   bool
	doubtSince time.Time
	// lateWrite is set while a write of unknown fate may still land.
	lateWrite bool
	readAt    time.Time

	// era is that of the store. Until settledAt another instance may hold the lease by what
	// the store acknowledged in the era before.
	era       int64
	settledAt time.Time
}

// readEvery is the time between reads while the record is not known. A
// challenger that knows it reads as often as the holder renews.
const readEvery = 500 * time.Millisecond

// NewMachine returns a machine that does not campaign.
func NewMachine(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Held tells whether the lease is held at now, and with which epoch.
func (m *Machine) Held(now time.Time) (epoch int64, held bool) {
	return m.epoch, m.held && now.Before(m.validUntil)
}

// Known returns the newest record seen.
func (m *Machine) Known() Record { return m.known }

// Step applies an event and returns what to do.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Campaign:
		m.want, m.look = e.Want, e.Want || e.Observe
	case Seen:
		actions = m.observe(now, e)
	case Missing:
		m.exists, m.seen = false, true
		m.lateWrite = m.lateWrite || m.doubtful
		m.doubtful = false
	case Wrote:
		actions = m.wrote(now, e)
	case EraChanged:
		actions = m.eraIs(now, e.Era)
	}
	actions = append(actions, m.lapse(now)...)
	return append(actions, m.act(now)...)
}

// eraIs notes the store's era. In a new one nothing holds that the store acknowledged
// before: the lease is lost, and taken again only when whoever holds it by what was
// acknowledged then can hold it no more.
func (m *Machine) eraIs(now time.Time, era int64) []Action {
	if era <= m.era {
		return nil
	}
	m.era = era
	if era <= firstEra {
		return nil
	}
	m.settledAt = now.Add(m.cfg.Duration + m.cfg.ClockDrift)
	m.exists, m.seen, m.doubtful, m.lateWrite, m.revision = false, false, false, false, 0
	m.readAt = time.Time{}
	if m.writing != nil {
		// Whichever era it meets, it shows as what is read.
		m.abandoned = true
	}
	return m.lose()
}

// firstEra is that of a store which has never come back from a copy.
const firstEra = 1

// eraEpochs is how many epochs an era has: those of a later one are above all that endpoints
// have seen in earlier ones, also where the copy shows a lower one.
const eraEpochs = 1 << 32

// nextEpoch is the epoch of the next acquisition. Behind the first era it also grows with the
// record's revision: a write of an earlier era may land late, where its revision is given
// out again, and set the epoch back.
func (m *Machine) nextEpoch() int64 {
	if m.era <= firstEra {
		return m.known.Epoch + 1
	}
	return max(m.known.Epoch, m.eraBase()+m.revision) + 1
}

// eraBase is below all epochs of the era, and not below those of the eras before: a record of
// our own with one of these is a write of an earlier era that has landed late.
func (m *Machine) eraBase() int64 { return max(m.era-firstEra, 0) * eraEpochs }

// observe takes a record that was read. A record that changed restarts the
// wait of a challenger. After a write of unknown fate it tells whether the
// write took effect, and the validity counts from when the write was sent.
func (m *Machine) observe(now time.Time, s Seen) []Action {
	changed := !m.seen || !m.exists || s.Version != m.version
	if changed {
		m.changedAt = now
		defer func() { m.lateWrite = false }()
	}
	m.known, m.version, m.revision, m.exists, m.seen, m.readAt = s.Record, s.Version, s.Revision, true, true, now
	if m.writing != nil {
		return nil
	}
	wasDoubtful := m.doubtful
	m.doubtful = false
	if !changed && wasDoubtful {
		// The write may still be on its way. What is written next is
		// conditional on the same version, so at most one of the two lands.
		m.lateWrite = true
	}
	mine := s.Record.Holder == m.cfg.Holder
	switch {
	case m.held && (!mine || s.Record.Epoch != m.epoch):
		return m.lose()
	case mine && wasDoubtful && changed && s.Record.Epoch > m.eraBase():
		return m.hold(s.Record.Epoch, m.doubtSince)
	default:
		return nil
	}
}

func (m *Machine) wrote(now time.Time, w Wrote) []Action {
	sent := m.writing
	m.writing = nil
	if sent == nil {
		return nil
	}
	if m.abandoned {
		m.abandoned = false
		return nil
	}
	switch w.Result {
	case commit.Done:
		m.known, m.version, m.revision, m.exists, m.seen, m.changedAt = sent.Record, w.Version, w.Revision, true, true, now
		m.doubtful, m.lateWrite = false, false
		if sent.Record.Holder == "" {
			return m.lose()
		}
		return m.hold(sent.Record.Epoch, m.sentAt)
	default:
		// A conflict may be with an earlier write of our own that was late, so
		// it too is settled by reading; until then the old validity counts.
		if !m.lateWrite {
			m.doubtSince = m.sentAt
		}
		m.doubtful = true
		return nil
	}
}

// hold notes that a write sent at sentAt made this instance the holder.
func (m *Machine) hold(epoch int64, sentAt time.Time) []Action {
	was := m.held && m.epoch == epoch
	m.held, m.epoch = true, epoch
	m.validUntil = sentAt.Add(m.cfg.Duration - m.cfg.ClockDrift)
	m.renewAt = sentAt.Add(m.cfg.RenewEvery)
	if was {
		return nil
	}
	return []Action{Acquired{Epoch: epoch, Expired: m.lapsed}}
}

func (m *Machine) lose() []Action {
	if !m.held {
		return nil
	}
	m.held = false
	return []Action{Lost{Epoch: m.epoch}}
}

func (m *Machine) lapse(now time.Time) []Action {
	if m.held && !now.Before(m.validUntil) {
		return m.lose()
	}
	return nil
}

// act starts the next read or write, if one is due.
func (m *Machine) act(now time.Time) []Action {
	switch {
	case m.writing != nil:
		return nil
	case !m.seen && !m.look:
		// What it read now would be old when it wants the lease.
		return nil
	case !m.seen || m.doubtful:
		return m.read(now, readEvery)
	case m.held && !m.want:
		return m.write(now, Record{Epoch: m.epoch, Renewals: m.known.Renewals + 1})
	case m.held && !now.Before(m.renewAt):
		return m.write(now, Record{Holder: m.cfg.Holder, Epoch: m.epoch, Renewals: m.known.Renewals + 1})
	case m.want && !m.held && m.free(now) && now.Sub(m.readAt) < m.cfg.RenewEvery:
		m.lapsed = m.exists && m.known.Holder != ""
		return m.write(now, Record{Holder: m.cfg.Holder, Epoch: m.nextEpoch()})
	case m.want && !m.held:
		return m.read(now, m.cfg.RenewEvery)
	default:
		return nil
	}
}

// free tells whether the lease may be taken.
func (m *Machine) free(now time.Time) bool {
	if now.Before(m.settledAt) {
		return false
	}
	if !m.exists || m.known.Holder == "" {
		return true
	}
	return now.Sub(m.changedAt) >= m.cfg.Duration+m.cfg.ClockDrift
}

func (m *Machine) read(now time.Time, every time.Duration) []Action {
	if now.Sub(m.readAt) < every {
		return nil
	}
	m.readAt = now
	return []Action{Read{}}
}

func (m *Machine) write(now time.Time, r Record) []Action {
	w := Write{Record: r}
	if m.exists {
		w.Version = m.version
	}
	m.writing, m.sentAt = &w, now
	return []Action{w}
}
