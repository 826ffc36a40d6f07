package counted

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// unitOrder orders units by how soon their next request is expected where nothing else tells
// them apart: the more recently a unit was requested, the sooner. Units that were requested at
// the same time or never go by a hash which differs from holder to holder of the lease, so that
// no unit always precedes another because of its name or its position in the settings.
func (p *planner) unitOrder(a, b string) int {
	return cmp.Or(cmp.Compare(p.idleTime(a), p.idleTime(b)), p.c.tieOrder(a, b))
}

// tieOrder orders units about which the same is known.
func (c *Controller) tieOrder(a, b string) int {
	return cmp.Or(cmp.Compare(c.tieBreaks[a], c.tieBreaks[b]), cmp.Compare(a, b))
}

// computeTieBreaks computes the hashes of tieOrder for the current settings and epoch.
func (c *Controller) computeTieBreaks() {
	c.tieBreaks = make(map[string]uint64, len(c.units))
	seed := binary.BigEndian.AppendUint64(nil, uint64(c.epoch))
	for name := range c.units {
		c.tieBreaks[name] = xxhash.Sum64(append(seed, name...))
	}
}

// orderModels puts all models into the order of unitOrder.
func (p *planner) orderModels() {
	p.models = slices.Clone(p.c.models)
	slices.SortFunc(p.models, func(a, b Unit) int { return p.unitOrder(a.Name, b.Name) })
}

// residentsOf returns the units that an endpoint holds, the first to be given up first.
func (p *planner) residentsOf(e *endpoint) []string {
	units, known := p.residents[e]
	if !known {
		units = sortedNames(e.resident)
		slices.SortFunc(units, func(a, b string) int { return p.unitOrder(b, a) })
		p.residents[e] = units
	}
	return units
}
