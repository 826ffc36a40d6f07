package streamversion

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// Record is a Beginning as the store keeps it, for when all instances have ended.
type Record struct {
	Key Key
	Place
	// UntilS is until when the caller may ask for the rest, in seconds of Unix time.
	UntilS int64
}

// NewRecord returns the record of a beginning at a wall-clock time.
func NewRecord(timeOfDay time.Time, b Beginning) Record {
	return Record{Key: b.Key, Place: Place{Pool: b.Pool, Version: b.Version}, UntilS: timeOfDay.Add(b.keep()).Unix()}
}

// minRecordedKeep is for how long a beginning that was read from the store is kept at least: the wall
// clocks of its writer and its reader may differ, and its caller is asking for it.
const minRecordedKeep = 10 * time.Second

// Beginning returns the beginning, to be kept for as long as the record still holds.
func (r Record) Beginning(timeOfDay time.Time) Beginning {
	keep := max(time.Unix(r.UntilS, 0).Sub(timeOfDay), minRecordedKeep)
	return Beginning{Key: r.Key, Pool: r.Pool, Version: r.Version, KeepMS: keep.Milliseconds()}
}

func (r Record) expired(timeOfDay time.Time) bool { return timeOfDay.Unix() >= r.UntilS }

// Place is a pool and the software version at which streams began there.
type Place struct {
	Pool    string `json:"pool"`
	Version string `json:"version"`
}

// Slot is the content of one object of the store: records in a compact form.
type Slot struct {
	// Places are what the records refer to by index.
	Places []Place `json:"places"`
	// Records holds packedBytes bytes for each record: its key, its index in Places, and UntilS.
	Records []byte `json:"records"`
}

// Offsets in a packed record, in bytes.
const (
	placeOffset = len(Key{})
	untilOffset = placeOffset + 2
	packedBytes = untilOffset + 4
)

// ErrSlot reports a slot that cannot be read.
var ErrSlot = errors.New("slot of beginnings: records are malformed")

// PackSlot returns the slot that holds records.
func PackSlot(records []Record) Slot {
	s := Slot{Records: make([]byte, 0, len(records)*packedBytes)}
	for _, r := range records {
		index := slices.Index(s.Places, r.Place)
		if index < 0 {
			index = len(s.Places)
			s.Places = append(s.Places, r.Place)
		}
		s.Records = append(s.Records, r.Key[:]...)
		s.Records = binary.BigEndian.AppendUint16(s.Records, uint16(index))
		s.Records = binary.BigEndian.AppendUint32(s.Records, uint32(r.UntilS))
	}
	return s
}

// Unpack returns the records of the slot.
func (s Slot) Unpack() ([]Record, error) {
	if len(s.Records)%packedBytes != 0 {
		return nil, ErrSlot
	}
	var records []Record
	for packed := range slices.Chunk(s.Records, packedBytes) {
		index := int(binary.BigEndian.Uint16(packed[placeOffset:]))
		if index >= len(s.Places) {
			return nil, ErrSlot
		}
		r := Record{Place: s.Places[index], UntilS: int64(binary.BigEndian.Uint32(packed[untilOffset:]))}
		copy(r.Key[:], packed)
		records = append(records, r)
	}
	return records, nil
}

// Records are the records that were read from the store, by key.
type Records struct {
	byKey       map[Key]Record
	conflicting map[Key]bool
}

// NewRecords returns no records.
func NewRecords() *Records { return &Records{byKey: map[Key]Record{}, conflicting: map[Key]bool{}} }

// Add takes records that were read.
func (r *Records) Add(records []Record) {
	for _, record := range records {
		r.add(record)
	}
}

func (r *Records) add(record Record) {
	known, found := r.byKey[record.Key]
	if found && known.Place != record.Place {
		r.conflicting[record.Key] = true
	}
	if !found || record.UntilS > known.UntilS {
		r.byKey[record.Key] = record
	}
}

// Len returns the number of streams.
func (r *Records) Len() int { return len(r.byKey) }

// Find returns what the records tell of a stream. One that has expired tells as well: a beginning stays
// true.
func (r *Records) Find(timeOfDay time.Time, key Key) (Beginning, State) {
	record, found := r.byKey[key]
	switch {
	case !found:
		return Beginning{}, Unknown
	case r.conflicting[key]:
		return Beginning{}, Conflicting
	default:
		return record.Beginning(timeOfDay), Known
	}
}
