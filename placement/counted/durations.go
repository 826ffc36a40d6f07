package counted

import "time"

// duration returns the approximate duration of an order at an endpoint.
func (c *Controller) duration(e *endpoint, o Order) time.Duration {
	u := c.units[o.Unit]
	switch {
	case o.Op == OpUnload:
		return unloadTime
	case u.Base != "":
		return adapterTime
	case e.inMemory[o.Unit] && u.MemoryLoadTime > 0:
		return u.MemoryLoadTime
	case e.onDisk[o.Unit] && u.DiskLoadTime > 0:
		return u.DiskLoadTime
	case u.StoreLoadTime > 0:
		return u.StoreLoadTime
	default:
		return defaultLoadTime
	}
}

// needsStore reports whether loading the model reads from the weight store.
func (e *endpoint) needsStore(model string) bool { return !e.inMemory[model] && !e.onDisk[model] }

// unresolvedStoreLoads returns the number of orders of unknown outcome that may still
// start a load from the weight store.
func (c *Controller) unresolvedStoreLoads(now time.Time) int {
	n := 0
	for _, e := range c.endpoints {
		if e.unresolved != nil && e.unresolved.Op == OpLoad && c.units[e.unresolved.Unit].Base == "" && e.needsStore(e.unresolved.Unit) {
			n++
		}
		n += len(c.lateStoreLoads(now, e))
	}
	return n
}
