package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/quarantine"
)

// QuarantineConfig configures when a request that terminates endpoints is quarantined.
type QuarantineConfig struct {
	// Terminations is how many endpoints must have terminated while running a request for it
	// to be quarantined. 0 quarantines none, and a reload with 0 releases all.
	Terminations int `json:"endings"`
	// HoldS is the duration of the first hold, in seconds.
	HoldS float64 `json:"holdS"`
}

// Bounds of QuarantineConfig. With fewer than two terminations, every request that ran during
// a single crash would be held; a hold that takes more than six is not worth having. HoldS is
// bounded so that the longest hold is a day.
const (
	minTerminations, maxTerminations = 2, 6
	maxHoldS                         = 60 * 60
)

func defaultQuarantine() QuarantineConfig {
	return QuarantineConfig{Terminations: quarantine.DefaultLimits.Terminations, HoldS: quarantine.DefaultLimits.Hold.Seconds()}
}

func (c QuarantineConfig) limits() quarantine.Limits {
	return quarantine.Limits{Terminations: c.Terminations, Hold: time.Duration(c.HoldS * float64(time.Second))}
}

func (c *configChecker) quarantine(q QuarantineConfig) {
	if q.Terminations != 0 && (q.Terminations < minTerminations || q.Terminations > maxTerminations) {
		c.addFault("/quarantine/endings", "must be 0 or from 2 to 6")
	}
	if q.HoldS < 1 || q.HoldS > maxHoldS {
		c.addFault("/quarantine/holdS", "must be from 1 to 3600 seconds")
	}
}
