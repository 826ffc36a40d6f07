package peer

import "time"

// listWord tells when to ask the platform's list because another instance has a newer
// one: the own call may hang.
//
// Invariants: own and refuted never fall; asks are at least every apart.
type listWord struct {
	// grace is how long the own call has to bring what others have; every is the
	// least time between two asks.
	grace, every time.Duration
	// own is the version that this instance has, told the newest that any other has.
	own, told int64
	// refuted is the newest version that an instance has told of and the list, when
	// asked, did not have: it began anew, or is another one.
	refuted int64
	// since is when this instance fell behind, or last had an answer.
	since   time.Time
	askedAt time.Time
	// pause is the time from the last ask to the next, 0 since an answer.
	pause time.Duration
}

// hear takes another instance's version; 0 says nothing.
func (w *listWord) hear(now time.Time, version int64) {
	if version <= max(w.own, w.refuted) {
		return
	}
	if w.told <= w.own {
		w.since = now
	}
	w.told = max(w.told, version)
}

// held takes an answer of the list, which was asked for on the word of a version, 0 if
// on none. It tells whether the version is news.
func (w *listWord) held(now time.Time, version, asked int64) bool {
	if asked > version {
		w.refuted = max(w.refuted, asked)
	}
	if w.told <= w.refuted {
		w.told = 0
	}
	news := version > w.own
	w.own = max(w.own, version)
	w.since, w.pause = now, 0
	return news
}

// due tells whether the list is to be asked now. While it does not answer, asks come
// further apart: it may be slow, not silent.
func (w *listWord) due(now time.Time) bool {
	if w.told <= w.own || now.Sub(w.since) < w.grace || now.Sub(w.askedAt) < max(w.pause, w.every) {
		return false
	}
	w.askedAt, w.pause = now, min(max(2*w.pause, w.every), mostListPause*w.every)
	return true
}
