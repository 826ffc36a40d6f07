package placement

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/eiderspring/eiderspring/engine"
)

// pair is a unit at an endpoint.
type pair struct{ endpoint, unit string }

// sendHistory records when this process last sent an order for each pair. It outlives
// the epochs of the process, as copies of its orders may.
type sendHistory struct {
	lastEndedAt map[pair]time.Time
	// inFlight counts the sendings that have not ended, including those of orders that
	// have since been replaced.
	inFlight map[pair]int
	byOrder  map[string]inFlightSend
	// epochEndedAt is when the last sending of each epoch ended.
	epochEndedAt map[int64]time.Time
	// takenOverAt is the time of the last takeover. Whatever an earlier controller had
	// sent and seen resolved was in flight before then.
	takenOverAt time.Time
}

// inFlightSend is one sending of an order that has not ended.
type inFlightSend struct {
	pair  pair
	epoch int64
}

func newSendHistory() sendHistory {
	return sendHistory{
		lastEndedAt: map[pair]time.Time{}, inFlight: map[pair]int{},
		byOrder: map[string]inFlightSend{}, epochEndedAt: map[int64]time.Time{},
	}
}

func (h *sendHistory) recordTakeover(now time.Time) { h.takenOverAt = now }

func (h *sendHistory) begin(epoch int64, order, endpoint, unit string) {
	p := pair{endpoint, unit}
	h.byOrder[order] = inFlightSend{pair: p, epoch: epoch}
	h.inFlight[p]++
}

func (h *sendHistory) end(now time.Time, order string) {
	s, known := h.byOrder[order]
	if !known {
		return
	}
	delete(h.byOrder, order)
	h.epochEndedAt[s.epoch] = now
	p := s.pair
	h.lastEndedAt[p] = now
	if h.inFlight[p]--; h.inFlight[p] == 0 {
		delete(h.inFlight, p)
	}
}

// idle reports whether no sending for the pair is in flight.
func (h *sendHistory) idle(endpoint, unit string) bool { return h.inFlight[pair{endpoint, unit}] == 0 }

// settledBefore reports whether nothing sent in an epoch below the given one can still
// arrive. It discards the end times of epochs that are settled.
func (h *sendHistory) settledBefore(now time.Time, epoch int64, delay time.Duration) bool {
	for _, s := range h.byOrder {
		if s.epoch < epoch {
			return false
		}
	}
	for e, at := range h.epochEndedAt {
		if e >= epoch {
			continue
		}
		if now.Sub(at) < delay {
			return false
		}
		delete(h.epochEndedAt, e)
	}
	return true
}

// quiescent reports whether every copy of a resolved order for the pair has had time to
// arrive.
func (h *sendHistory) quiescent(now time.Time, endpoint, unit string, delay time.Duration) bool {
	if now.Sub(h.takenOverAt) < delay || !h.idle(endpoint, unit) {
		return false
	}
	last, sent := h.lastEndedAt[pair{endpoint, unit}]
	return !sent || now.Sub(last) >= delay
}

// effectMissing reports whether an inventory shows the opposite of the effect of an
// accepted order. A unit that is still loading, or still finishing requests before its
// unload, is resident but not ready.
func (o *openOrder) effectMissing(resident, ready bool) bool {
	if o.op == engine.OpLoad {
		return !resident
	}
	return ready
}

// fence is the state of fencing one endpoint in this epoch.
type fence struct {
	inFlight bool
	endedAt  time.Time
	// acceptedAt is when the endpoint confirmed the fence; zero until then.
	acceptedAt time.Time
	// adopted is set once an inventory requested after acceptedAt was adopted.
	adopted bool
}

// fencePrefix is the prefix of the ids of fence orders; the epoch and the endpoint's
// name follow.
const fencePrefix = "fence:"

func (c *Controller) fenceID(endpoint string) string {
	return fencePrefix + strconv.FormatInt(c.epoch, 10) + ":" + endpoint
}

// send returns fences and committed orders that may be sent now.
func (c *Controller) send(now time.Time) []Action {
	actions := c.sendFences(now)
	ids := sortedKeys(c.orders)
	for _, id := range ids {
		o := c.orders[id]
		if !c.sendable(now, id, o) {
			continue
		}
		m, listed := c.member(o.endpoint)
		if !listed || m.Incarnation != c.committed.Endpoints[o.endpoint].Incarnation {
			// The order is for another incarnation than the one listed.
			continue
		}
		o.inFlight, o.sent = true, true
		c.history.begin(c.epoch, id, o.endpoint, o.unit)
		actions = append(actions, SendOrder{Endpoint: m.Name, Address: m.Address, Order: engine.Order{
			ID: id, Epoch: c.epoch, Op: o.op, Unit: o.unit, MemoryMB: o.memoryMB,
		}})
	}
	return actions
}

func (c *Controller) sendable(now time.Time, id string, o *openOrder) bool {
	e := c.committed.Endpoints[o.endpoint]
	if e == nil || e.Units[o.unit] == nil || e.Units[o.unit].Order != id {
		return false
	}
	if o.inFlight || o.accepted || !c.recordUsable(o.endpoint) {
		return false
	}
	return !o.sent || now.Sub(o.endedAt) >= c.cfg.ResendInterval
}

func (c *Controller) sendFences(now time.Time) []Action {
	if !c.settings.ChecksFencing {
		return nil
	}
	var actions []Action
	for _, m := range c.members {
		f := c.fences[m.Name]
		if f == nil {
			f = &fence{}
			c.fences[m.Name] = f
		}
		if f.inFlight || !f.acceptedAt.IsZero() || !f.endedAt.IsZero() && now.Sub(f.endedAt) < c.cfg.ResendInterval {
			continue
		}
		f.inFlight = true
		actions = append(actions, SendOrder{Endpoint: m.Name, Address: m.Address, Order: engine.Order{
			ID: c.fenceID(m.Name), Epoch: c.epoch, Op: engine.OpFence,
		}})
	}
	return actions
}

func (c *Controller) orderEnded(now time.Time, e OrderEnded) []Action {
	if strings.HasPrefix(e.Order, fencePrefix) {
		return c.fenceEnded(now, e)
	}
	c.history.end(now, e.Order)
	o := c.orders[e.Order]
	if o == nil {
		// The order belongs to an earlier epoch of this process; only the history
		// records its end.
		return nil
	}
	o.inFlight, o.endedAt = false, now
	if e.Result == SendAccepted {
		o.accepted = true
	}
	return c.stopIfRefused(e)
}

func (c *Controller) fenceEnded(now time.Time, e OrderEnded) []Action {
	endpoint := e.Order[strings.LastIndexByte(e.Order, ':')+1:]
	f := c.fences[endpoint]
	if f == nil || e.Order != c.fenceID(endpoint) {
		return nil
	}
	f.inFlight, f.endedAt = false, now
	if e.Result == SendAccepted {
		f.acceptedAt = now
	}
	return c.stopIfRefused(e)
}

// stopIfRefused stops the controller when an endpoint has seen a newer epoch.
func (c *Controller) stopIfRefused(e OrderEnded) []Action {
	if e.Result != SendRefused || c.phase == phaseIdle {
		return nil
	}
	c.phase = phaseIdle
	return []Action{LogEvent{Event: "superseded", Detail: e.Order}}
}

// recordUsable reports whether decisions may be based on the record of an endpoint. An
// endpoint that checks fencing numbers must have been fenced and have returned its
// inventory in this epoch.
func (c *Controller) recordUsable(endpoint string) bool {
	e := c.working.Endpoints[endpoint]
	if e == nil {
		return false
	}
	if !e.ChecksFencing {
		return true
	}
	f := c.fences[endpoint]
	return f != nil && f.adopted
}

func (c *Controller) member(name string) (Member, bool) {
	i, found := slices.BinarySearchFunc(c.members, name, func(m Member, n string) int {
		switch {
		case m.Name < n:
			return -1
		case m.Name > n:
			return 1
		default:
			return 0
		}
	})
	if !found {
		return Member{}, false
	}
	return c.members[i], true
}
