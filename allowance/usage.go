package allowance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/eiderspring/eiderspring/settings"
)

// AccountHash stands for an account in what instances tell each other. With 1,000 accounts two
// have the same one in fewer than 1 of 10^13 deployments.
type AccountHash uint64

// HashAccount returns the mark of an account.
func HashAccount(account string) AccountHash { return AccountHash(xxhash.Sum64String(account)) }

// AggregatorID stands for the process that adds up, among all that ever run.
type AggregatorID uint64

// standInBit is set in those that stand in for a holder of the lease. Of two adders all go by
// the smaller one, and so by the holder's.
const standInBit = 1 << 63

// HolderAggregatorID returns what stands for a process that holds the lease.
func HolderAggregatorID(process string) AggregatorID {
	return AggregatorID(xxhash.Sum64String(process) &^ standInBit)
}

// StandInAggregatorID returns what stands for a process that stands in while there is no holder.
func StandInAggregatorID(process string) AggregatorID {
	return HolderAggregatorID(process) | standInBit
}

// Usage is what one process has been asked for by an account and has admitted, in the unit
// of the account's allowance, since it first heard the process that adds up now. What was
// admitted and has not run is taken off again.
type Usage struct {
	_                 struct{} `cbor:",toarray"`
	Account           AccountHash
	Offered, Admitted int64
}

// UsageBytes bounds the encoding of a Usage.
const UsageBytes = 1 + 3*9

// Share tells which share of what an account asks can be admitted.
type Share struct {
	_       struct{} `cbor:",toarray"`
	Account AccountHash
	// Permille is the share in thousandths, 1000 for all.
	Permille int64
	// Level is what the account may have at once, Rate what is admitted of it a second.
	Level, Rate int64
}

// ShareBytes bounds the encoding of a Word.
const ShareBytes = 1 + 4*9

// wholeShare is the share of an account below its limit.
const wholeShare = 1000

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

// Tolerance is by how much the sum of all instances may exceed the limits for moments:
// Over times what the rate and the burst allow in Window, and Slack besides.
type Tolerance struct {
	Window       time.Duration
	OverFraction float64
	Slack        float64
}

// Parts of the tolerance. The rest is for what is on its way: requests that are admitted
// before a word comes that they must not be.
const (
	// partOfBurst goes on top of the burst: an account whose requests are large beside its
	// limit would else be refused where it is within it.
	partOfBurst = 0.1
	// partWithoutWord is for all instances together that have heard no word.
	partWithoutWord = 0.2
)

// all is by how much the limits of an account may be exceeded in a window.
func (t Tolerance) all(a settings.Allowance) float64 {
	return t.OverFraction*(a.PerSecond*t.Window.Seconds()+a.Burst) + t.Slack
}

// burst is what an account may have at once.
func (t Tolerance) burst(a settings.Allowance) float64 { return a.Burst + partOfBurst*t.all(a) }

// even is what each of so many instances may admit at once without a word, and evenRate
// what it may go on to admit a second when it knows nothing else.
func (t Tolerance) even(a settings.Allowance, instances int) float64 {
	return partWithoutWord * t.all(a) / float64(max(instances, 1))
}

func (t Tolerance) evenRate(a settings.Allowance, instances int) float64 {
	return partWithoutWord * t.OverFraction * a.PerSecond / float64(max(instances, 1))
}
