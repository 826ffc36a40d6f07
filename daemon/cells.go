package daemon

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// maxCampaigners is how many instances campaign for the lease of a cell. It does not
// grow with the fleet, so neither does the number of store calls for leases.
const maxCampaigners = 3

// cells runs a controller for each cell. Each pool of engines is one cell.
type cells struct {
	ctx    context.Context
	name   string
	holder string
	client store.Client
	engine *engine.Client
	log    logr.Logger
	now    func() time.Time
	done   *sync.WaitGroup
	// stopping tells whether a planned stop has begun; this instance then campaigns no more.
	stopping func() bool

	mu        sync.Mutex
	running   map[string]*cellTask
	instances []string
}

// update passes the settings and the member list to every cell and starts new cells.
// A cell that the settings no longer name gets no further settings.
func (c *cells) update(catalog *settings.Catalog, list *membership.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = c.instances[:0]
	for _, m := range list.Pool(membership.InstancePool) {
		if m.State == membership.Live {
			c.instances = append(c.instances, m.Name)
		}
	}
	pools := enginePools(catalog)
	for _, pool := range pools {
		if c.running[pool] == nil {
			c.running[pool] = c.start(pool)
		}
	}
	for name, cell := range c.running {
		if catalog.Tree.Pools[name] != nil {
			cell.notify(cellSettings(catalog, name, len(pools)))
		}
		cell.notify(memberList(list, name))
	}
}

func enginePools(catalog *settings.Catalog) []string {
	var pools []string
	for name, pool := range catalog.Tree.Pools {
		if pool.Kind == settings.KindEngine {
			pools = append(pools, name)
		}
	}
	slices.Sort(pools)
	return pools
}

// campaigns tells whether this instance campaigns for the lease of a cell: it does if it
// ranks among the first maxCampaigners by rendezvous hashing over the live instances.
func (c *cells) campaigns(cell string) bool { return !c.stopping() && c.rankOf(cell) < maxCampaigners }

// rankOf returns the 0-based rank of this instance among the live ones for a rendezvous key, or
// math.MaxInt if this instance is not live.
func (c *cells) rankOf(key string) int {
	if rank := slices.Index(c.ranked(key), c.name); rank >= 0 {
		return rank
	}
	return math.MaxInt
}

// nthInstance returns the live instance of 0-based rank n for a rendezvous key.
func (c *cells) nthInstance(key string, n int) (string, bool) {
	ranked := c.ranked(key)
	if n >= len(ranked) {
		return "", false
	}
	return ranked[n], true
}

// ranked returns the live instances in rendezvous hashing order for a key: when an
// instance is added or removed, the others keep their relative order.
func (c *cells) ranked(key string) []string {
	c.mu.Lock()
	ranked := slices.Clone(c.instances)
	c.mu.Unlock()
	sortByRendezvous(key, ranked)
	return ranked
}

// sortByRendezvous sorts instances by rendezvous hash weight for a key, highest first.
func sortByRendezvous(key string, instances []string) {
	weight := func(name string) uint64 { return xxhash.Sum64String(key + "\x00" + name) }
	slices.SortFunc(instances, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
}

func (c *cells) start(cell string) *cellTask {
	d := &cellTask{
		cell: cell, client: c.client, writer: store.NewWriter(c.client), engine: c.engine, now: c.now,
		log:        c.log.WithValues("cell", cell),
		controller: placement.NewController(placement.DefaultControllerConfig(cell, c.holder)),
		events:     ring.New[placement.Event](cellEventsCapacity, ring.Block),
	}
	runner := lease.NewRunner(lease.RunnerConfig{
		Name: "cell-" + cell, Lease: lease.NewConfig(c.holder), Client: c.client, Now: c.now,
		Changed: d.leaseChanged, Campaign: func() bool { return c.campaigns(cell) },
	})
	c.done.Go(func() { d.run(c.ctx) })
	c.done.Go(func() { runner.Run(c.ctx) })
	return d
}

// cellSettings returns the controller settings of a pool's cell. The weight store's limits
// are divided evenly among the cells.
func cellSettings(catalog *settings.Catalog, pool string, cells int) placement.CellSettings {
	p := catalog.Tree.Pools[pool]
	c := placement.CellSettings{
		CapacityMB: p.MemoryMB, Concurrency: p.Concurrency, ChecksFencing: p.ChecksFencing,
		MaxOrderDelay: p.MaxOrderDelay(), Units: []placement.UnitSpec{},
		LoadsPerSecond:  catalog.Tree.WeightStore.LoadsPerSecond / float64(cells),
		ConcurrentLoads: max(1, catalog.Tree.WeightStore.Concurrent/cells),
	}
	for _, name := range catalog.UnitNames() {
		u := catalog.Units[name]
		if u.Pool != pool {
			continue
		}
		c.Units = append(c.Units, placement.UnitSpec{
			Name: u.Name, Base: u.Base, MemoryMB: u.MemoryMB, Replicas: u.Policy.Replicas, LoadCost: u.Policy.MovePrice,
		})
	}
	return c
}

func memberList(list *membership.List, pool string) placement.MemberList {
	l := placement.MemberList{Version: list.Version(), Endpoints: []placement.Member{}, Instances: map[string]string{}}
	for _, m := range list.Pool(membership.InstancePool) {
		l.Instances[m.Name] = m.Incarnation
	}
	for _, m := range list.Pool(pool) {
		l.Endpoints = append(l.Endpoints, placement.Member{
			Name: m.Name, Address: m.Address, FailureDomain: m.FailureDomain,
			Incarnation: m.Incarnation, Leaving: !m.AcceptsWork(),
		})
	}
	return l
}
