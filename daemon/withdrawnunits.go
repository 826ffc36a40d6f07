package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/peer"
)

// withdrawnUnits holds, by endpoint, when placements last withdrew each unit. An endpoint
// rejects requests for a unit that it is unloading, while its list entry may still name the unit:
// entries are written about once a second, and an outage of the store delays them further.
// Without this record a late entry would attract requests that the endpoint rejects at once.
type withdrawnUnits map[string]map[string]time.Time

// maxEntryDelay is how old a list entry may be when it arrives.
const maxEntryDelay = 10 * time.Second

// record records the units that a placement withdraws from an endpoint that had the given units
// ready, and clears those that the placement lists as ready.
func (w withdrawnUnits) record(ready []string, p peer.Placement, now time.Time) {
	units := w[p.Endpoint]
	if units == nil {
		units = map[string]time.Time{}
	}
	maps.DeleteFunc(units, func(_ string, at time.Time) bool { return now.Sub(at) >= maxEntryDelay })
	for _, unit := range ready {
		units[unit] = now
	}
	for _, unit := range p.Units {
		delete(units, unit)
	}
	for _, unit := range p.Draining {
		units[unit] = now
	}
	if len(units) == 0 {
		delete(w, p.Endpoint)
		return
	}
	w[p.Endpoint] = units
}

// filter returns the units of an endpoint's list entry that have not been withdrawn since the
// entry may have been written.
func (w withdrawnUnits) filter(endpoint string, units []string, now time.Time) []string {
	withdrawn := w[endpoint]
	if len(withdrawn) == 0 {
		return units
	}
	return slices.DeleteFunc(slices.Clone(units), func(unit string) bool {
		at, known := withdrawn[unit]
		return known && now.Sub(at) < maxEntryDelay
	})
}
