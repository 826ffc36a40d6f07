package condition

import (
	"cmp"
	"slices"
	"time"
)

// WithheldReport is what an instance, or the coordinator, reports of a unit that an endpoint
// withholds: it rejects requests for the unit although it holds it and has room.
type WithheldReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	Unit        string
	// RemainingMS is for how much longer the endpoint gets no request for the unit.
	RemainingMS int64
}

// EncodedSize returns an upper bound of the report's size in a packet, in bytes.
func (r WithheldReport) EncodedSize() int {
	const heads = 1 + 2 + 9 + 2 + 3
	return heads + len(r.Endpoint) + len(r.Unit)
}

const (
	// withheldBase and withheldMax bound for how long an endpoint gets no request for a unit
	// that it withholds. An unload waits for the running requests of the unit, so the time
	// doubles with each rejection.
	withheldBase = 400 * time.Millisecond
	withheldMax  = 3200 * time.Millisecond
	// withheldSends is how often each report is sent, as packets may be lost.
	withheldSends = 2
	// maxWithheld bounds the units that are known to be withheld.
	maxWithheld = 1000
)

// withheldKey names a unit at an endpoint.
type withheldKey struct {
	Key
	unit string
}

type withholding struct {
	pause time.Duration
	until time.Time
	// unsent is how often the report is still to be sent.
	unsent int
}

// Withheld keeps which units endpoints withhold. The zero value is empty.
type Withheld struct {
	units map[withheldKey]withholding
}

// Record records that an endpoint has rejected a unit at now, and returns until when it is to get
// no request for it. Rejections of requests that were under way already do not extend this.
func (w *Withheld) Record(now time.Time, k Key, unit string) (until time.Time) {
	id := withheldKey{k, unit}
	known, found := w.units[id]
	if found && now.Before(known.until) {
		return known.until
	}
	next := withholding{pause: withheldBase, unsent: withheldSends}
	if found && now.Sub(known.until) < known.pause {
		next.pause = min(2*known.pause, withheldMax)
	}
	next.until = now.Add(next.pause)
	w.put(now, id, next)
	return next.until
}

// Receive records another instance's report and returns until when it counts. With forward it is
// reported on.
func (w *Withheld) Receive(now time.Time, r WithheldReport, forward bool) (k Key, until time.Time) {
	id := withheldKey{Key{r.Endpoint, r.StartedAtMS}, r.Unit}
	remaining := min(max(time.Duration(r.RemainingMS)*time.Millisecond, 0), withheldMax)
	next := withholding{pause: max(remaining, withheldBase), until: now.Add(remaining)}
	known, found := w.units[id]
	if found && known.until.Add(withheldSlack).After(next.until) {
		return id.Key, known.until
	}
	if found {
		next.pause = max(next.pause, known.pause)
	}
	if forward {
		next.unsent = withheldSends
	}
	w.put(now, id, next)
	return id.Key, next.until
}

// withheldSlack is by how much later a report must end to be news.
const withheldSlack = 100 * time.Millisecond

// Served records that an endpoint serves a unit.
func (w *Withheld) Served(k Key, unit string) { delete(w.units, withheldKey{k, unit}) }

// Known returns the number of units that are withheld, or were recently.
func (w *Withheld) Known() int { return len(w.units) }

func (w *Withheld) put(now time.Time, id withheldKey, next withholding) {
	if w.units == nil {
		w.units = map[withheldKey]withholding{}
	}
	for old, v := range w.units {
		if now.Sub(v.until) > v.pause {
			delete(w.units, old)
		}
	}
	if len(w.units) < maxWithheld {
		w.units[id] = next
	}
}

// Reports returns the reports to send now, in at most bytes.
func (w *Withheld) Reports(now time.Time, bytes int) []WithheldReport {
	var due []withheldKey
	for id, v := range w.units {
		if v.unsent > 0 && v.until.Sub(now) > withheldSlack {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b withheldKey) int {
		return cmp.Or(cmp.Compare(w.units[b].unsent, w.units[a].unsent), cmp.Compare(a.Name, b.Name), cmp.Compare(a.unit, b.unit))
	})
	var out []WithheldReport
	for _, id := range due {
		v := w.units[id]
		r := WithheldReport{Endpoint: id.Name, StartedAtMS: id.StartedAtMS, Unit: id.unit, RemainingMS: v.until.Sub(now).Milliseconds()}
		if bytes -= r.EncodedSize(); bytes < 0 {
			break
		}
		v.unsent--
		w.units[id] = v
		out = append(out, r)
	}
	return out
}
