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

// heldRequest is the spec of a hold object: one request in quarantine. The object's name is
// the request's fingerprint in hexadecimal digits.
type heldRequest struct {
	// Endpoints identifies the endpoint incarnations that terminated while running the
	// request, as hexadecimal strings because not every store keeps 64-bit numbers exact.
	// EndedMS is when each terminated, in Unix milliseconds.
	Endpoints []string `json:"endpoints"`
	EndedMS   []int64  `json:"endedMS"`
}

// holdsTask persists requests in quarantine in the store, for instances that receive no
// reports from others: those that start when no instance is left that knows of the hold,
// and one that is cut off from the other instances but not from the store.
type holdsTask struct {
	client  store.Client
	manager *quarantine.Manager
	// reports queues the requests quarantined at this instance that are not yet written.
	reports *ring.Ring[quarantine.Report]
	// isolated tells whether this instance has contact with none of the others.
	isolated  func() bool
	retention time.Duration
	log       logr.Logger
	// timeOfDay returns the wall-clock time: stored times must be comparable between instances.
	timeOfDay func() time.Time
}

const (
	// pendingHoldsCapacity bounds the requests queued to be written.
	pendingHoldsCapacity = 64
	// holdsReadInterval is the time between two reads of an isolated instance, and the
	// delay before a failed read is retried.
	holdsReadInterval = time.Second
)

// run reads the holds once when the instance starts, and periodically while it is isolated.
func (d *holdsTask) run(ctx context.Context) {
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

// read passes the stored holds to the quarantine manager. With stale set, the store may answer
// with data that is not current, which suffices at a start.
func (d *holdsTask) read(ctx context.Context, stale bool) error {
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

func (d *holdsTask) list(ctx context.Context, stale bool) (store.List, error) {
	if reader, offered := d.client.(store.StaleReader); offered && stale {
		return reader.ListStale(ctx, store.KindHold, "")
	}
	return d.client.List(ctx, store.KindHold)
}

// write stores requests as they enter quarantine.
func (d *holdsTask) write(ctx context.Context) {
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

// put writes a request, replacing the object of an earlier hold, and removes expired objects.
func (d *holdsTask) put(ctx context.Context, report quarantine.Report) error {
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

// prune removes the requests whose terminations have all expired.
func (d *holdsTask) prune(ctx context.Context) error {
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

func (d *holdsTask) encode(report quarantine.Report) heldRequest {
	now := d.timeOfDay().UnixMilli()
	var h heldRequest
	for i, incarnation := range report.Incarnations {
		h.Endpoints = append(h.Endpoints, strconv.FormatUint(incarnation, 16))
		h.EndedMS = append(h.EndedMS, now-report.AgesMS[i])
	}
	return h
}

// Errors of decode.
var (
	errHoldExpired    = errors.New("all terminations have expired")
	errHoldMismatched = errors.New("endpoints and endedMS differ in length")
)

// decode reads a hold object, leaving out terminations older than the retention. It returns
// errHoldExpired if none is left, and errHoldMismatched if the lists differ in length.
func (d *holdsTask) decode(o store.Object) (quarantine.Report, error) {
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
		// The writer's clock may be ahead of this one.
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
