package daemon

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
)

// residency tracks which units each endpoint holds, from whichever source reported last: the
// endpoint's load report, its entry in the platform's list, or the placement announced by the
// instance that places units, which knows first.
type residency struct {
	units map[string]heldUnits
	// withdrawn holds the units that placements have withdrawn from endpoints.
	withdrawn withdrawnUnits
	now       func() time.Time
}

// heldUnits is the state of one endpoint.
type heldUnits struct {
	ready []string
	// draining are the units that get no new requests.
	draining []string
	// entry holds the units in the endpoint's last list entry; nil if no entry named any.
	entry []string
	// epoch is the lease epoch of the last placement applied.
	epoch int64
	// startedAtMS identifies the incarnation that this state belongs to, by its start time
	// in Unix milliseconds; 0 where unknown. A restarted endpoint holds no units of its
	// previous incarnation.
	startedAtMS int64
}

func newResidency(now func() time.Time) residency {
	return residency{units: map[string]heldUnits{}, withdrawn: withdrawnUnits{}, now: now}
}

// applyReport applies an endpoint's load report and tells whether the units changed.
func (r residency) applyReport(endpoint string, ready []string) bool {
	h := r.units[endpoint]
	changed := !sameSet(h.ready, ready)
	h.ready = ready
	r.units[endpoint] = h
	return changed
}

// startIncarnation discards the state of an endpoint's previous incarnation, unless a placement
// for the new one was applied already.
func (r residency) startIncarnation(m membership.Member) {
	if h := r.units[m.Name]; h.startedAtMS == 0 || h.startedAtMS != m.StartedAtMS {
		r.units[m.Name] = heldUnits{startedAtMS: m.StartedAtMS}
	}
}

// applyEntry applies an endpoint's list entry. An unchanged entry is ignored, since it may be
// older than a report or placement applied since; so is an entry of a previous incarnation.
func (r residency) applyEntry(m membership.Member) {
	h := r.units[m.Name]
	if m.StartedAtMS < h.startedAtMS {
		return
	}
	if m.Resident == nil || h.entry != nil && sameSet(h.entry, m.Resident) {
		return
	}
	h.entry, h.ready = m.Resident, r.withdrawn.filter(m.Name, m.Resident, r.now())
	r.units[m.Name] = h
}

// applyPlacement applies a placement announced by a lease holder, unless one of a later epoch
// was applied or it is about a previous incarnation. It tells whether the units changed.
func (r residency) applyPlacement(p peer.Placement) bool {
	h := r.units[p.Endpoint]
	if p.Epoch < h.epoch || p.StartedAtMS != 0 && p.StartedAtMS < h.startedAtMS {
		return false
	}
	if p.StartedAtMS > h.startedAtMS {
		h = heldUnits{startedAtMS: p.StartedAtMS}
	}
	changed := !sameSet(h.ready, p.Units) || !sameSet(h.draining, p.Draining)
	r.withdrawn.record(h.ready, p, r.now())
	h.epoch, h.ready, h.draining = p.Epoch, p.Units, p.Draining
	r.units[p.Endpoint] = h
	return changed
}

// serving returns the units for which an endpoint takes requests. The caller must not modify
// the slice.
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
