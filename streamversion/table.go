package streamversion

import (
	"time"
)

// Bounds of a Table.
const (
	// MaxKeep bounds for how long a beginning is kept.
	MaxKeep = 10 * time.Minute
	// MaxBeginnings bounds the beginnings of a table, each of some 150 bytes.
	MaxBeginnings = 1 << 16
)

// Table holds beginnings of streams until they expire. The zero value is not usable.
//
// Invariant: each key of beginnings is in the list of due that its time names, or a later one.
type Table struct {
	beginnings map[Key]kept
	// due lists keys by the second of Unix time in which their beginnings may expire.
	due map[int64][]Key
	// expiredAt is the second in which expired beginnings were last dropped.
	expiredAt int64
}

// kept is a beginning with the time until which it is kept.
type kept struct {
	beginning   Beginning
	conflicting bool
	until       time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{beginnings: map[Key]kept{}, due: map[int64][]Key{}} }

// Len returns the number of beginnings.
func (t *Table) Len() int { return len(t.beginnings) }

// Put keeps a beginning. It reports false if the table is full.
func (t *Table) Put(now time.Time, b Beginning) bool {
	t.expire(now)
	k, found := t.beginnings[b.Key]
	if !found && len(t.beginnings) >= MaxBeginnings {
		return false
	}
	if !found || !now.Before(k.until) {
		k = kept{beginning: b}
	}
	k.conflicting = k.conflicting || k.beginning.Pool != b.Pool || k.beginning.Version != b.Version
	if until := now.Add(b.keep()); until.After(k.until) {
		k.until = until
		t.due[until.Unix()] = append(t.due[until.Unix()], b.Key)
	}
	t.beginnings[b.Key] = k
	return true
}

// Find returns what is known of a stream.
func (t *Table) Find(now time.Time, key Key) (Beginning, State) {
	k, found := t.beginnings[key]
	switch {
	case !found || !now.Before(k.until):
		return Beginning{}, Unknown
	case k.conflicting:
		return Beginning{}, Conflicting
	default:
		return k.beginning, Known
	}
}

// expire drops the beginnings that have expired, once a second.
func (t *Table) expire(now time.Time) {
	if now.Unix() == t.expiredAt {
		return
	}
	t.expiredAt = now.Unix()
	for second, keys := range t.due {
		if second >= now.Unix() {
			continue
		}
		for _, key := range keys {
			if !now.Before(t.beginnings[key].until) {
				delete(t.beginnings, key)
			}
		}
		delete(t.due, second)
	}
}
