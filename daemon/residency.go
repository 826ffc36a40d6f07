package daemon

import (
	"slices"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
)

// residency is which units each endpoint holds, by whichever word came last:
// the endpoint's report, its entry in the platform's list, or that of the
// instance that places units, which knows first.
type residency struct {
	units map[string]heldUnits
}

// heldUnits is what is known of one endpoint.
type heldUnits struct {
	ready []string
	// going are those that get no new requests.
	draining []string
	// entry is what its entry told last; nil if it told nothing yet.
	entry []string
	// epoch is the newest whose word was taken.
	epoch int64
	// startedAtMS is the start of the endpoint that all this is told of: one that is
	// started again holds nothing of before. 0 where nobody tells.
	startedAtMS int64
}

func newResidency() residency { return residency{units: map[string]heldUnits{}} }

// reported takes an endpoint's report and tells whether it was news.
func (r residency) applyReport(endpoint string, ready []string) bool {
	h := r.units[endpoint]
	changed := !sameSet(h.ready, ready)
	h.ready = ready
	r.units[endpoint] = h
	return changed
}

// begin forgets what was known of an endpoint that is another than before, unless the
// instance that places units has told of this start already.
func (r residency) startIncarnation(m membership.Member) {
	if h := r.units[m.Name]; h.startedAtMS == 0 || h.startedAtMS != m.StartedAtMS {
		r.units[m.Name] = heldUnits{startedAtMS: m.StartedAtMS}
	}
}

// listed takes an endpoint's entry. One that has not changed may be behind what
// was told since, and is no news; nor is one of a former start.
func (r residency) applyEntry(m membership.Member) {
	h := r.units[m.Name]
	if m.StartedAtMS < h.startedAtMS {
		return
	}
	if m.Resident == nil || h.entry != nil && sameSet(h.entry, m.Resident) {
		return
	}
	h.entry, h.ready = m.Resident, m.Resident
	r.units[m.Name] = h
}

// placed takes the word of an instance that places units, unless a later one's
// was taken or it tells of a former start, and tells whether it was news.
func (r residency) applyPlacement(p peer.Placement) bool {
	h := r.units[p.Endpoint]
	if p.Epoch < h.epoch || p.StartedAtMS != 0 && p.StartedAtMS < h.startedAtMS {
		return false
	}
	if p.StartedAtMS > h.startedAtMS {
		h = heldUnits{startedAtMS: p.StartedAtMS}
	}
	changed := !sameSet(h.ready, p.Units) || !sameSet(h.draining, p.Draining)
	h.epoch, h.ready, h.draining = p.Epoch, p.Units, p.Draining
	r.units[p.Endpoint] = h
	return changed
}

// serving returns the units that an endpoint takes requests for, which must not be
// changed.
func (r residency) serving(endpoint string) []string {
	h := r.units[endpoint]
	if len(h.draining) == 0 {
		return h.ready
	}
	return slices.DeleteFunc(slices.Clone(h.ready), func(u string) bool { return slices.Contains(h.draining, u) })
}

func (r residency) forget(endpoint string) { delete(r.units, endpoint) }

func sameSet(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	if slices.Equal(a, b) {
		return true
	}
	in := make(map[string]bool, len(a))
	for _, s := range a {
		in[s] = true
	}
	for _, s := range b {
		if !in[s] {
			return false
		}
	}
	return true
}
