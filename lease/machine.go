package lease

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Machine runs the lease protocol for one instance.
//
// Invariants: if held is set, the time of the last Step was before validUntil; the epochs that
// Acquired reports strictly grow.
type Machine struct {
	cfg         Config
	campaigning bool
	// observing is set while the record must be kept up to date.
	observing bool

	// record is the newest record read or written, stored with version and revision, and
	// changedAt is when it was last seen to change. exists reports whether the store has a
	// record, known whether that has been read at all.
	record    Record
	version   string
	revision  int64
	exists    bool
	known     bool
	changedAt time.Time

	held       bool
	epoch      int64
	validUntil time.Time
	renewAt    time.Time
	// releasing is set from the release of the lease until it is acquired again: it is not used any
	// more, whether or not the release is known to have taken effect.
	releasing bool

	// expired reports that the last acquisition took over a lease that still had a holder.
	expired bool

	// inFlight is the write in flight, sent at sentAt.
	inFlight *Write
	sentAt   time.Time
	// inFlightStale is set if the write in flight was issued for an earlier era.
	inFlightStale bool
	// uncertain is set after a write whose outcome is unknown: only the next read shows what is
	// stored. uncertainSince is when the first such write was sent; what is read may be the
	// effect of that write and of no later one.
	uncertain      bool
	uncertainSince time.Time
	// lateWrite is set while a write whose outcome is unknown may still take effect.
	lateWrite bool
	readAt    time.Time

	// era is the era of the store. Before availableFrom, another instance may still hold the
	// lease by a write that the store acknowledged in the previous era.
	era           int64
	availableFrom time.Time
}

// readInterval is the time between reads while the record is not known. A challenger that knows
// the record reads as often as the holder renews.
const readInterval = 500 * time.Millisecond

// NewMachine returns a machine that does not campaign.
func NewMachine(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Held reports whether the lease is held at now, and with which epoch.
func (m *Machine) Held(now time.Time) (epoch int64, held bool) {
	return m.epoch, m.held && now.Before(m.validUntil)
}

// Known returns the newest record read or written.
func (m *Machine) Known() Record { return m.record }

// Step applies an event and returns what to do.
func (m *Machine) Step(now time.Time, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case Campaign:
		m.campaigning, m.observing = e.Want, e.Want || e.Observe
	case Seen:
		actions = m.observe(now, e)
	case Missing:
		m.exists, m.known = false, true
		m.lateWrite = m.lateWrite || m.uncertain
		m.uncertain = false
	case Wrote:
		actions = m.wrote(now, e)
	case EraChanged:
		actions = m.changeEra(now, e.Era)
	}
	actions = append(actions, m.expire(now)...)
	return append(actions, m.nextAction(now)...)
}

// changeEra records the store's era. Nothing that the store acknowledged in an earlier era
// counts in a new one: the lease is lost, and may only be acquired again once a holder by such
// a write can no longer hold it.
func (m *Machine) changeEra(now time.Time, era int64) []Action {
	if era <= m.era {
		return nil
	}
	m.era = era
	if era <= firstEra {
		return nil
	}
	m.availableFrom = now.Add(m.cfg.Duration + m.cfg.ClockDrift)
	m.exists, m.known, m.uncertain, m.lateWrite, m.revision = false, false, false, false, 0
	m.readAt = time.Time{}
	if m.inFlight != nil {
		// The next read shows its effect, whichever era it reached.
		m.inFlightStale = true
	}
	return m.loseLease()
}

// firstEra is the era of a store that has never been restored from a copy.
const firstEra = 1

// epochsPerEra is the number of epochs in an era. All epochs of an era are above those that
// endpoints have seen in earlier eras, even if the restored copy holds a lower epoch.
const epochsPerEra = 1 << 32

// nextEpoch returns the epoch of the next acquisition. After the first era it also grows with
// the record's revision: a late write of an earlier era may take effect at a revision that is
// assigned a second time, and set the epoch back.
func (m *Machine) nextEpoch() int64 {
	if m.era <= firstEra {
		return m.record.Epoch + 1
	}
	return max(m.record.Epoch, m.eraBase()+m.revision) + 1
}

// eraBase is below all epochs of the era, and not below those of earlier eras: a record with
// this instance as holder and an epoch up to eraBase is a late write of an earlier era.
func (m *Machine) eraBase() int64 { return max(m.era-firstEra, 0) * epochsPerEra }

// observe applies a record that was read. A changed record restarts the wait of a challenger.
// After a write whose outcome is unknown, the record shows whether the write took effect; the
// validity then counts from when that write was sent.
func (m *Machine) observe(now time.Time, s Seen) []Action {
	changed := !m.known || !m.exists || s.Version != m.version
	if changed {
		m.changedAt = now
		defer func() { m.lateWrite = false }()
	}
	m.record, m.version, m.revision, m.exists, m.known, m.readAt = s.Record, s.Version, s.Revision, true, true, now
	if m.inFlight != nil {
		return nil
	}
	wasUncertain := m.uncertain
	m.uncertain = false
	if !changed && wasUncertain {
		// The write may still take effect. The next write is conditional on the same version,
		// so at most one of the two succeeds.
		m.lateWrite = true
	}
	mine := s.Record.Holder == m.cfg.Holder
	switch {
	case m.held && (!mine || s.Record.Epoch != m.epoch):
		return m.loseLease()
	case m.releasing && s.Record.Epoch <= m.epoch:
		return nil
	case mine && wasUncertain && changed && s.Record.Epoch > m.eraBase():
		return m.acquire(s.Record.Epoch, m.uncertainSince)
	default:
		return nil
	}
}

func (m *Machine) wrote(now time.Time, w Wrote) []Action {
	sent := m.inFlight
	m.inFlight = nil
	if sent == nil {
		return nil
	}
	if m.inFlightStale {
		m.inFlightStale = false
		return nil
	}
	switch w.Result {
	case commit.Done:
		m.record, m.version, m.revision, m.exists, m.known, m.changedAt = sent.Record, w.Version, w.Revision, true, true, now
		m.uncertain, m.lateWrite = false, false
		if sent.Record.Holder == "" {
			return m.loseLease()
		}
		return m.acquire(sent.Record.Epoch, m.sentAt)
	default:
		// A conflict may be caused by a late write of this instance itself, so it too is
		// resolved by reading; until then the previous validity stands.
		if !m.lateWrite {
			m.uncertainSince = m.sentAt
		}
		m.uncertain = true
		return nil
	}
}

// acquire records that a write sent at sentAt made this instance the holder.
func (m *Machine) acquire(epoch int64, sentAt time.Time) []Action {
	alreadyHeld := m.held && m.epoch == epoch
	m.held, m.epoch, m.releasing = true, epoch, false
	m.validUntil = sentAt.Add(m.cfg.Duration - m.cfg.ClockDrift)
	m.renewAt = sentAt.Add(m.cfg.RenewEvery)
	if alreadyHeld {
		return nil
	}
	return []Action{Acquired{Epoch: epoch, Expired: m.expired}}
}

func (m *Machine) loseLease() []Action {
	if !m.held {
		return nil
	}
	m.held = false
	return []Action{Lost{Epoch: m.epoch}}
}

func (m *Machine) expire(now time.Time) []Action {
	if m.held && !now.Before(m.validUntil) {
		return m.loseLease()
	}
	return nil
}

// nextAction returns the next read or write, if one is due.
func (m *Machine) nextAction(now time.Time) []Action {
	switch {
	case m.inFlight != nil:
		return nil
	case !m.known && !m.observing:
		// The record would be out of date by the time the instance campaigns.
		return nil
	case !m.known || m.uncertain:
		return m.read(now, readInterval)
	case !m.campaigning && (m.held || m.releaseFailed()):
		return m.release(now)
	case m.held && !now.Before(m.renewAt):
		return m.write(now, Record{Holder: m.cfg.Holder, Epoch: m.epoch, Renewals: m.record.Renewals + 1})
	case m.campaigning && !m.held && m.available(now) && now.Sub(m.readAt) < m.cfg.RenewEvery:
		m.expired = m.exists && m.record.Holder != ""
		return m.write(now, Record{Holder: m.cfg.Holder, Epoch: m.nextEpoch()})
	case m.campaigning && !m.held:
		return m.read(now, m.cfg.RenewEvery)
	default:
		return nil
	}
}

// release ends the use of the lease and then gives it up in the store: its successor may acquire it as
// soon as the write takes effect, which this instance may learn late.
func (m *Machine) release(now time.Time) []Action {
	m.releasing = true
	return append(m.loseLease(), m.write(now, Record{Epoch: m.epoch, Renewals: m.record.Renewals + 1})...)
}

// releaseFailed reports whether a release has not taken effect.
func (m *Machine) releaseFailed() bool {
	return m.releasing && m.record.Holder == m.cfg.Holder && m.record.Epoch == m.epoch
}

// available reports whether the lease may be acquired.
func (m *Machine) available(now time.Time) bool {
	if now.Before(m.availableFrom) {
		return false
	}
	if !m.exists || m.record.Holder == "" {
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
	m.inFlight, m.sentAt = &w, now
	return []Action{w}
}
