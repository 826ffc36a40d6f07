package daemon

import (
	"maps"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// applyEvacuations merges the failure domains evacuated by the platform and by the settings
// into the view, and reports whether the set changed.
func (d *viewTask) applyEvacuations() bool {
	next := make(map[string]bool, len(d.platformEvacuated))
	for _, domain := range d.platformEvacuated {
		next[domain] = true
	}
	if d.resolved != nil {
		for _, domain := range d.resolved.Tree.Evacuated {
			next[domain] = true
		}
	}
	if maps.Equal(next, d.evacuated) {
		return false
	}
	for domain := range d.evacuated {
		if !next[domain] {
			d.noteRestored(domain)
		}
	}
	d.evacuated = next
	d.list.SetEvacuated(next)
	d.log.Info("evacuated", "failure_domains", slices.Sorted(maps.Keys(next)))
	return true
}

// noteRestored records that the evacuation of a failure domain ended: its endpoints may be cold.
func (d *viewTask) noteRestored(domain string) {
	if d.warming == nil {
		d.warming = map[string]bool{}
	}
	d.warming[domain] = true
}

// noteColdEntry records an endpoint entry that newly reports the endpoint as cold.
func (d *viewTask) noteColdEntry(c membership.Change) {
	if c.Member.ColdMS == 0 || c.Member.State == membership.Gone {
		return
	}
	if d.coldReported == nil {
		d.coldReported = map[string]int64{}
	}
	d.coldReported[c.Member.Name] = c.Member.ColdMS
}

// reportCold reports an endpoint as cold if its entry says so or if the evacuation of its
// failure domain has just ended.
func (d *viewTask) reportCold(m membership.Member, e *routing.Endpoint, pool *settings.Pool) {
	remaining := time.Duration(d.coldReported[m.Name]) * time.Millisecond
	if d.warming[m.FailureDomain] {
		remaining = max(remaining, pool.ColdStart())
	}
	if d.onCold != nil && pool.ColdPerSecond > 0 && remaining > 0 {
		d.onCold(e, pool.ColdPerSecond, remaining)
	}
}

// noteOpenRegion marks the region of an endpoint that is not evacuated as open for its pool.
func noteOpenRegion(v *routing.View, m membership.Member, e *routing.Endpoint) {
	if v.OpenRegions[m.Pool] == nil {
		v.OpenRegions[m.Pool] = map[string]bool{}
	}
	if !m.Evacuated {
		v.OpenRegions[m.Pool][e.Region] = true
	}
}

// evacuationStats is the operators' metric on evacuated failure domains.
type evacuationStats struct {
	FailureDomains []string `json:"failure_domains"`
	// Running counts the requests of this instance that still run in those domains. A domain
	// is empty once all instances report 0.
	Running int64 `json:"running"`
}

// evacuationStats returns the failure domains evacuated by the platform or by the settings.
func (n *Node) evacuationStats() evacuationStats {
	s := evacuationStats{FailureDomains: n.mesh.evacuations.inForce()}
	if c := n.catalog.Load(); c != nil {
		s.FailureDomains = append(s.FailureDomains, c.Tree.Evacuated...)
	}
	for _, e := range n.router.View().ByName {
		if slices.Contains(s.FailureDomains, e.FailureDomain) {
			s.Running += e.OwnInFlight()
		}
	}
	return s
}
