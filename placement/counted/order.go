package counted

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// unitKey is what orders units by how soon their next request is expected where nothing else tells
// them apart: the more recently a unit was requested, the sooner. Units that were requested at
// the same time or never go by a hash which differs from holder to holder of the lease, so that
// no unit always precedes another because of its name or its position in the settings.
type unitKey struct {
	name     string
	idle     time.Duration
	tieBreak uint64
}

func (p *planner) key(unit string) unitKey {
	return unitKey{name: unit, idle: p.idleTime(unit), tieBreak: p.c.tieBreaks[unit]}
}

func (k unitKey) compare(other unitKey) int {
	return cmp.Or(cmp.Compare(k.idle, other.idle), cmp.Compare(k.tieBreak, other.tieBreak), cmp.Compare(k.name, other.name))
}

// inOrder returns units in the order of their keys.
func (p *planner) inOrder(units []string) []string {
	keys := make([]unitKey, 0, len(units))
	for _, unit := range units {
		keys = append(keys, p.key(unit))
	}
	slices.SortFunc(keys, unitKey.compare)
	ordered := make([]string, 0, len(keys))
	for _, k := range keys {
		ordered = append(ordered, k.name)
	}
	return ordered
}

// computeTieBreaks computes the hashes of units for the current settings and epoch.
func (c *Controller) computeTieBreaks() {
	c.tieBreaks = make(map[string]uint64, len(c.units))
	seed := binary.BigEndian.AppendUint64(nil, uint64(c.epoch))
	for name := range c.units {
		c.tieBreaks[name] = xxhash.Sum64(append(seed, name...))
	}
}

// orderModels puts all models into the order of their keys.
func (p *planner) orderModels() {
	names := make([]string, 0, len(p.c.models))
	for _, u := range p.c.models {
		names = append(names, u.Name)
	}
	for _, name := range p.inOrder(names) {
		p.models = append(p.models, p.c.units[name])
	}
}

// residentsOf returns the units that an endpoint holds, the first to be given up first.
func (p *planner) residentsOf(e *endpoint) []string {
	units, known := p.residents[e]
	if !known {
		units = p.inOrder(slices.Collect(maps.Keys(e.resident)))
		slices.Reverse(units)
		p.residents[e] = units
	}
	return units
}
