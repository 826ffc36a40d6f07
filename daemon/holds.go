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

// heldSuspect is the spec of a hold object: one suspect in quarantine, a request or a part of
// prompts. The object's name is the suspect's fingerprint in hexadecimal digits.
type heldSuspect struct {
	// Endpoints identifies the endpoint incarnations that terminated under the suspect, as
	// hexadecimal strings because not every store keeps 64-bit numbers exact. EndedMS is when each
	// terminated, in Unix milliseconds.
	Endpoints []string `json:"endpoints"`
	EndedMS   []int64  `json:"endedMS"`
	// Shared is set for a part of prompts. Origins are then quarantine.Report.Origins, in
	// hexadecimal digits, and TriedMS is when the part was tried again, in Unix milliseconds.
	Shared  bool     `json:"shared,omitempty"`
	Origins []string `json:"origins,omitempty"`
	TriedMS []int64  `json:"triedMS,omitempty"`
}

// holdsTask persists requests in quarantine in the store, for instances that receive no
// reports from others: those that start when no instance is left that knows of the hold,
// and one that is cut off from the other instances but not from the store.
type holdsTask struct {
	client  store.Client
	writer  *store.Writer
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
		if report := d.known(o); len(report.Incarnations) > 0 {
			d.manager.ReceiveReports([]quarantine.Report{report}, false)
		}
	}
	return nil
}

func (d *holdsTask) list(ctx context.Context, stale bool) (store.List, error) {
	if reader, offered := d.client.(store.StaleReader); offered && stale {
		return reader.ListStale(ctx, store.KindHold, "")
	}
	return d.client.List(ctx, store.KindHold)
}

// write stores suspects as they enter quarantine, and removes those that are cleared.
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

// maxPutTries bounds the tries to write a hold that other instances write at the same time.
const maxPutTries = 3

// put writes a suspect, with what other instances have written of it, and removes expired objects.
// A suspect without terminations has been cleared: its object is removed.
func (d *holdsTask) put(ctx context.Context, report quarantine.Report) error {
	if len(report.Incarnations) == 0 {
		return d.remove(ctx, report.Name())
	}
	var err error
	for range maxPutTries {
		if err = d.putOnce(ctx, report); !store.IsConflict(err) {
			break
		}
	}
	if err != nil {
		return err
	}
	return d.prune(ctx)
}

// putOnce writes a suspect. The error is a conflict if another instance has written it meanwhile.
func (d *holdsTask) putOnce(ctx context.Context, report quarantine.Report) error {
	if err := d.replace(ctx, store.Object{}, report); !store.IsConflict(err) {
		return err
	}
	old, err := d.client.Get(ctx, store.KindHold, report.Name())
	if err != nil {
		return err
	}
	return d.replace(ctx, old, quarantine.MergeReports(report, d.known(old)))
}

// replace writes a suspect in place of old, its hold object; the zero Object if it has none. The error
// is a conflict if another instance has written the object meanwhile.
func (d *holdsTask) replace(ctx context.Context, old store.Object, report quarantine.Report) error {
	o, err := store.NewObject(store.KindHold, report.Name(), d.encode(report))
	if err != nil {
		return err
	}
	if o.Metadata.ResourceVersion = old.Metadata.ResourceVersion; o.Metadata.ResourceVersion == "" {
		_, err = d.writer.Create(ctx, o)
		return err
	}
	_, err = d.writer.Update(ctx, o)
	return err
}

// known returns what a hold object tells; the zero value if it cannot be read or has expired.
func (d *holdsTask) known(o store.Object) quarantine.Report {
	report, err := d.decode(o)
	if errors.Is(err, errHoldExpired) {
		return quarantine.Report{}
	}
	if err != nil {
		d.log.Info("held request unreadable", "name", o.Metadata.Name, "error", err.Error())
		return quarantine.Report{}
	}
	return report
}

// remove removes a hold object.
func (d *holdsTask) remove(ctx context.Context, name string) error {
	err := d.client.Delete(ctx, store.KindHold, name)
	if store.IsNotFound(err) {
		return nil
	}
	return err
}

// prune removes the suspects whose terminations have all expired.
func (d *holdsTask) prune(ctx context.Context) error {
	list, err := d.list(ctx, true)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		if _, err := d.decode(o); !errors.Is(err, errHoldExpired) {
			continue
		}
		if err := d.remove(ctx, o.Metadata.Name); err != nil {
			return err
		}
	}
	return nil
}

func (d *holdsTask) encode(report quarantine.Report) heldSuspect {
	now := d.timeOfDay().UnixMilli()
	h := heldSuspect{Shared: report.Shared}
	for i, incarnation := range report.Incarnations {
		h.Endpoints = append(h.Endpoints, formatHex(incarnation))
		h.EndedMS = append(h.EndedMS, now-report.AgesMS[i])
	}
	for _, origin := range report.Origins {
		h.Origins = append(h.Origins, formatHex(origin))
	}
	for _, age := range report.TrialsMS {
		h.TriedMS = append(h.TriedMS, now-age)
	}
	return h
}

func formatHex(n uint64) string { return strconv.FormatUint(n, 16) }

func parseHex(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }

// Errors of decode.
var (
	errHoldExpired    = errors.New("all terminations have expired")
	errHoldMismatched = errors.New("endpoints and endedMS differ in length")
)

// decode reads a hold object, leaving out terminations older than the retention. It returns
// errHoldExpired if none is left, and errHoldMismatched if the lists differ in length.
func (d *holdsTask) decode(o store.Object) (quarantine.Report, error) {
	var h heldSuspect
	if err := json.Unmarshal(o.Spec, &h); err != nil {
		return quarantine.Report{}, err
	}
	fingerprint, err := hex.DecodeString(o.Metadata.Name)
	if err != nil {
		return quarantine.Report{}, err
	}
	if len(h.Endpoints) != len(h.EndedMS) || len(h.Origins) > 0 && len(h.Origins) != len(h.Endpoints) {
		return quarantine.Report{}, errHoldMismatched
	}
	report := quarantine.Report{Fingerprint: fingerprint, Shared: h.Shared}
	for i := range h.Endpoints {
		if err := d.decodeTermination(h, i, &report); err != nil {
			return quarantine.Report{}, err
		}
	}
	if len(report.Incarnations) == 0 {
		return report, errHoldExpired
	}
	for _, tried := range h.TriedMS {
		report.TrialsMS = append(report.TrialsMS, min(d.ageMS(tried), d.retention.Milliseconds()))
	}
	return report, nil
}

// decodeTermination adds the termination with an index to a report, unless it is too old.
func (d *holdsTask) decodeTermination(h heldSuspect, i int, report *quarantine.Report) error {
	age := d.ageMS(h.EndedMS[i])
	if age >= d.retention.Milliseconds() {
		return nil
	}
	incarnation, err := parseHex(h.Endpoints[i])
	if err != nil {
		return err
	}
	report.Incarnations = append(report.Incarnations, incarnation)
	report.AgesMS = append(report.AgesMS, age)
	if len(h.Origins) == 0 {
		return nil
	}
	origin, err := parseHex(h.Origins[i])
	report.Origins = append(report.Origins, origin)
	return err
}

// ageMS returns how long ago a time in Unix milliseconds was; 0 if the writer's clock is ahead.
func (d *holdsTask) ageMS(unixMS int64) int64 { return max(d.timeOfDay().UnixMilli()-unixMS, 0) }
