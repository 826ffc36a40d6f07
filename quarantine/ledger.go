package quarantine

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits say when a request is held back, and for how long.
type Limits struct {
	// Terminations is how many endpoints must have ended under a request for it to be held;
	// 0 holds none. With fewer, requests that merely ran beside another are held.
	Terminations int
	// Hold is for how long it is held at first, at least; each further ending doubles
	// it, maxDoublings times at most.
	Hold time.Duration
}

// DefaultLimits hold a request for two to three minutes behind its third ending: long
// beside the seconds in which an endpoint is back, so that a request that ends whatever
// runs it costs one endpoint in that time and fewer later, and short for somebody whose
// request was held wrongly.
var DefaultLimits = Limits{Terminations: 3, Hold: 2 * time.Minute}

const (
	// maxDoublings bounds the growth of a hold, and maxEndings what is kept of a request.
	maxDoublings = 4
	maxEndings   = 8
	// memoryDoublings is how many times the first hold, doubled, an ending counts.
	memoryDoublings = 7
	// maxRecords bounds the requests that are known, of some 400 bytes each: 64 are on an
	// endpoint at once, so that 64 endings within the memory fit. The oldest of those
	// that are not held are forgotten first.
	maxRecords = 4096
	// differs is for how long another instance's digest counts that is not ours, longer
	// than the half second between two hints: then all is told again, each request once in
	// retellEvery and maxRetold of them in a packet. So an instance that has just started,
	// or was cut off, knows all within seconds.
	differs     = 1200 * time.Millisecond
	retellEvery = time.Second
	maxRetold   = 8
)

// ending is that of one endpoint under a request.
type ending struct {
	endpoint uint64
	at       time.Time
}

// record is what is known of a request.
type record struct {
	endings  []ending
	servedAt time.Time
	// tells is how often it is still to be told, toldAt when it was last.
	tells  int
	toldAt time.Time
}

// Tracker knows which endpoints have ended under which requests.
//
// Invariants: an ending counts once, however often and in whichever order it is told;
// what ended before the request was served does not count.
type Tracker struct {
	limits  Limits
	records map[Fingerprint]*record
	// news is what is to be told, oldest first.
	news []Fingerprint
	// all holds every request that is known, in the order in which it came to be, and next
	// is the one to be told again first.
	all  []Fingerprint
	next int
	// differedAt is when another instance was last heard that knows other endings.
	differedAt time.Time
	// digest is that of the endings as they stood at the last change. It holds until
	// digestUntil, when the first of them is too old to count; zero for not known.
	digest      uint64
	digestUntil time.Time
}

// NewTracker returns a ledger that knows nothing.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, records: map[Fingerprint]*record{}} }

// IncarnationHash stands for one start of an endpoint.
func IncarnationHash(name string, startedAtMS int64) uint64 {
	return xxhash.Sum64String(name + "@" + strconv.FormatInt(startedAtMS, 10))
}

// SetLimits replaces the limits. With none held, what is known is forgotten, which
// releases all requests.
func (l *Tracker) SetLimits(limits Limits) {
	l.limits = limits
	l.forgetDigest()
	if limits.Terminations == 0 {
		clear(l.records)
		l.news, l.all = nil, nil
	}
}

// memory is for how long an ending counts: as long as six of the longest holds, so that a
// request that ends an endpoint each time that it is tried again is still held for about
// the longest time.
func (l *Tracker) memory() time.Duration { return l.limits.Retention() }

// Ended records that an endpoint has ended under a request, to be told so many times.
// It tells how many have by now.
func (l *Tracker) Ended(now time.Time, f Fingerprint, endpoint uint64, tells int) int {
	if l.limits.Terminations == 0 {
		return 0
	}
	r := l.record(now, f)
	if r.add(ending{endpoint, now}) == endingAdded {
		l.changed(f, r, tells)
	}
	return len(r.endings)
}

// Served records that a request was answered well and whole, to be told so many times: it does
// not end what runs it. It reports false for one of which nothing is known.
func (l *Tracker) Served(now time.Time, f Fingerprint, tells int) bool {
	r := l.records[f]
	if r == nil || len(r.endings) == 0 {
		return false
	}
	r.served(now)
	l.changed(f, r, tells)
	return true
}

// Hear takes the word of another instance, to be told so many times if it is news. It
// reports false for a word that no instance says.
func (l *Tracker) Hear(now time.Time, w Report, tells int) bool {
	if l.limits.Terminations == 0 {
		return true
	}
	if !w.sound(l.memory()) {
		return false
	}
	f := Fingerprint(w.Fingerprint)
	r := l.record(now, f)
	news := false
	if w.ServedMS > 0 {
		news = r.served(now.Add(-milliseconds(w.ServedMS - 1)))
	}
	for i, endpoint := range w.Incarnations {
		switch r.add(ending{endpoint, now.Add(-milliseconds(w.AgesMS[i]))}) {
		case endingAdded:
			news = true
		case endingOlder:
			l.forgetDigest()
		}
	}
	if news {
		l.changed(f, r, tells)
	}
	return true
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// changed notes that there is news of a request.
func (l *Tracker) changed(f Fingerprint, r *record, tells int) {
	l.forgetDigest()
	if r.tells == 0 && tells > 0 {
		l.news = append(l.news, f)
	}
	r.tells = max(r.tells, tells)
}

// added is what became of an ending that was to be recorded.
type added int

// What may become of an ending.
const (
	// endingKnown is one that changes nothing: it is known, or does not count.
	endingKnown added = iota
	// endingOlder is one that is known, and turned out to be older.
	endingOlder
	// endingAdded is news.
	endingAdded
)

// add records an ending.
func (r *record) add(e ending) added {
	if !e.at.After(r.servedAt) {
		return endingKnown
	}
	if i := slices.IndexFunc(r.endings, func(known ending) bool { return known.endpoint == e.endpoint }); i >= 0 {
		if !e.at.Before(r.endings[i].at) {
			return endingKnown
		}
		// Ages grow by the way of each word: the youngest way tells best.
		r.endings[i].at = e.at
		return endingOlder
	}
	r.endings = append(r.endings, e)
	slices.SortFunc(r.endings, func(a, b ending) int { return a.at.Compare(b.at) })
	if len(r.endings) > maxEndings {
		r.endings = slices.Delete(r.endings, 0, 1)
	}
	return endingAdded
}

// served records a whole answer. It reports false if that changes nothing.
func (r *record) served(at time.Time) bool {
	if !at.After(r.servedAt) {
		return false
	}
	r.servedAt = at
	before := len(r.endings)
	r.endings = slices.DeleteFunc(r.endings, func(e ending) bool { return !e.at.After(at) })
	return len(r.endings) < before
}

// last is when anything was last known of the request.
func (r *record) last() time.Time {
	if n := len(r.endings); n > 0 {
		return r.endings[n-1].at
	}
	return r.servedAt
}

// record returns the record of a request, a new one if there is none.
func (l *Tracker) record(now time.Time, f Fingerprint) *record {
	r := l.records[f]
	if r == nil {
		l.makeRoom(now)
		r = &record{}
		l.records[f] = r
		l.all = append(l.all, f)
	}
	if len(r.endings) > 0 && now.Sub(r.endings[0].at) >= l.memory() {
		r.endings = slices.DeleteFunc(r.endings, func(e ending) bool { return now.Sub(e.at) >= l.memory() })
		l.forgetDigest()
	}
	return r
}

// makeRoom forgets what is too old and, if that is not enough, an eighth of the rest:
// the oldest of those that are not held, or else of all.
func (l *Tracker) makeRoom(now time.Time) {
	if len(l.records) < maxRecords {
		return
	}
	l.forget(func(f Fingerprint) bool { return now.Sub(l.records[f].last()) >= l.memory() })
	if len(l.records) < maxRecords {
		return
	}
	oldest := slices.Clone(l.all)
	slices.SortStableFunc(oldest, func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(l.heldRank(a), l.heldRank(b)), l.records[a].last().Compare(l.records[b].last()))
	})
	for _, f := range oldest[:maxRecords/8] {
		delete(l.records, f)
	}
	l.forget(func(Fingerprint) bool { return false })
}

// heldRank is 1 for a request that enough endpoints have ended under, 0 for others.
func (l *Tracker) heldRank(f Fingerprint) int {
	if len(l.records[f].endings) >= l.limits.Terminations {
		return 1
	}
	return 0
}

// forget drops the requests that a function picks, and from the order those that are
// known no more.
func (l *Tracker) forget(picks func(Fingerprint) bool) {
	l.forgetDigest()
	l.all = slices.DeleteFunc(l.all, func(f Fingerprint) bool {
		if l.records[f] != nil && picks(f) {
			delete(l.records, f)
		}
		return l.records[f] == nil
	})
}

// Retention is for how long an ending counts.
func (l Limits) Retention() time.Duration { return l.Hold << memoryDoublings }

// Suspect tells how many endpoints have ended under a request.
func (l *Tracker) Suspect(now time.Time, f Fingerprint) int {
	r := l.records[f]
	if r == nil || now.Sub(r.last()) >= l.memory() {
		return 0
	}
	return len(r.endings)
}

// Held tells for how long a request is held back still; 0 if it is not.
func (l *Tracker) Held(now time.Time, f Fingerprint) time.Duration {
	r := l.records[f]
	if r == nil || l.limits.Terminations == 0 || len(r.endings) < l.limits.Terminations {
		return 0
	}
	return max(r.last().Add(l.hold(f, len(r.endings))).Sub(now), 0)
}

// OneAtATime tells whether a request that is let in must be the only one of its
// fingerprint: one more ending would hold it, or hold it again. Copies that are sent at
// once would end an endpoint each.
func (l *Tracker) OneAtATime(now time.Time, f Fingerprint) bool {
	return l.limits.Terminations > 0 && l.Suspect(now, f) >= max(l.limits.Terminations-1, 1)
}

// hold is for how long a request is held behind so many endings. It is up to half as long
// again, by the request: those that ended endpoints together are tried again one by one,
// so that what is innocent among them is served.
func (l *Tracker) hold(f Fingerprint, endings int) time.Duration {
	part := float64(binary.BigEndian.Uint32(f[:4])) / math.MaxUint32
	first := l.limits.Hold + time.Duration(float64(l.limits.Hold)/2*part)
	return first << min(endings-l.limits.Terminations, maxDoublings)
}

// HeldNow returns how many requests are held back.
func (l *Tracker) HeldNow(now time.Time) int {
	n := 0
	for _, f := range l.all {
		if l.Held(now, f) > 0 {
			n++
		}
	}
	return n
}

// HeldWords returns what is known of the requests that are held back now.
func (l *Tracker) HeldWords(now time.Time) []Report {
	var words []Report
	for _, f := range l.all {
		if l.Held(now, f) > 0 {
			words = append(words, l.records[f].word(now, f))
		}
	}
	return words
}

// Len returns how many requests are known.
func (l *Tracker) Len() int { return len(l.records) }

// Digest stands for all endings that count: whoever comes to the same number knows the
// same. It is 0 for none. It is worked out anew only behind a change: each packet that is
// heard or told asks for it, and a walk over 1,000 requests takes 48 us.
func (l *Tracker) Digest(now time.Time) uint64 {
	if !now.Before(l.digestUntil) {
		l.digest, l.digestUntil = l.walkDigest(now)
	}
	return l.digest
}

// forgetDigest makes the next Digest be worked out anew.
func (l *Tracker) forgetDigest() { l.digestUntil = time.Time{} }

// walkDigest works the digest out, and until when it holds if nothing changes.
func (l *Tracker) walkDigest(now time.Time) (sum uint64, until time.Time) {
	until = now.Add(l.memory())
	for _, f := range l.all {
		for _, e := range l.records[f].endings {
			expires := e.at.Add(l.memory())
			if !now.Before(expires) {
				continue
			}
			sum ^= (binary.BigEndian.Uint64(f[:8]) ^ bits.RotateLeft64(e.endpoint, 17)) * digestFactor
			if expires.Before(until) {
				until = expires
			}
		}
	}
	return sum, until
}

// digestFactor is odd, so that different endings stay different.
const digestFactor = 0x9E3779B97F4A7C15

// HearDigest takes the digest of another instance. It tells whether that one knows other
// endings.
func (l *Tracker) HearDigest(now time.Time, digest uint64) bool {
	if l.limits.Terminations == 0 || digest == l.Digest(now) {
		return false
	}
	l.differedAt = now
	return true
}

// Tells tells whether Words may have anything to tell.
func (l *Tracker) Tells(now time.Time) bool { return len(l.news) > 0 || l.differ(now) }

// differ tells whether another instance lately knew other endings.
func (l *Tracker) differ(now time.Time) bool {
	return len(l.all) > 0 && !l.differedAt.IsZero() && now.Sub(l.differedAt) < differs
}

// Words returns what is to be told now in so many bytes: news first, then, where another
// instance knows other endings, what was not told lately.
func (l *Tracker) Words(now time.Time, room int) []Report {
	b := batch{now: now, room: room}
	l.tellNews(&b)
	if l.differ(now) {
		l.retell(&b)
	}
	return b.words
}

// tellNews adds what is new. What finds no room comes first the next time, what is to be
// told again behind it.
func (l *Tracker) tellNews(b *batch) {
	var again []Fingerprint
	for len(l.news) > 0 {
		f := l.news[0]
		r := l.records[f]
		if r != nil && !b.add(f, r) {
			break
		}
		l.news = l.news[1:]
		if r == nil {
			continue
		}
		if r.tells--; r.tells > 0 {
			again = append(again, f)
		}
	}
	l.news = append(l.news, again...)
}

// retell adds what was not told lately, beginning where it ended the last time; also what
// was cleared, as the other may have missed that.
func (l *Tracker) retell(b *batch) {
	told := 0
	for range l.all {
		l.next = (l.next + 1) % len(l.all)
		r := l.records[l.all[l.next]]
		if b.now.Sub(r.toldAt) < retellEvery {
			continue
		}
		if told == maxRetold || !b.add(l.all[l.next], r) {
			l.next = (l.next + len(l.all) - 1) % len(l.all)
			return
		}
		told++
	}
}

// batch is the words of one packet.
type batch struct {
	now   time.Time
	room  int
	words []Report
}

// add adds the word of a request. It reports false where there is no room.
func (b *batch) add(f Fingerprint, r *record) bool {
	w := r.word(b.now, f)
	if w.size() > b.room {
		return false
	}
	b.room -= w.size()
	r.toldAt = b.now
	b.words = append(b.words, w)
	return true
}

// Word is what is known of a request; the zero Word for nothing.
func (l *Tracker) Word(now time.Time, f Fingerprint) Report {
	if r := l.records[f]; r != nil {
		return r.word(now, f)
	}
	return Report{}
}

func (r *record) word(now time.Time, f Fingerprint) Report {
	w := Report{Fingerprint: slices.Clone(f[:])}
	if !r.servedAt.IsZero() {
		w.ServedMS = max(now.Sub(r.servedAt).Milliseconds(), 0) + 1
	}
	for _, e := range r.endings {
		w.Incarnations = append(w.Incarnations, e.endpoint)
		w.AgesMS = append(w.AgesMS, max(now.Sub(e.at).Milliseconds(), 0))
	}
	return w
}
