package daemon

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// heldRequest is the spec of the object of a request that is held back, whose name is its
// fingerprint.
type heldRequest struct {
	// Endpoints are marks of the endpoints that ended under it, in hexadecimal digits, as
	// not every store keeps 64 bits of a number; EndedMS is when, in Unix milliseconds.
	Endpoints []string `json:"endpoints"`
	EndedMS   []int64  `json:"endedMS"`
}

// holdsDuty keeps requests that are held back in the store, for those whom no instance
// tells: all that start when none is left who knows, and one that is cut off from the
// others and not from the store.
type holdsDuty struct {
	client  store.Client
	manager *quarantine.Manager
	// words holds requests that have come to be held here.
	reports *ring.Ring[quarantine.Report]
	// isolated tells whether this instance hears none of the others.
	isolated  func() bool
	retention time.Duration
	log       logr.Logger
	// timeOfDay is the time of day, by which instances tell each other's writes apart.
	timeOfDay func() time.Time
}

const (
	// holdsWaiting bounds the requests that wait to be written.
	pendingHoldsCapacity = 64
	// holdsLook is the time between two looks of an instance that is isolated, and the
	// pause before a call that failed is made again.
	holdsReadInterval = time.Second
)

// run reads what is held when the instance starts, and again while it is isolated.
func (d *holdsDuty) run(ctx context.Context) {
	readOnce := false
	for ctx.Err() == nil {
		if !readOnce || d.isolated() {
			err := d.read(ctx, !readOnce)
			if err != nil {
				d.log.V(1).Info("held requests not read", "error", err.Error())
			}
			readOnce = readOnce || err == nil
		}
		wait.For(ctx, jitter(holdsReadInterval))
	}
}

// read takes what the store knows. A start may go by an old answer.
func (d *holdsDuty) read(ctx context.Context, stale bool) error {
	list, err := d.list(ctx, stale)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		report, err := d.decode(o)
		if err != nil {
			d.log.Info("held request unreadable", "name", o.Metadata.Name, "error", err.Error())
			continue
		}
		d.manager.ReceiveReports([]quarantine.Report{report}, false)
	}
	return nil
}

func (d *holdsDuty) list(ctx context.Context, stale bool) (store.List, error) {
	if reader, offered := d.client.(store.StaleReader); offered && stale {
		return reader.ListStale(ctx, store.KindHold, "")
	}
	return d.client.List(ctx, store.KindHold)
}

// write writes requests as they come to be held.
func (d *holdsDuty) write(ctx context.Context) {
	for {
		report, err := d.reports.Take(ctx)
		if err != nil {
			return
		}
		if err := d.put(ctx, report); err != nil {
			d.log.Info("held request not written", "fingerprint", hex.EncodeToString(report.Fingerprint), "error", err.Error())
		}
	}
}

// put writes a request, over what was written when it was held before, and removes those
// that count no more.
func (d *holdsDuty) put(ctx context.Context, report quarantine.Report) error {
	o, err := store.NewObject(store.KindHold, hex.EncodeToString(report.Fingerprint), d.encode(report))
	if err != nil {
		return err
	}
	_, err = d.client.Create(ctx, o)
	if store.IsConflict(err) {
		var old store.Object
		if old, err = d.client.Get(ctx, store.KindHold, o.Metadata.Name); err != nil {
			return err
		}
		o.Metadata.ResourceVersion = old.Metadata.ResourceVersion
		_, err = d.client.Update(ctx, o)
	}
	if err != nil {
		return err
	}
	return d.prune(ctx)
}

// prune removes requests whose endings are too old to count.
func (d *holdsDuty) prune(ctx context.Context) error {
	list, err := d.list(ctx, true)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if _, err := d.decode(o); !errors.Is(err, errHoldExpired) {
			continue
		}
		if err := d.client.Delete(ctx, store.KindHold, o.Metadata.Name); err != nil && !store.IsNotFound(err) {
			return err
		}
	}
	return nil
}

func (d *holdsDuty) encode(report quarantine.Report) heldRequest {
	now := d.timeOfDay().UnixMilli()
	var h heldRequest
	for i, incarnation := range report.Incarnations {
		h.Endpoints = append(h.Endpoints, strconv.FormatUint(incarnation, 16))
		h.EndedMS = append(h.EndedMS, now-report.AgesMS[i])
	}
	return h
}

// Errors of reading a request that is held back.
var (
	errHoldExpired    = errors.New("its endings are too old to count")
	errHoldMismatched = errors.New("endpoints and times do not match")
)

// decode reads a request; endings that are too old to count are left out.
func (d *holdsDuty) decode(o store.Object) (quarantine.Report, error) {
	var h heldRequest
	if err := json.Unmarshal(o.Spec, &h); err != nil {
		return quarantine.Report{}, err
	}
	fingerprint, err := hex.DecodeString(o.Metadata.Name)
	if err != nil {
		return quarantine.Report{}, err
	}
	if len(h.Endpoints) != len(h.EndedMS) {
		return quarantine.Report{}, errHoldMismatched
	}
	report := quarantine.Report{Fingerprint: fingerprint}
	now := d.timeOfDay().UnixMilli()
	for i, text := range h.Endpoints {
		incarnation, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return quarantine.Report{}, err
		}
		// Clocks of instances differ a little.
		age := max(now-h.EndedMS[i], 0)
		if age >= d.retention.Milliseconds() {
			continue
		}
		report.Incarnations = append(report.Incarnations, incarnation)
		report.AgesMS = append(report.AgesMS, age)
	}
	if len(report.Incarnations) == 0 {
		return report, errHoldExpired
	}
	return report, nil
}
