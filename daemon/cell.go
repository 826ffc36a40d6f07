package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/lease"
	"github.com/eiderspring/eiderspring/placement"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

const (
	// cellEventsCapacity bounds the events queued for a cell's controller.
	cellEventsCapacity = 1024
	// cellTick is the tick interval of a controller that makes placement decisions,
	// cellIdle that of one that does not.
	cellTick = 100 * time.Millisecond
	cellIdle = time.Second
	// orderTimeout bounds one attempt to send an order, inventoryTimeout one
	// inventory request.
	orderTimeout     = 2 * time.Second
	inventoryTimeout = 2 * time.Second
)

// cellTask feeds events to the controller of one cell and executes its actions.
type cellTask struct {
	cell       string
	client     store.Client
	writer     *store.Writer
	engine     *engine.Client
	log        logr.Logger
	now        func() time.Time
	controller *placement.Controller
	events     *ring.Ring[placement.Event]
	inputs     cellInputs
	// running tells whether the controller makes decisions; it selects the tick interval.
	running atomic.Bool
}

// put queues an event that the cell itself caused, and blocks while the ring is full.
func (d *cellTask) put(e placement.Event) { _ = d.events.Put(context.Background(), e) }

// notify passes settings, a list or a change of the lease to the cell, and never blocks.
func (d *cellTask) notify(e placement.Event) {
	d.inputs.add(e)
	// If the ring is full, the cell is busy and takes its inputs with the next event.
	d.events.Offer(placement.Tick{})
}

// leaseChanged is called on the goroutine that renews the lease, which must not wait.
func (d *cellTask) leaseChanged(a lease.Action) {
	switch a := a.(type) {
	case lease.Acquired:
		d.log.Info("lease acquired", "epoch", a.Epoch)
		d.notify(placement.LeaseAcquired{Epoch: a.Epoch})
	case lease.Lost:
		d.log.Info("lease lost", "epoch", a.Epoch)
		d.notify(placement.LeaseLost{})
	}
}

func (d *cellTask) run(ctx context.Context) {
	go d.tick(ctx)
	for {
		e, err := d.events.Take(ctx)
		if err != nil {
			d.events.Close()
			return
		}
		for _, input := range d.inputs.take() {
			d.step(ctx, input)
		}
		d.step(ctx, e)
		d.running.Store(d.controller.Running())
	}
}

func (d *cellTask) step(ctx context.Context, e placement.Event) {
	for _, a := range d.controller.Step(d.now(), e) {
		d.execute(ctx, a)
	}
}

func (d *cellTask) tick(ctx context.Context) {
	for ctx.Err() == nil {
		if d.running.Load() {
			wait.For(ctx, cellTick)
		} else {
			wait.For(ctx, cellIdle)
		}
		d.put(placement.Tick{})
	}
}

func (d *cellTask) execute(ctx context.Context, a placement.Action) {
	switch a := a.(type) {
	case placement.LogMove:
		m := a.Move
		d.log.Info("place", "op", m.Op, "unit", m.Unit, "endpoint", m.Endpoint, "reason", m.Reason, "for", m.For,
			"replicas", m.Replicas, "demand", m.Demand, "memory_mb", m.MemoryMB, "free_mb", m.FreeMB)
	case placement.LogEvent:
		d.log.Info("placement", "event", a.Event, "endpoint", a.Endpoint, "unit", a.Unit, "detail", a.Detail)
	case placement.ReadLedger:
		go d.readLedger(ctx)
	case placement.Commit:
		go d.commit(ctx, a)
	case placement.SendOrder:
		go d.send(ctx, a)
	case placement.RequestInventory:
		go d.requestInventory(ctx, a)
	case placement.ReadSettled:
		go d.readSettled(ctx, a)
	case placement.WriteSettled:
		go d.writeSettled(ctx, a)
	}
}

func (d *cellTask) readLedger(ctx context.Context) {
	o, err := d.client.Get(ctx, store.KindLedger, d.cell)
	if store.IsNotFound(err) {
		d.put(placement.LedgerRead{})
		return
	}
	if err != nil {
		d.log.V(1).Info("ledger not read", "error", err.Error())
		return
	}
	l := placement.NewLedger()
	if err := json.Unmarshal(o.Spec, l); err != nil {
		d.log.Error(err, "ledger unreadable")
		return
	}
	d.put(placement.LedgerRead{Ledger: l, Version: o.Metadata.ResourceVersion})
}

// commit writes the ledger once. It does not find out whether a write without a response
// took effect: the controller reads the ledger again.
func (d *cellTask) commit(ctx context.Context, c placement.Commit) {
	o, err := store.NewObject(store.KindLedger, d.cell, c.Ledger)
	if err != nil {
		d.log.Error(err, "ledger not encoded")
		d.put(placement.CommitEnded{Seq: c.Seq, Result: commit.Conflict})
		return
	}
	o.Metadata.ResourceVersion = c.Version
	version, result := store.Put(ctx, d.client, o)
	d.put(placement.CommitEnded{Seq: c.Seq, Result: result, Version: version})
}

func (d *cellTask) send(ctx context.Context, s placement.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := d.engine.SendOrder(ctx, s.Endpoint, s.Address, s.Order)
	var refused *engine.RefusedOrderError
	result := placement.SendUnknown
	switch {
	case err == nil:
		result = placement.SendAccepted
	case errors.As(err, &refused):
		result = placement.SendRefused
	}
	d.put(placement.OrderEnded{Order: s.Order.ID, Result: result})
}

func (d *cellTask) requestInventory(ctx context.Context, a placement.RequestInventory) {
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	requestedAt := d.now()
	reply := placement.InventoryReply{Endpoint: a.Endpoint, RequestedAt: requestedAt}
	if report, err := d.engine.Inventory(ctx, a.Endpoint, a.Address); err == nil {
		reply.Report = &report
	}
	d.put(reply)
}

// settlement is the spec of a settlement object.
type settlement struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
}

func (d *cellTask) settlementName(holder string) string {
	return d.cell + "." + hashedNamePart(holder)
}

func (d *cellTask) readSettled(ctx context.Context, a placement.ReadSettled) {
	o, err := d.client.Get(ctx, store.KindSettlement, d.settlementName(a.Holder))
	var s settlement
	if err != nil || json.Unmarshal(o.Spec, &s) != nil {
		return
	}
	d.put(placement.HolderSettled{Holder: s.Holder, Epoch: s.Epoch})
}

func (d *cellTask) writeSettled(ctx context.Context, a placement.WriteSettled) {
	name := d.settlementName(a.Holder)
	o, err := store.NewObject(store.KindSettlement, name, settlement{Holder: a.Holder, Epoch: a.Epoch})
	if err != nil {
		return
	}
	if old, err := d.client.Get(ctx, store.KindSettlement, name); err == nil {
		o.Metadata.ResourceVersion = old.Metadata.ResourceVersion
		_, err = d.writer.Update(ctx, o)
		d.logFailure(err)
		return
	}
	_, err = d.writer.Create(ctx, o)
	d.logFailure(err)
}

func (d *cellTask) logFailure(err error) {
	if err != nil {
		d.log.Info("settlement not written", "error", err.Error())
	}
}
