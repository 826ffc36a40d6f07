package broadcast

import "time"

// Budget is a token bucket of the bytes that may be sent to each instance.
type Budget struct {
	// perSecond is what is added, in bytes a second, and most what it holds.
	perSecond, most float64
	level           float64
	at              time.Time
}

// SetRate sets the bytes a second, and for how long unused ones are kept.
func (b *Budget) SetRate(perSecond float64, kept time.Duration) {
	b.perSecond, b.most = perSecond, perSecond*kept.Seconds()
}

// Available is what may be sent at now, below 0 where more was sent.
func (b *Budget) Available(now time.Time) float64 {
	if b.at.IsZero() {
		b.level, b.at = b.most, now
	}
	since := max(now.Sub(b.at), 0).Seconds()
	b.level, b.at = min(b.level+b.perSecond*since, b.most), now
	return b.level
}

// Spend counts what was sent.
func (b *Budget) Spend(bytes int) { b.level -= float64(bytes) }
