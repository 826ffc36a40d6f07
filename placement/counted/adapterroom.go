package counted

import "time"

// minAdapterIdle is the time without requests after which an adapter may make room for
// another where places are scarce.
const minAdapterIdle = 500 * time.Millisecond

// makeAdapterRoom unloads the adapter that has been idle for longest at any endpoint that could
// hold another replica of u. It unloads none that has requests: u is not more used than that,
// and an endpoint unloads an adapter at once only if no request uses it.
func (p *planner) makeAdapterRoom(u Unit) {
	var best *endpoint
	var victim string
	var idle time.Duration
	for _, e := range p.holders[u.Base] {
		if !p.canAddAdapter(e, u) || len(e.draining) > 0 {
			continue
		}
		v := p.idlestAdapter(e)
		if v == "" || p.c.placeDemand.running[v] > 0 {
			continue
		}
		if d := p.c.demand.idleTime(p.now, v); d >= minAdapterIdle && (best == nil || d > idle) {
			best, victim, idle = e, v, d
		}
	}
	if best == nil {
		return
	}
	p.hasMove[best] = true
	p.record(Move{Op: OpUnload, Endpoint: best.Name, Unit: victim, Reason: ReasonRoom, For: u.Name})
}

// canAddAdapter reports whether an endpoint may load another replica of an adapter, if it has
// room.
func (p *planner) canAddAdapter(e *endpoint, u Unit) bool {
	return e.canMoveModel() && e.serves(u.Base) && !p.hasMove[e] && !p.holds(e, u.Name) && len(e.loading) < maxLoadingAdapters
}
