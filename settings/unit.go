package settings

import (
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"
)

// VersionSeparator separates the model's name and the version's in the name of a unit.
const VersionSeparator = "@"

// Unit is what is loaded on an endpoint as a whole: the weights of a model or of one of its
// versions, or an adapter.
type Unit struct {
	Name string
	Pool string
	// Base is the unit that must be resident on the same endpoint; empty for weights.
	Base string
	// MemoryMB is the memory of the weights and of the reserved KV cache, in MiB.
	MemoryMB int64
	Policy   Effective
}

// Target is what a name in a request resolves to.
type Target struct {
	// Name is the name of the service or unit as given by the caller.
	Name string
	// Unit is the unit to run; empty for a plain service.
	Unit string
	// Model is the unit whose weights run the request: Unit itself or, for an adapter, its
	// base.
	Model string
	Pool  string
	Kind  Kind
	// Policy is the policy that applies to the request.
	Policy Effective
}

// Catalog is a resolved tree: all units and all names that a request may contain. It is
// immutable.
type Catalog struct {
	Tree *Tree
	// Revision is the revision of the settings; 0 if the revision is kept elsewhere.
	Revision int64
	Units    map[string]Unit
	Targets  map[string]Target
	// Routes finds the routes of requests that are routed by host and path.
	Routes RouteTable
	// callers maps the SHA-256 of a token to its caller. The time of a lookup depends on the
	// hash only, so a timing attack does not reveal the token.
	callers map[[sha256.Size]byte]Identity
	ranks   ranks
}

// NewCatalog resolves a tree for which Check returns no problems.
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
		// Map order is random, so the key would identify different callers at different
		// instances.
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
	who := caller.identity(name)
	for _, text := range caller.TokenSHA256 {
		if key, err := parseKey(text); err == nil {
			c.callers[key] = who
		}
	}
}

// identity returns who the caller with that name is.
func (c *Caller) identity(name string) Identity {
	allowed := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		allowed[s] = true
	}
	return Identity{Name: name, Priority: c.Priority, Allowance: c.Allowance, Regions: c.Regions, Weight: c.weight(), services: allowed}
}

// defaultWeight is the weight of a caller whose settings have none.
const defaultWeight = 1

func (c *Caller) weight() float64 {
	if c.Weight == nil {
		return defaultWeight
	}
	return *c.Weight
}

// Identity is an authenticated caller. The zero value is no caller.
type Identity struct {
	Name string
	// Priority and Allowance are those of Caller in the settings; nil for none.
	Priority  *int
	Allowance *Allowance
	// Regions lists the regions in which requests may be served; empty means all.
	Regions []string
	// Weight is Caller.Weight, with its default filled in.
	Weight   float64
	services map[string]bool
}

// MayUse reports whether the caller may use the service or unit of that name.
func (i Identity) MayUse(name string) bool {
	return i.services[AllServices] || i.services[name]
}

// maxTokenBytes is the maximum length of a token; a longer one matches no caller. The bound
// allows the copy that is hashed to stay on the stack.
const maxTokenBytes = 512

// CallerByToken returns the caller that the token belongs to. It reports false if there is
// none.
func (c *Catalog) CallerByToken(token string) (Identity, bool) {
	var text [maxTokenBytes]byte
	if len(token) > len(text) {
		return Identity{}, false
	}
	n := copy(text[:], token)
	who, known := c.callers[sha256.Sum256(text[:n])]
	return who, known
}

// CallerByName returns the caller with that name. A name that is not known, or empty, yields an
// anonymous identity.
func (c *Catalog) CallerByName(name string) Identity {
	if caller := c.Tree.Callers[name]; caller != nil {
		return caller.identity(name)
	}
	return Identity{}
}

// UnitNames returns the names of all units, sorted.
func (c *Catalog) UnitNames() []string {
	return slices.Sorted(maps.Keys(c.Units))
}
