package daemon

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/commit"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/streamversion"
)

const (
	// recordsTick is the time between two looks at what is to be recorded.
	recordsTick = 100 * time.Millisecond
	// recordEventCapacity bounds the events that wait for the recorders.
	recordEventCapacity = 1024
	// beginningsPerPacket is the number of beginnings of which a packet has room, with pools and versions
	// of usual length.
	beginningsPerPacket = 12
)

// streamRecords has the beginnings of streams written to the store, for when all instances end, and writes
// those of the parts that this instance is asked to write.
type streamRecords struct {
	streams  *streamVersions
	register *versionRegister
	client   store.Client
	vars     *expvar.Map
	log      logr.Logger
	// timeOfDay returns the wall-clock time, as records are read by other processes.
	timeOfDay func() time.Time

	events *ring.Ring[recordEvent]
	// submissions and recorders belong to the goroutine of run.
	submissions *streamversion.Submissions
	recorders   map[streamversion.Part]*streamversion.Recorder
	// writers are the first choices to write parts in fleet, computed once.
	fleet   *streamversion.Fleet
	writers map[streamversion.Part]string
}

// recordEvent is an event of a part's recorder, or the beginning of a stream at this instance.
type recordEvent struct {
	part  streamversion.Part
	event streamversion.RecorderEvent
	began *streamversion.Beginning
}

func newStreamRecords(s *streamVersions, register *versionRegister, client store.Client) *streamRecords {
	return &streamRecords{
		streams: s, register: register, client: client, vars: s.vars, log: s.log, timeOfDay: time.Now,
		events: ring.New[recordEvent](recordEventCapacity, ring.Reject), submissions: streamversion.NewSubmissions(),
		recorders: map[streamversion.Part]*streamversion.Recorder{},
	}
}

// began takes the beginning of a stream at this instance.
func (r *streamRecords) began(b streamversion.Beginning) {
	r.put(recordEvent{began: &b})
}

// receive takes beginnings that another instance wants written here.
func (r *streamRecords) receive(request streamversion.RecordRequest) {
	now := r.timeOfDay()
	submitted := streamversion.RecordsSubmitted{Final: request.Choice+1 >= streamversion.WriterChoices}
	for _, b := range request.Beginnings {
		submitted.Records = append(submitted.Records, streamversion.NewRecord(now, b))
	}
	r.put(recordEvent{part: request.Part, event: submitted})
}

// put queues an event. The datagrams' event loop and requests don't wait for a full queue: what finds no
// room is not recorded.
func (r *streamRecords) put(e recordEvent) {
	if err := r.events.Put(context.Background(), e); err != nil {
		r.vars.Add("stream_records_dropped", 1)
	}
}

// putResult queues the result of a call to the store, which a recorder waits for.
func (r *streamRecords) putResult(part streamversion.Part, e streamversion.RecorderEvent) {
	if err := r.events.PutFirst(recordEvent{part: part, event: e}); err != nil {
		r.log.Info("stream record result dropped", "error", err.Error())
	}
}

// run submits the beginnings of this instance, and runs the recorders.
func (r *streamRecords) run(ctx context.Context) {
	tickAt := r.streams.now()
	for ctx.Err() == nil {
		if e, taken := r.take(ctx); taken {
			r.apply(ctx, e)
		}
		if now := r.streams.now(); now.Sub(tickAt) >= recordsTick {
			tickAt = now
			r.tick(ctx)
		}
	}
}

// take returns the next event. While there is something to follow it waits for recordsTick only.
func (r *streamRecords) take(ctx context.Context) (recordEvent, bool) {
	if !r.idle() {
		tick, cancel := context.WithTimeout(ctx, recordsTick)
		defer cancel()
		ctx = tick
	}
	e, err := r.events.Take(ctx)
	return e, err == nil
}

func (r *streamRecords) idle() bool {
	for _, recorder := range r.recorders {
		if !recorder.Idle() {
			return false
		}
	}
	return r.submissions.Len() == 0
}

func (r *streamRecords) apply(ctx context.Context, e recordEvent) {
	if e.began == nil {
		r.step(ctx, e.part, e.event)
		return
	}
	r.submissions.Add(r.streams.now(), *e.began)
	r.submit()
}

// tick submits what has another writer now, and advances the recorders.
func (r *streamRecords) tick(ctx context.Context) {
	r.submit()
	for part, recorder := range r.recorders {
		if !recorder.Idle() {
			r.step(ctx, part, streamversion.RecorderTick{})
		}
	}
}

// submit sends the beginnings of this instance to their writers, those that need a record.
func (r *streamRecords) submit() {
	fleet, region := r.streams.currentFleet()
	if fleet != r.fleet {
		r.fleet, r.writers = fleet, map[streamversion.Part]string{}
	}
	era, needed := r.register.era(), map[string]bool{}
	writerOf := func(b streamversion.Beginning) (streamversion.Writer, bool) {
		if _, known := needed[b.Pool]; !known {
			needed[b.Pool] = r.register.needsRecords(b.Pool)
		}
		if !needed[b.Pool] {
			return streamversion.Writer{}, false
		}
		part := fleet.PartOf(b.Key, region)
		return streamversion.Writer{Part: part, Name: r.writerOf(part), Era: era}, true
	}
	for writer, beginnings := range r.submissions.Due(r.streams.now(), writerOf) {
		r.request(writer.Name, writer.Part, 0, beginnings)
	}
}

// writerOf returns the first choice to write a part.
func (r *streamRecords) writerOf(part streamversion.Part) string {
	name, known := r.writers[part]
	if !known {
		name = r.fleet.Writers(part)[0]
		r.writers[part] = name
	}
	return name
}

// request asks an instance, which may be this one, to write beginnings.
func (r *streamRecords) request(writer string, part streamversion.Part, choice int64, beginnings []streamversion.Beginning) {
	for some := range slices.Chunk(beginnings, beginningsPerPacket) {
		request := streamversion.RecordRequest{Part: part, Choice: choice, Beginnings: some}
		if writer == r.streams.mesh.instance {
			r.receive(request)
			continue
		}
		r.streams.send(peer.Packet{StreamRecords: &request}, r.streams.mesh.addressesOf([]string{writer}))
	}
	r.vars.Add("stream_records_submitted", int64(len(beginnings)))
}

// step passes an event to the recorder of a part and carries its actions out.
func (r *streamRecords) step(ctx context.Context, part streamversion.Part, e streamversion.RecorderEvent) {
	recorder := r.recorders[part]
	if recorder == nil {
		recorder = streamversion.NewRecorder()
		r.recorders[part] = recorder
	}
	for _, a := range recorder.Step(r.timeOfDay(), e) {
		switch a := a.(type) {
		case streamversion.LoadSlots:
			go func() { r.putResult(part, r.load(ctx, part)) }()
		case streamversion.WriteSlot:
			go func() { r.putResult(part, r.write(ctx, part, a)) }()
		case streamversion.PassOn:
			r.passOn(part, a.Records)
		}
	}
}

// passOn asks the next instance to write records, as the store does not serve this one.
func (r *streamRecords) passOn(part streamversion.Part, records []streamversion.Record) {
	var beginnings []streamversion.Beginning
	now := r.timeOfDay()
	for _, record := range records {
		beginnings = append(beginnings, record.Beginning(now))
	}
	fleet, _ := r.streams.currentFleet()
	writers := fleet.Writers(part)
	choice := slices.Index(writers, r.streams.mesh.instance) + 1
	next := r.streams.mesh.instance
	if choice < len(writers) {
		next = writers[choice]
	} else {
		choice = streamversion.WriterChoices - 1
	}
	r.log.Info("stream records passed on", "region", part.Region, "part", part.Number, "records", len(records), "to", next)
	r.request(next, part, int64(choice), beginnings)
}

func (r *streamRecords) load(ctx context.Context, part streamversion.Part) streamversion.RecorderEvent {
	prefix := slotPrefix(part)
	loaded := streamversion.SlotsLoaded{}
	err := readStreamRecords(ctx, r.client, r.log, func(o store.Object, records []streamversion.Record) {
		text, ofPart := strings.CutPrefix(o.Metadata.Name, prefix)
		number, err := strconv.Atoi(text)
		if ofPart && err == nil && number >= 0 {
			loaded.Slots = append(loaded.Slots, streamversion.StoredSlot{Number: number, Version: o.Metadata.ResourceVersion, Records: records})
		}
	})
	if err != nil {
		r.log.Info("stream records not loaded", "region", part.Region, "part", part.Number, "error", err.Error())
		return streamversion.SlotsLoaded{Failed: true}
	}
	return loaded
}

// write writes a slot. It does not resolve a lost answer: the recorder loads again.
func (r *streamRecords) write(ctx context.Context, part streamversion.Part, w streamversion.WriteSlot) streamversion.RecorderEvent {
	o, err := store.NewObject(store.KindStreamRecord, slotPrefix(part)+strconv.Itoa(w.Number), streamversion.PackSlot(w.Records))
	if err != nil {
		r.log.Info("stream records not written", "region", part.Region, "part", part.Number, "error", err.Error())
		return streamversion.SlotWritten{Result: commit.Conflict}
	}
	o.Metadata.ResourceVersion = w.Version
	version, result := store.Put(ctx, r.client, o)
	if result != commit.Done {
		r.log.Info("stream records not written", "region", part.Region, "part", part.Number, "slot", w.Number, "unanswered", result == commit.Unknown)
	}
	r.vars.Add("stream_record_writes", 1)
	return streamversion.SlotWritten{Result: result, Version: version}
}

// slotPrefix begins the names of a part's slots.
func slotPrefix(p streamversion.Part) string {
	return fmt.Sprintf("%s.%d.", hashedNamePart(p.Region), p.Number)
}

// readStreamRecords reads all records and passes each slot to take. What is not readable is passed over: its
// streams are unknown.
func readStreamRecords(ctx context.Context, client store.Client, log logr.Logger, take func(o store.Object, records []streamversion.Record)) error {
	list, err := client.List(ctx, store.KindStreamRecord)
	if err != nil {
		return err
	}
	for _, o := range list.Items {
		var slot streamversion.Slot
		err := json.Unmarshal(o.Spec, &slot)
		var records []streamversion.Record
		if err == nil {
			records, err = slot.Unpack()
		}
		if err != nil {
			log.Info("stream records not readable", "name", o.Metadata.Name, "error", err.Error())
		}
		take(o, records)
	}
	return nil
}
