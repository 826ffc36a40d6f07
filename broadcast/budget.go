package broadcast

import "time"

// Budget is a token bucket of the bytes that may be sent to each instance.
type Budget struct {
	// perSecond is the refill rate in bytes a second, capacity the size of the bucket.
	perSecond, capacity float64
	level               float64
	at                  time.Time
}

// SetRate sets the rate in bytes a second, and for how long unused bytes accumulate.
func (b *Budget) SetRate(perSecond float64, burst time.Duration) {
	b.perSecond, b.capacity = perSecond, perSecond*burst.Seconds()
}

// Available returns the bytes that may be sent at now; negative if more were sent.
func (b *Budget) Available(now time.Time) float64 {
	if b.at.IsZero() {
		b.level, b.at = b.capacity, now
	}
	since := max(now.Sub(b.at), 0).Seconds()
	b.level, b.at = min(b.level+b.perSecond*since, b.capacity), now
	return b.level
}

// Spend removes bytes that were sent.
func (b *Budget) Spend(bytes int) { b.level -= float64(bytes) }
