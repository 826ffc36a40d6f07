package streamversion

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/commit"
)

// Times and bounds of a Recorder.
const (
	// recordInterval is the time between two writes: records that come in between are written together.
	// What came since the last write is lost if all instances end.
	recordInterval = 200 * time.Millisecond
	// recordRetry is the pause after a read or write that failed.
	recordRetry = 250 * time.Millisecond
	// passOnAfter is for how long the store fails a Recorder before another instance is to try: it may
	// fail this one only.
	passOnAfter = time.Second
	// slotRecords is the number of records from which on a slot takes no more. Each write repeats the
	// slot's records, so it is small.
	slotRecords = 64
	// maxWaitingRecords bounds the records that wait for a store that is away.
	maxWaitingRecords = MaxBeginnings
)

// RecorderEvent is an input of a Recorder.
type RecorderEvent interface{ isRecorderEvent() }

// RecordsSubmitted are records to write. Final records stay here also while the store fails.
type RecordsSubmitted struct {
	Records []Record
	Final   bool
}

// SlotsLoaded is the result of LoadSlots.
type SlotsLoaded struct {
	Slots []StoredSlot
	// Failed is set if the store did not answer.
	Failed bool
}

// SlotWritten is the outcome of a WriteSlot. Version is the slot's new version if it took effect.
type SlotWritten struct {
	Result  commit.Result
	Version string
}

// RecorderTick reports only that time has passed.
type RecorderTick struct{}

func (RecordsSubmitted) isRecorderEvent() {}
func (SlotsLoaded) isRecorderEvent()      {}
func (SlotWritten) isRecorderEvent()      {}
func (RecorderTick) isRecorderEvent()     {}

// RecorderAction is an output of a Recorder.
type RecorderAction interface{ isRecorderAction() }

// LoadSlots requests all slots of the part.
type LoadSlots struct{}

// WriteSlot requests a write of the slot with a number, conditional on the version of the object; an
// empty Version means a create.
type WriteSlot struct {
	Number  int
	Version string
	Records []Record
}

// PassOn are records that another instance is to write, as the store does not serve this one.
type PassOn struct{ Records []Record }

func (LoadSlots) isRecorderAction() {}
func (WriteSlot) isRecorderAction() {}
func (PassOn) isRecorderAction()    {}

// StoredSlot is a slot in the store with its number and version.
type StoredSlot struct {
	Number  int
	Version string
	Records []Record
}

// Recorder writes the records of one part of the streams to slots in the store, in batches. A slot is used
// again once all of its records have expired. Several instances may write the same part at once: a record
// is true whoever writes it, and every write is conditional on the version that was read.
//
// Invariant: while loaded is set, slots holds what the store kept when it was read, and what this Recorder
// has written since.
type Recorder struct {
	slots  map[int]StoredSlot
	open   int
	loaded bool

	waiting []waitingRecord
	// writing is the write in flight, and inFlight are the records that it adds.
	writing  *WriteSlot
	inFlight []waitingRecord
	loading  bool
	// failingSince is when the store began to fail; zero while it serves.
	failingSince     time.Time
	retryAt, wroteAt time.Time
}

// waitingRecord is a record that is not known to be in the store.
type waitingRecord struct {
	Record
	final bool
}

// NewRecorder returns a Recorder that has loaded nothing.
func NewRecorder() *Recorder { return &Recorder{} }

// Waiting returns the number of records that are not known to be in the store.
func (r *Recorder) Waiting() int { return len(r.waiting) + len(r.inFlight) }

// Step applies an event at a wall-clock time and returns what to do.
func (r *Recorder) Step(now time.Time, e RecorderEvent) []RecorderAction {
	switch e := e.(type) {
	case RecordsSubmitted:
		r.submit(e)
	case SlotsLoaded:
		r.loading = false
		r.load(now, e)
	case SlotWritten:
		r.wrote(now, e)
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingRecord) bool { return w.expired(now) })
	return append(r.passOn(now), r.next(now)...)
}

// submit takes records, those that are beyond the bound excepted.
func (r *Recorder) submit(e RecordsSubmitted) {
	room := max(maxWaitingRecords-r.Waiting(), 0)
	for _, record := range e.Records[:min(len(e.Records), room)] {
		r.waiting = append(r.waiting, waitingRecord{record, e.Final})
	}
}

// load replaces what is known of the slots. Records that are stored need not be written again.
func (r *Recorder) load(now time.Time, e SlotsLoaded) {
	if e.Failed {
		r.fail(now)
		return
	}
	r.failingSince = time.Time{}
	r.slots, r.loaded, r.open = map[int]StoredSlot{}, true, 0
	stored := map[Key]Place{}
	for _, s := range e.Slots {
		r.slots[s.Number] = s
		for _, record := range s.Records {
			stored[record.Key] = record.Place
		}
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingRecord) bool { return stored[w.Key] == w.Place })
}

// wrote applies the outcome of a write. One that may have taken effect is resolved by loading; if it takes
// effect after that, the next write of the slot ends in a conflict and another load.
func (r *Recorder) wrote(now time.Time, e SlotWritten) {
	if r.writing == nil {
		return
	}
	written, added := *r.writing, r.inFlight
	r.writing, r.inFlight, r.wroteAt = nil, nil, now
	if e.Result == commit.Done {
		r.failingSince = time.Time{}
		r.slots[written.Number] = StoredSlot{Number: written.Number, Version: e.Version, Records: written.Records}
		return
	}
	r.loaded = false
	r.waiting = append(added, r.waiting...)
	if e.Result == commit.Unknown {
		r.fail(now)
	}
}

func (r *Recorder) fail(now time.Time) {
	if r.failingSince.IsZero() {
		r.failingSince = now
	}
	r.retryAt = now.Add(recordRetry)
}

// passOn gives away the records that have a further instance to write them, once the store has failed for
// passOnAfter.
func (r *Recorder) passOn(now time.Time) []RecorderAction {
	if r.failingSince.IsZero() || now.Sub(r.failingSince) < passOnAfter {
		return nil
	}
	var given []Record
	r.waiting = slices.DeleteFunc(r.waiting, func(w waitingRecord) bool {
		if !w.final {
			given = append(given, w.Record)
		}
		return !w.final
	})
	if len(given) == 0 {
		return nil
	}
	return []RecorderAction{PassOn{Records: given}}
}

// next returns the next read or write, if one is due.
func (r *Recorder) next(now time.Time) []RecorderAction {
	switch {
	case r.writing != nil || r.loading || len(r.waiting) == 0 || now.Before(r.retryAt):
		return nil
	case !r.loaded:
		r.loading = true
		return []RecorderAction{LoadSlots{}}
	case now.Sub(r.wroteAt) < recordInterval:
		return nil
	}
	slot := r.openSlot(now)
	write := WriteSlot{Number: slot.Number, Version: slot.Version, Records: unexpired(now, slot.Records)}
	for _, w := range r.waiting {
		write.Records = append(write.Records, w.Record)
	}
	r.writing, r.inFlight, r.waiting = &write, r.waiting, nil
	return []RecorderAction{write}
}

// openSlot returns the slot that takes the next records: the last one if it has room, or else the first
// one whose records have all expired, or a new one.
func (r *Recorder) openSlot(now time.Time) StoredSlot {
	if s, found := r.slots[r.open]; found && len(s.Records) < slotRecords {
		return s
	}
	r.open = 0
	for len(unexpired(now, r.slots[r.open].Records)) > 0 {
		r.open++
	}
	s := r.slots[r.open]
	s.Number = r.open
	return s
}

func unexpired(now time.Time, records []Record) []Record {
	var live []Record
	for _, record := range records {
		if !record.expired(now) {
			live = append(live, record)
		}
	}
	return live
}

// Idle reports whether nothing waits, so that the Recorder needs no ticks.
func (r *Recorder) Idle() bool { return r.Waiting() == 0 }
