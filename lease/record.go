package lease

import (
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Record is what is stored of a lease.
type Record struct {
	// Holder is the instance and its incarnation; empty means released.
	Holder string `json:"holder"`
	// Epoch is the fencing number. It grows with every acquisition.
	Epoch int64 `json:"epoch"`
	// Renewals makes every renewal a change.
	Renewals int64 `json:"renewals"`
}

// Config sets up a Machine.
type Config struct {
	// Holder names this instance and its incarnation.
	Holder string
	// Duration is how long the lease lasts without a renewal.
	Duration time.Duration
	// RenewEvery is the time between renewals.
	RenewEvery time.Duration
	// ClockDrift is what a challenger waits longer, and a holder stops earlier, for
	// clocks that do not run at the same rate.
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

// Seen is the record as read or watched, with its resource version.
type Seen struct {
	Record  Record
	Version string
	// Revision grows with every change of the record within an era; 0 where the store has no
	// eras.
	Revision int64
}

// Missing says that there is no record.
type Missing struct{}

// Wrote is the end of a Write.
type Wrote struct {
	Result commit.Result
	// Version is the new resource version if the write took effect, Revision as in Seen.
	Version  string
	Revision int64
}

// EraChanged tells the era of the store, before what is read or written in it. Each begins when
// the store comes back from a copy some seconds old: what it acknowledged since is gone.
type EraChanged struct{ Era int64 }

// Tick lets time pass.
type Tick struct{}

// Campaign turns the wish to hold the lease on or off. Turning it off while
// holding releases the lease.
type Campaign struct {
	Want bool
	// Observe asks to follow the lease without the wish to hold it, for one who is about to want
	// it: how long it has not been renewed counts from when it was first read.
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

// Read asks for the record.
type Read struct{}

// Write asks for a conditional write; an empty Version means a create.
type Write struct {
	Record  Record
	Version string
}

// Acquired says that the lease is held with this epoch.
type Acquired struct {
	Epoch int64
	// Expired tells that the lease was taken because it had not been renewed, not
	// because it was free.
	Expired bool
}

// Lost says that the lease is no longer held.
type Lost struct{ Epoch int64 }

func (Read) isAction()     {}
func (Write) isAction()    {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
