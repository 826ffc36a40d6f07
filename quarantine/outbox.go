package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// changed records a change of a request, and schedules its report.
func (t *Tracker) changed(f Fingerprint, r *record, sends int) {
	t.invalidateDigest()
	if r.sendsLeft == 0 && sends > 0 {
		t.pending = append(t.pending, f)
	}
	r.sendsLeft = max(r.sendsLeft, sends)
}

// HasPendingReports reports whether PendingReports may return any reports.
func (t *Tracker) HasPendingReports(now time.Time) bool {
	return len(t.pending) > 0 || t.peerDiffers(now)
}

// peerDiffers reports whether another instance recently knew other terminations.
func (t *Tracker) peerDiffers(now time.Time) bool {
	return len(t.order) > 0 && !t.differedAt.IsZero() && now.Sub(t.differedAt) < differenceLifetime
}

// PendingReports returns the reports to send now, of at most room bytes: new ones first, then,
// where another instance knows other terminations, those not sent recently.
func (t *Tracker) PendingReports(now time.Time, room int) []Report {
	b := batch{now: now, room: room}
	t.addPending(&b)
	if t.peerDiffers(now) {
		t.addResent(&b)
	}
	return b.reports
}

// addPending adds the reports of changes, those of suspects with the most terminations first. Those
// that do not fit come the next time, followed by those that are to be sent more than once.
func (t *Tracker) addPending(b *batch) {
	slices.SortStableFunc(t.pending, func(a, b Fingerprint) int { return cmp.Compare(t.terminationsOf(b), t.terminationsOf(a)) })
	var again []Fingerprint
	for len(t.pending) > 0 {
		f := t.pending[0]
		r := t.records[f]
		if r != nil && !b.add(f, r) {
			break
		}
		t.pending = t.pending[1:]
		if r == nil {
			continue
		}
		if r.sendsLeft--; r.sendsLeft > 0 {
			again = append(again, f)
		}
	}
	t.pending = append(t.pending, again...)
}

// terminationsOf returns the number of known terminations of a suspect.
func (t *Tracker) terminationsOf(f Fingerprint) int {
	if r := t.records[f]; r != nil {
		return len(r.terminations)
	}
	return 0
}

// addResent adds reports that were not sent recently, starting where the last call stopped.
// They include cleared requests, as the other instance may have missed that.
func (t *Tracker) addResent(b *batch) {
	resent := 0
	for range t.order {
		t.resendIndex = (t.resendIndex + 1) % len(t.order)
		r := t.records[t.order[t.resendIndex]]
		if b.now.Sub(r.sentAt) < resendInterval {
			continue
		}
		if resent == maxResent || !b.add(t.order[t.resendIndex], r) {
			t.resendIndex = (t.resendIndex + len(t.order) - 1) % len(t.order)
			return
		}
		resent++
	}
}

// batch is the reports of one packet.
type batch struct {
	now     time.Time
	room    int
	reports []Report
}

// add adds the report of a request. It returns false if there is no room.
func (b *batch) add(f Fingerprint, r *record) bool {
	report := r.report(b.now, f)
	if report.size() > b.room {
		return false
	}
	b.room -= report.size()
	r.sentAt = b.now
	b.reports = append(b.reports, report)
	return true
}
