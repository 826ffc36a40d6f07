package lease

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Record is the stored state of a lease.
type Record struct {
	// Holder is the instance and its incarnation; empty means that the lease is released.
	Holder string `json:"holder"`
	// Epoch is the fencing number. It grows with every acquisition.
	Epoch int64 `json:"epoch"`
	// Renewals counts renewals, so that each one changes the record.
	Renewals int64 `json:"renewals"`
}

// Config sets up a Machine.
type Config struct {
	// Holder identifies this instance and its incarnation.
	Holder string
	// Duration is how long the lease lasts without a renewal.
	Duration time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// ClockDrift is the extra time that a challenger waits, and that a holder stops earlier, to
	// allow for clocks that run at different rates.
	ClockDrift time.Duration
}

// Defaults of Config.
const (
	DefaultDuration   = 6 * time.Second
	DefaultRenewEvery = 2 * time.Second
	DefaultClockDrift = 250 * time.Millisecond
)

// NewConfig returns the defaults for a holder.
func NewConfig(holder string) Config {
	return Config{Holder: holder, Duration: DefaultDuration, RenewEvery: DefaultRenewEvery, ClockDrift: DefaultClockDrift}
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Seen reports the record as read or watched, with its resource version.
type Seen struct {
	Record  Record
	Version string
	// Revision grows with every change of the record within an era; 0 where the store has no
	// eras.
	Revision int64
}

// Missing reports that there is no record.
type Missing struct{}

// Wrote reports the outcome of a Write.
type Wrote struct {
	Result commit.Result
	// Version is the new resource version if the write took effect, Revision as in Seen.
	Version  string
	Revision int64
}

// EraChanged reports the era of the store, before any read or write made in it. An era begins
// when the store is restored from a copy that is some seconds old: writes that it acknowledged
// after the copy was made are lost.
type EraChanged struct{ Era int64 }

// Tick reports only that time has passed.
type Tick struct{}

// Campaign starts or stops the campaign for the lease. Stopping while holding the lease
// releases it.
type Campaign struct {
	Want bool
	// Observe follows the lease without campaigning, for an instance that is about to campaign:
	// the time without a renewal then counts from the first read.
	Observe bool
}

func (Seen) isEvent()       {}
func (Missing) isEvent()    {}
func (Wrote) isEvent()      {}
func (EraChanged) isEvent() {}
func (Tick) isEvent()       {}
func (Campaign) isEvent()   {}

// Action is an output of a Machine.
type Action interface{ isAction() }

// Read requests the record.
type Read struct{}

// Write requests a conditional write; an empty Version means a create.
type Write struct {
	Record  Record
	Version string
}

// Acquired reports that the lease is held with this epoch.
type Acquired struct {
	Epoch int64
	// Expired reports that the lease was taken over because it had not been renewed, not
	// because it was free.
	Expired bool
}

// Lost reports that the lease is no longer held.
type Lost struct{ Epoch int64 }

func (Read) isAction()     {}
func (Write) isAction()    {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
