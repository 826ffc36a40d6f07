package counted

import "time"

// missingModel is a model that is requested and has no replica.
type missingModel struct{ since, seenAt time.Time }

// missingGap is the time after which a model that was not seen missing counts as found.
const missingGap = time.Second

// noteMissing notes that a requested model has no replica.
func (c *Controller) noteMissing(now time.Time, model string) {
	m := c.missing[model]
	if now.Sub(m.seenAt) > missingGap {
		m.since = now
	}
	m.seenAt = now
	c.missing[model] = m
}

// missingFor returns for how long a requested model has had no replica.
func (c *Controller) missingFor(now time.Time, model string) time.Duration {
	m, known := c.missing[model]
	if !known || now.Sub(m.seenAt) > missingGap {
		return 0
	}
	return now.Sub(m.since)
}
