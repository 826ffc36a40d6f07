package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/quarantine"
)

// QuarantineConfig says when a request that ends endpoints is held back.
type QuarantineConfig struct {
	// Endings is how many endpoints must have ended under a request for it to be held
	// back; 0 holds none, and a reload with it releases all.
	Terminations int `json:"endings"`
	// HoldS is for how long it is held at first, in seconds.
	HoldS float64 `json:"holdS"`
}

// Bounds of QuarantineConfig: fewer than two endings would hold whatever ran beside one
// crash, and more than six are not worth a hold. HoldS is bounded so that the longest
// hold is a day.
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
