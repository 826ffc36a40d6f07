package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"github.com/eiderspring/eiderspring/jsonc"
)

// Problem is a validation error of a tree. Path is the JSON pointer (RFC 6901) of the
// invalid value.
type Problem struct {
	Path   string
	Reason string
}

// Load parses and validates a tree. It returns all faults in one *jsonc.Error.
func Load(file string, src []byte) (*Tree, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return nil, err
	}
	tree := &Tree{}
	if err := doc.Decode(tree); err != nil {
		return nil, err
	}
	problems := Check(tree)
	if len(problems) == 0 {
		return tree, nil
	}
	faults := make([]jsonc.Fault, len(problems))
	for i, p := range problems {
		faults[i] = doc.Fault(p.Path, p.Reason)
	}
	return nil, &jsonc.Error{Faults: faults}
}

// Check validates the tree and returns all problems, grouped by the part of the tree.
func Check(t *Tree) []Problem {
	c := checker{tree: t, names: map[string]string{}, units: map[string]bool{}, keys: map[[sha256.Size]byte]string{}}
	c.root()
	for _, name := range slices.Sorted(maps.Keys(t.Pools)) {
		c.pool("/pools/"+jsonc.EscapePointer(name), t.Pools[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		c.service("/services/"+jsonc.EscapePointer(name), name, t.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(t.Callers)) {
		c.caller("/callers/"+jsonc.EscapePointer(name), t.Callers[name])
	}
	return c.problems
}

type checker struct {
	tree *Tree
	// names maps each unit and service name to the path that defines it.
	names map[string]string
	// units is the set of names of models, adapters and versions.
	units map[string]bool
	// keys maps the hash of each token to the path that defines it.
	keys     map[[sha256.Size]byte]string
	problems []Problem
}

func (c *checker) add(path, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) define(path, name string) {
	if first, taken := c.names[name]; taken {
		c.add(path, "name %q is already used at %s", name, first)
		return
	}
	c.names[name] = path
}

func (c *checker) defineUnit(path, name string) {
	c.define(path, name)
	c.units[name] = true
}

func (c *checker) root() {
	if c.tree.Deployment == "" {
		c.add("/deployment", "missing")
	}
	if len(c.tree.FailureDomains) == 0 {
		c.add("/failureDomains", "at least one is needed")
	}
	if c.tree.WeightStore.LoadsPerSecond <= 0 {
		c.add("/weightStore/loadsPerSecond", "must be above 0")
	}
	if c.tree.WeightStore.Concurrent <= 0 {
		c.add("/weightStore/concurrent", "must be above 0")
	}
	for i, domain := range c.tree.Evacuated {
		c.domain(fmt.Sprintf("/evacuated/%d", i), domain)
	}
	for _, domain := range slices.Sorted(maps.Keys(c.tree.Regions)) {
		c.domain("/regions/"+jsonc.EscapePointer(domain), domain)
	}
	if c.tree.ClaimHorizonMS < 0 {
		c.add("/claimHorizonMS", "must not be negative")
	}
	for i, key := range c.tree.PeerKeys {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
			c.add(fmt.Sprintf("/peerKeys/%d", i), "must be 64 hex digits")
		}
	}
	c.policy("/policy", c.tree.Policy)
}

func (c *checker) domain(path, name string) {
	if !slices.Contains(c.tree.FailureDomains, name) {
		c.add(path, "no failure domain %q", name)
	}
}

// regions checks a list of regions in which requests may be served.
func (c *checker) regions(path string, regions []string) {
	known := slices.Collect(maps.Values(c.tree.Regions))
	for i, r := range regions {
		if !slices.Contains(known, r) {
			c.add(fmt.Sprintf("%s/%d", path, i), "no failure domain is in region %q", r)
		}
	}
}

func (c *checker) pool(path string, p *Pool) {
	if p == nil {
		c.add(path, "must not be null")
		return
	}
	if p.Kind != KindEngine && p.Kind != KindPlain {
		c.add(path+"/kind", "must be %q or %q", KindEngine, KindPlain)
	}
	if p.Endpoints <= 0 {
		c.add(path+"/endpoints", "must be above 0")
	}
	if p.Concurrency <= 0 {
		c.add(path+"/concurrency", "must be above 0")
	}
	if p.ColdPerSecond < 0 {
		c.add(path+"/coldPerSecond", "must not be negative")
	}
	if p.ColdStartMS < 0 {
		c.add(path+"/coldStartMS", "must not be negative")
	}
	if p.MaxOrderDelayMS < 0 {
		c.add(path+"/maxOrderDelayMS", "must not be negative")
	}
	if p.Kind == KindEngine && p.MemoryMB <= 0 {
		c.add(path+"/memoryMB", "must be above 0")
	}
	if p.Kind == KindPlain && len(p.Models) > 0 {
		c.add(path+"/models", "a plain pool holds no models")
	}
	c.policy(path+"/policy", p.Policy)
	var total int64
	for _, name := range slices.Sorted(maps.Keys(p.Models)) {
		total += c.model(path+"/models/"+jsonc.EscapePointer(name), name, p.Models[name], p)
	}
	if capacity := p.MemoryMB * int64(p.Endpoints); total > capacity {
		c.add(path+"/models", "one replica of each needs %d MB but the pool has %d MB", total, capacity)
	}
}

// model checks one model and returns the memory, in MiB, of one replica each of the model,
// its versions and its adapters.
func (c *checker) model(path, name string, m *Model, p *Pool) int64 {
	if m == nil {
		c.add(path, "must not be null")
		return 0
	}
	c.defineUnit(path, name)
	if m.WeightsMB <= 0 {
		c.add(path+"/weightsMB", "must be above 0")
	}
	if m.KVMB < 0 {
		c.add(path+"/kvMB", "must not be negative")
	}
	if m.WeightsMB+m.KVMB > p.MemoryMB {
		c.add(path+"/weightsMB", "weights and KV cache of %d MB exceed an endpoint's %d MB", m.WeightsMB+m.KVMB, p.MemoryMB)
	}
	c.policy(path+"/policy", m.Policy)
	total := m.WeightsMB + m.KVMB
	for _, v := range slices.Sorted(maps.Keys(m.Versions)) {
		total += c.version(path+"/versions/"+jsonc.EscapePointer(v), name+VersionSeparator+v, m.Versions[v], m, p)
	}
	if _, known := m.Versions[m.Current]; m.Current != "" && !known {
		c.add(path+"/current", "no version %q", m.Current)
	}
	for _, a := range slices.Sorted(maps.Keys(m.Adapters)) {
		total += c.adapter(path+"/adapters/"+jsonc.EscapePointer(a), a, m.Adapters[a])
	}
	return total
}

func (c *checker) version(path, name string, v *Version, m *Model, p *Pool) int64 {
	if v == nil {
		c.add(path, "must not be null")
		return 0
	}
	c.defineUnit(path, name)
	if v.WeightsMB <= 0 || v.WeightsMB+m.KVMB > p.MemoryMB {
		c.add(path+"/weightsMB", "must be above 0 and fit an endpoint")
	}
	c.policy(path+"/policy", v.Policy)
	return v.WeightsMB + m.KVMB
}

func (c *checker) adapter(path, name string, a *Adapter) int64 {
	if a == nil {
		c.add(path, "must not be null")
		return 0
	}
	c.defineUnit(path, name)
	if a.SizeMB <= 0 {
		c.add(path+"/sizeMB", "must be above 0")
	}
	c.policy(path+"/policy", a.Policy)
	return a.SizeMB
}

func (c *checker) service(path, name string, s *Service) {
	if s == nil {
		c.add(path, "must not be null")
		return
	}
	c.define(path, name)
	if (s.Model == "") == (s.Pool == "") {
		c.add(path, "exactly one of model and pool is needed")
		return
	}
	if s.Model != "" && !c.units[s.Model] {
		c.add(path+"/model", "no model, adapter or version %q", s.Model)
	}
	if s.Pool != "" {
		if p := c.tree.Pools[s.Pool]; p == nil || p.Kind != KindPlain {
			c.add(path+"/pool", "no plain pool %q", s.Pool)
		}
	}
	c.policy(path+"/policy", s.Policy)
}

func (c *checker) caller(path string, caller *Caller) {
	if caller == nil {
		c.add(path, "must not be null")
		return
	}
	for i, h := range caller.TokenSHA256 {
		at := fmt.Sprintf("%s/tokenSHA256/%d", path, i)
		key, err := parseKey(h)
		if err != nil {
			c.add(at, "must be 64 hex digits")
			continue
		}
		if first, taken := c.keys[key]; taken {
			c.add(at, "is already at %s: a token stands for one caller", first)
			continue
		}
		c.keys[key] = at
	}
	c.regions(path+"/regions", caller.Regions)
	if w := caller.Weight; w != nil && (*w < minWeight || *w > maxWeight) {
		c.add(path+"/weight", "must be from %v to %v", minWeight, maxWeight)
	}
	if caller.Allowance != nil {
		c.allowance(path+"/allowance", *caller.Allowance)
	}
	for i, s := range caller.Services {
		if _, known := c.names[s]; s != AllServices && !known {
			c.add(fmt.Sprintf("%s/services/%d", path, i), "no service or model %q", s)
		}
	}
}

// Bounds of a caller's weight. Weights are counted in hundredths; a caller of the greatest
// weight goes before others as long as it uses less than 100 times of what one of them uses.
const (
	minWeight = 0.01
	maxWeight = 100
)

func (c *checker) allowance(path string, a Allowance) {
	if a.Unit != CountRequests && a.Unit != CountTokens {
		c.add(path+"/unit", "must be %q or %q", CountRequests, CountTokens)
	}
	if a.PerSecond <= 0 {
		c.add(path+"/perSecond", "must be above 0")
	}
	if a.Burst < 0 {
		c.add(path+"/burst", "must not be negative")
	}
	if a.DefaultTokens < 0 || a.Unit == CountTokens && a.DefaultTokens == 0 {
		c.add(path+"/plainTokens", "must be above 0 where tokens are counted")
	}
}

func (c *checker) policy(path string, p Policy) {
	positive := func(field string, v *int64) {
		if v != nil && *v <= 0 {
			c.add(path+"/"+field, "must be above 0")
		}
	}
	positive("firstTokenMS", p.FirstTokenMS)
	positive("betweenTokensMS", p.BetweenTokensMS)
	positive("deadlineMS", p.DeadlineMS)
	if p.GiveUpMS != nil && *p.GiveUpMS < 0 {
		c.add(path+"/giveUpMS", "must not be negative")
	}
	if p.Replicas != nil && *p.Replicas < 1 {
		c.add(path+"/replicas", "must be at least 1")
	}
	if p.MaxAttempts != nil && *p.MaxAttempts < 0 {
		c.add(path+"/maxAttempts", "must not be negative")
	}
	if p.MovePrice != nil && *p.MovePrice < 0 {
		c.add(path+"/movePrice", "must not be negative")
	}
}
