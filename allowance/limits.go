package allowance

import (
	"time"

	"github.com/eiderspring/eiderspring/settings"
)

// Limits holds the allowance of each account that has one.
type Limits map[AccountHash]settings.Allowance

// LimitsOf returns the limits that settings give.
func LimitsOf(t *settings.Tree) Limits {
	limits := Limits{}
	for name, caller := range t.Callers {
		if caller.Allowance != nil {
			limits[HashAccount(name)] = *caller.Allowance
		}
	}
	return limits
}

// Tolerance is by how much all instances together may temporarily exceed the limits:
// OverFraction of what the rate and the burst allow in Window, and Slack in addition.
type Tolerance struct {
	Window       time.Duration
	OverFraction float64
	Slack        float64
}

// Fractions of the tolerance. The rest covers message delay: requests that are admitted before
// a lower share arrives.
const (
	// burstFraction is added to the burst: an account whose requests are large compared to its
	// limit would otherwise be refused although it is within the limit.
	burstFraction = 0.1
	// noShareFraction is for all instances together that have received no share.
	noShareFraction = 0.2
)

// excess returns by how much the limits of an account may be exceeded in a window.
func (t Tolerance) excess(a settings.Allowance) float64 {
	return t.OverFraction*(a.PerSecond*t.Window.Seconds()+a.Burst) + t.Slack
}

// burst returns what an account may use at once.
func (t Tolerance) burst(a settings.Allowance) float64 { return a.Burst + burstFraction*t.excess(a) }

// evenBurst returns what each instance may admit at once without a share, and evenRate what
// it may then admit per second when it knows nothing else.
func (t Tolerance) evenBurst(a settings.Allowance, instances int) float64 {
	return noShareFraction * t.excess(a) / float64(max(instances, 1))
}

func (t Tolerance) evenRate(a settings.Allowance, instances int) float64 {
	return noShareFraction * t.OverFraction * a.PerSecond / float64(max(instances, 1))
}
