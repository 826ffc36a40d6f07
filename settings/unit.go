package settings

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
)

// VersionSeparator joins a model's name and a version's in a unit's name.
const VersionSeparator = "@"

// Unit is something that is loaded on an endpoint as a whole: a model's
// weights, a version of them, or an adapter.
type Unit struct {
	Name string
	Pool string
	// Base is the unit that must be resident with it; empty for weights.
	Base string
	// MemoryMB is weights plus reserved KV cache, in MiB.
	MemoryMB int64
	Policy   Effective
}

// Target is what a name in a request stands for.
type Target struct {
	// Name is the service or unit as the caller wrote it.
	Name string
	// Unit is the unit to run, or empty for a plain service.
	Unit string
	// Model is the unit whose weights run the request: Unit itself, or what an
	// adapter belongs to.
	Model string
	Pool  string
	Kind  Kind
	// Policy is the treatment of the request.
	Policy Effective
}

// Catalog is the tree resolved for use: every unit and every name that a
// request may carry. It is immutable.
type Catalog struct {
	Tree *Tree
	// Revision is that of the settings, 0 where it is kept elsewhere.
	Revision int64
	Units    map[string]Unit
	Targets  map[string]Target
	// Routes finds requests that are told apart by host and path.
	Routes RouteTable
	// callers finds a caller by the SHA-256 of its token: the time that a look-up takes
	// tells of the hash alone, from which no token can be found.
	callers map[[sha256.Size]byte]Identity
	ranks   ranks
}

// NewCatalog resolves a tree that Check accepts.
func NewCatalog(t *Tree) *Catalog {
	c := &Catalog{Tree: t, Units: map[string]Unit{}, Targets: map[string]Target{}, callers: map[[sha256.Size]byte]Identity{}}
	root := Node{Path: "/policy", Policy: t.Policy}
	for poolName, pool := range t.Pools {
		chain := []Node{root, {Path: "/pools/" + poolName + "/policy", Policy: pool.Policy}}
		for modelName, model := range pool.Models {
			c.addModel(poolName, modelName, model, chain)
		}
	}
	for name, s := range t.Services {
		c.addService(name, s, root)
	}
	for name, caller := range t.Callers {
		c.addCaller(name, caller)
	}
	for _, key := range sharedKeys(t) {
		// It would stand for one caller here and for another there.
		delete(c.callers, key)
	}
	c.ranks = newRanks(t)
	if t.Edge != nil {
		c.Routes = NewRouteTable(t.Edge.Routes)
	}
	return c
}

func (c *Catalog) addModel(pool, name string, m *Model, parents []Node) {
	chain := append(slices.Clone(parents), Node{Path: "/pools/" + pool + "/models/" + name + "/policy", Policy: m.Policy})
	c.addUnit(Unit{Name: name, Pool: pool, MemoryMB: m.WeightsMB + m.KVMB, Policy: Resolve(chain)})
	for v, version := range m.Versions {
		leaf := append(slices.Clone(chain), Node{Policy: version.Policy})
		c.addUnit(Unit{Name: name + VersionSeparator + v, Pool: pool, MemoryMB: version.WeightsMB + m.KVMB, Policy: Resolve(leaf)})
	}
	current := name
	if m.Current != "" {
		current = name + VersionSeparator + m.Current
		target := c.Targets[name]
		target.Unit, target.Model = current, current
		c.Targets[name] = target
	}
	for a, adapter := range m.Adapters {
		leaf := append(slices.Clone(chain), Node{Policy: adapter.Policy})
		c.addUnit(Unit{Name: a, Pool: pool, Base: current, MemoryMB: adapter.SizeMB, Policy: Resolve(leaf)})
	}
}

func (c *Catalog) addUnit(u Unit) {
	c.Units[u.Name] = u
	c.Targets[u.Name] = Target{Name: u.Name, Unit: u.Name, Model: cmp.Or(u.Base, u.Name), Pool: u.Pool, Kind: KindEngine, Policy: u.Policy}
}

func (c *Catalog) addService(name string, s *Service, root Node) {
	policy := Resolve([]Node{root, {Path: "/services/" + name + "/policy", Policy: s.Policy}})
	target := Target{Name: name, Pool: s.Pool, Kind: KindPlain, Policy: policy}
	if s.Model != "" {
		model := c.Targets[s.Model]
		target.Unit, target.Model, target.Pool, target.Kind = model.Unit, model.Model, model.Pool, KindEngine
	}
	c.Targets[name] = target
}

func (c *Catalog) addCaller(name string, caller *Caller) {
	allowed := make(map[string]bool, len(caller.Services))
	for _, s := range caller.Services {
		allowed[s] = true
	}
	who := Identity{Name: name, Priority: caller.Priority, Allowance: caller.Allowance, Regions: caller.Regions, services: allowed}
	for _, text := range caller.TokenSHA256 {
		if key, err := parseKey(text); err == nil {
			c.callers[key] = who
		}
	}
}

// Identity is an authenticated caller. The zero value is nobody.
type Identity struct {
	Name string
	// Priority and Allowance are as the settings give them; nil for none.
	Priority  *int
	Allowance *Allowance
	// Regions are those in which requests may be served; empty means all.
	Regions  []string
	services map[string]bool
}

// MayUse tells whether the caller may use the service or unit of that name.
func (i Identity) MayUse(name string) bool {
	return i.services[AllServices] || i.services[name]
}

// maxTokenBytes bounds a token; longer ones are nobody's. It keeps the copy that is
// hashed off the heap.
const maxTokenBytes = 512

// CallerByToken returns the caller whose token it is.
func (c *Catalog) CallerByToken(token string) (Identity, bool) {
	var text [maxTokenBytes]byte
	if len(token) > len(text) {
		return Identity{}, false
	}
	n := copy(text[:], token)
	who, known := c.callers[sha256.Sum256(text[:n])]
	return who, known
}

// UnitNames returns the names of all units in order.
func (c *Catalog) UnitNames() []string {
	return slices.Sorted(maps.Keys(c.Units))
}
