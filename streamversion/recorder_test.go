package streamversion

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/eiderspring/eiderspring/commit"
)

// recordsOf parses records that are written as STREAM:VERSION:UNTIL-S, joined by commas; - stands for none.
func recordsOf(t *testing.T, text string) []Record {
	var records []Record
	for _, one := range split(text) {
		parts := strings.Split(one, ":")
		until, err := strconv.ParseInt(parts[2], 10, 64)
		require.NoError(t, err)
		records = append(records, Record{Key: KeyOf("", parts[0]), Place: Place{Pool: "llm", Version: parts[1]}, UntilS: until})
	}
	return records
}

// recorderSession is a session of a Recorder, which names the streams that it has seen.
type recorderSession struct {
	t        *testing.T
	recorder *Recorder
	names    map[Key]string
}

func (s *recorderSession) records(text string) []Record {
	for _, one := range split(text) {
		name, _, _ := strings.Cut(one, ":")
		s.names[KeyOf("", name)] = name
	}
	return recordsOf(s.t, text)
}

func (s *recorderSession) text(records []Record) string {
	var texts []string
	for _, r := range records {
		texts = append(texts, s.names[r.Key]+":"+r.Version)
	}
	return strings.Join(texts, " ")
}

// event parses an event: submit RECORDS [final], load failed, load [NUMBER@VERSION=RECORDS]...,
// wrote VERSION, wrote conflict, wrote unknown, tick.
func (s *recorderSession) event(fields []string) RecorderEvent {
	switch args := fields[1:]; fields[0] {
	case "submit":
		return RecordsSubmitted{Records: s.records(args[0]), Final: len(args) > 1}
	case "load":
		if len(args) > 0 && args[0] == "failed" {
			return SlotsLoaded{Failed: true}
		}
		loaded := SlotsLoaded{}
		for _, slot := range args {
			head, records, _ := strings.Cut(slot, "=")
			number, version, _ := strings.Cut(head, "@")
			n, err := strconv.Atoi(number)
			require.NoError(s.t, err)
			loaded.Slots = append(loaded.Slots, StoredSlot{Number: n, Version: version, Records: s.records(records)})
		}
		return loaded
	case "wrote":
		switch args[0] {
		case "conflict":
			return SlotWritten{Result: commit.Conflict}
		case "unknown":
			return SlotWritten{Result: commit.Unknown}
		}
		return SlotWritten{Result: commit.Done, Version: args[0]}
	default:
		return RecorderTick{}
	}
}

func (s *recorderSession) action(a RecorderAction) string {
	switch a := a.(type) {
	case WriteSlot:
		return fmt.Sprintf("write %d@%s=[%s]", a.Number, a.Version, s.text(a.Records))
	case PassOn:
		return fmt.Sprintf("pass on [%s]", s.text(a.Records))
	default:
		return "load"
	}
}

// TestRecorderSessions runs sessions of a Recorder. A line is a time in milliseconds and an event.
func TestRecorderSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/recorder", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s := &recorderSession{t: t, recorder: NewRecorder(), names: map[Key]string{}}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				fields := strings.Fields(line)
				ms, err := strconv.ParseInt(fields[0], 10, 64)
				require.NoError(t, err)
				for _, a := range s.recorder.Step(time.UnixMilli(ms), s.event(fields[1:])) {
					fmt.Fprintf(&out, "%d %s\n", ms, s.action(a))
				}
			}
			fmt.Fprintf(&out, "%d waiting\n", s.recorder.Waiting())
			return out.String()
		})
	})
}

// recordSim runs two Recorders of one part against a store that loses answers, carries calls out late, is
// away, and comes back from a copy.
type recordSim struct {
	t         *rapid.T
	now       time.Time
	recorders []*Recorder
	// calls are the loads and writes under way at each Recorder.
	calls   [][]RecorderAction
	slots   map[int]StoredSlot
	version int
	// acknowledged are the records whose write was answered since the store last came back from a copy,
	// submitted all that there were.
	acknowledged, submitted map[Key]Record
	// late are writes without an answer that may still take effect.
	late []WriteSlot
	away bool
}

func (s *recordSim) step(i int, e RecorderEvent) {
	for _, a := range s.recorders[i].Step(s.now, e) {
		if p, passed := a.(PassOn); passed {
			s.step(1-i, RecordsSubmitted{Records: p.Records, Final: true})
			continue
		}
		s.calls[i] = append(s.calls[i], a)
	}
}

// take carries a write out if its condition holds.
func (s *recordSim) take(w WriteSlot) (version string, ok bool) {
	if s.slots[w.Number].Version != w.Version {
		return "", false
	}
	s.version++
	version = strconv.Itoa(s.version)
	s.slots[w.Number] = StoredSlot{Number: w.Number, Version: version, Records: slices.Clone(w.Records)}
	return version, true
}

// answer ends the oldest call of a Recorder.
func (s *recordSim) answer(i int) {
	if len(s.calls[i]) == 0 {
		return
	}
	call := s.calls[i][0]
	s.calls[i] = s.calls[i][1:]
	w, isWrite := call.(WriteSlot)
	if !isWrite {
		s.step(i, SlotsLoaded{Failed: s.away, Slots: slices.Collect(maps.Values(s.slots))})
		return
	}
	lost := rapid.IntRange(0, 3).Draw(s.t, "fate")
	switch {
	case s.away || lost == 1:
		s.late = append(s.late, w)
		s.step(i, SlotWritten{Result: commit.Unknown})
	case lost == 2:
		s.take(w)
		s.step(i, SlotWritten{Result: commit.Unknown})
	default:
		s.finish(i, w)
	}
}

func (s *recordSim) finish(i int, w WriteSlot) {
	version, ok := s.take(w)
	if !ok {
		s.step(i, SlotWritten{Result: commit.Conflict})
		return
	}
	for _, r := range w.Records {
		s.acknowledged[r.Key] = r
	}
	s.step(i, SlotWritten{Result: commit.Done, Version: version})
}

// restore lets the store come back from a copy, with other versions. Calls under way get no answer.
func (s *recordSim) restore(copied map[int]StoredSlot) {
	s.slots = map[int]StoredSlot{}
	for n, slot := range copied {
		s.version++
		slot.Version = strconv.Itoa(s.version)
		s.slots[n] = slot
	}
	clear(s.acknowledged)
}

// stored returns the records that the store keeps.
func (s *recordSim) stored() map[Key]Record {
	found := map[Key]Record{}
	for _, slot := range s.slots {
		for _, r := range slot.Records {
			found[r.Key] = r
		}
	}
	return found
}

// check requires that what was acknowledged is stored until it expires, and that what is stored is true.
func (s *recordSim) check() {
	stored := s.stored()
	for key, r := range s.acknowledged {
		if !r.expired(s.now) {
			require.Contains(s.t, stored, key)
		}
	}
	for key, r := range stored {
		require.Equal(s.t, s.submitted[key].Place, r.Place)
	}
}

// settle lets the store serve until nothing waits.
func (s *recordSim) settle() {
	s.away, s.late = false, nil
	for range 200 {
		s.now = s.now.Add(recordInterval)
		for i := range s.recorders {
			s.step(i, RecorderTick{})
			for len(s.calls[i]) > 0 {
				call := s.calls[i][0]
				s.calls[i] = s.calls[i][1:]
				if w, isWrite := call.(WriteSlot); isWrite {
					s.finish(i, w)
					continue
				}
				s.step(i, SlotsLoaded{Slots: slices.Collect(maps.Values(s.slots))})
			}
		}
	}
}

// TestRecordsOutliveTheirWriters guards against a beginning that is acknowledged and lost, one that is never
// written though the store serves again, and one that tells another version than that of its stream: over
// two instances that write the same part, lost answers, late writes, a store that is away, and one that
// comes back from a copy.
func TestRecordsOutliveTheirWriters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &recordSim{
			t: t, now: time.Unix(1000, 0), recorders: []*Recorder{NewRecorder(), NewRecorder()}, calls: make([][]RecorderAction, 2),
			slots: map[int]StoredSlot{}, acknowledged: map[Key]Record{}, submitted: map[Key]Record{},
		}
		copied := map[int]StoredSlot{}
		for n := range rapid.IntRange(1, 120).Draw(t, "steps") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "recorder")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2:
				place := Place{Pool: "llm", Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")}
				count := rapid.SampledFrom([]int{1, 2, slotRecords}).Draw(t, "records")
				var records []Record
				for c := range count {
					r := Record{Key: KeyOf("", fmt.Sprint(n, " ", c)), Place: place, UntilS: s.now.Unix() + rapid.Int64Range(1, 300).Draw(t, "keep")}
					s.submitted[r.Key] = r
					records = append(records, r)
				}
				s.step(i, RecordsSubmitted{Records: records})
			case 3:
				s.away = !s.away
			case 4:
				copied = maps.Clone(s.slots)
			case 5:
				s.restore(copied)
			case 6:
				if len(s.late) > 0 {
					s.take(s.late[0])
					s.late = s.late[1:]
				}
			case 7:
				s.step(i, RecorderTick{})
			default:
				s.answer(i)
			}
			s.check()
		}
		s.settle()
		s.check()
		for _, r := range s.recorders {
			require.Zero(t, r.Waiting())
		}
		// Behind all that, what comes next is written.
		last := Record{Key: KeyOf("", "last"), Place: Place{Pool: "llm", Version: "v2"}, UntilS: s.now.Unix() + 600}
		s.submitted[last.Key] = last
		s.step(0, RecordsSubmitted{Records: []Record{last}})
		s.settle()
		require.Contains(t, s.stored(), last.Key)
	})
}

// TestSlotsAreUsedAgain guards against slots whose number grows with the streams of a day.
func TestSlotsAreUsedAgain(t *testing.T) {
	const streams, keepS = 5000, 60
	s := &recordSim{now: time.Unix(1000, 0), recorders: []*Recorder{NewRecorder(), NewRecorder()}, calls: make([][]RecorderAction, 2), slots: map[int]StoredSlot{}, acknowledged: map[Key]Record{}, submitted: map[Key]Record{}}
	for n := range streams {
		s.now = s.now.Add(recordInterval)
		r := Record{Key: KeyOf("", fmt.Sprint(n)), Place: Place{Pool: "llm", Version: "v1"}, UntilS: s.now.Unix() + keepS}
		s.step(0, RecordsSubmitted{Records: []Record{r}})
		for len(s.calls[0]) > 0 {
			call := s.calls[0][0]
			s.calls[0] = s.calls[0][1:]
			if w, isWrite := call.(WriteSlot); isWrite {
				s.finish(0, w)
				continue
			}
			s.step(0, SlotsLoaded{})
		}
	}
	live := keepS * int(time.Second/recordInterval)
	require.LessOrEqual(t, len(s.slots), live/slotRecords+2)
}

// TestSlotKeepsItsRecords guards against records that change in the store, and against bytes of a slot that
// are read as records of other streams.
func TestSlotKeepsItsRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(0, 100).Draw(t, "records") {
			place := Place{Pool: rapid.String().Draw(t, "pool"), Version: rapid.String().Draw(t, "version")}
			records = append(records, Record{Key: KeyOf("", fmt.Sprint(i)), Place: place, UntilS: rapid.Int64Range(0, 1<<32-1).Draw(t, "until")})
		}
		slot := PackSlot(records)
		got, err := slot.Unpack()
		require.NoError(t, err)
		require.Equal(t, records, got)
		if len(records) == 0 {
			return
		}
		slot.Records = slot.Records[:len(slot.Records)-rapid.IntRange(1, packedBytes-1).Draw(t, "cut")]
		_, err = slot.Unpack()
		require.True(t, errors.Is(err, ErrSlot))
		_, err = Slot{Records: PackSlot(records).Records}.Unpack()
		require.True(t, errors.Is(err, ErrSlot))
	})
}

// TestRecordsOfOneAttemptAtTwoVersionsConflict guards against a stream of an attempt ID that was used twice,
// which is taken for one of the two versions.
func TestRecordsOfOneAttemptAtTwoVersionsConflict(t *testing.T) {
	now := time.Unix(1000, 0)
	records := NewRecords()
	records.Add(recordsOf(t, "a:v1:1100,b:v1:1100,a:v2:1050,c:v1:900,b:v1:1101"))
	for stream, want := range map[string]State{"a": Conflicting, "b": Known, "c": Known, "d": Unknown} {
		b, state := records.Find(now, KeyOf("", stream))
		require.Equal(t, want, state, stream)
		if state == Known {
			require.Equal(t, "v1", b.Version)
			require.GreaterOrEqual(t, b.KeepMS, minRecordedKeep.Milliseconds())
		}
	}
}

// TestBeginningsAreSubmittedAgain guards against streams that are under way when a second version comes, the
// writer changes, or the store comes back from a copy, and are not recorded since.
func TestBeginningsAreSubmittedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSubmissions()
	needed := false
	writer := Writer{Name: "a", Era: 1}
	due := func() []Beginning {
		return s.Due(now, func(Beginning) (Writer, bool) { return writer, needed })[writer]
	}
	s.Add(now, Beginning{Key: KeyOf("", "x"), Pool: "llm", Version: "v1", KeepMS: 60_000})
	require.Empty(t, due(), "one version: nothing to record")
	needed = true
	require.Len(t, due(), 1)
	require.Empty(t, due())
	writer.Name = "b"
	now = now.Add(10 * time.Second)
	again := due()
	require.Len(t, again, 1)
	require.EqualValues(t, 50_000, again[0].KeepMS, "what is left")
	writer.Era++
	require.Len(t, due(), 1)
	now = now.Add(50 * time.Second)
	writer.Era++
	require.Empty(t, due())
	require.Zero(t, s.Len())
}

// TestWritersAreFew guards against a fleet in which most instances write records, and against writers of a
// part that instances compute differently or that are lost with one failure domain.
func TestWritersAreFew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := fleetOf(t)
		home := rapid.SampledFrom(instances).Draw(t, "home").Region
		shuffled := NewFleet(rapid.Permutation(instances).Draw(t, "order"))
		fleet := NewFleet(instances)
		inRegion := 0
		domains := map[string]string{}
		for _, i := range instances {
			domains[i.Name] = i.FailureDomain
			if i.Region == home {
				inRegion++
			}
		}
		parts := map[Part]bool{}
		for n := range 200 {
			key := KeyOf("", fmt.Sprint(n))
			part := fleet.PartOf(key, home)
			parts[part] = true
			require.Equal(t, part, shuffled.PartOf(key, home))
			writers := fleet.Writers(part)
			require.Equal(t, writers, shuffled.Writers(part))
			require.Len(t, writers, min(inRegion, WriterChoices))
		}
		require.LessOrEqual(t, len(parts), (inRegion+instancesPerWriter-1)/instancesPerWriter)
	})
}
