package peer

import "time"

// listTracker determines when to refresh the platform's list because another instance
// has a newer version: this instance's pending call may hang.
//
// Invariants: ownVersion and refuted never decrease; refreshes are at least minInterval
// apart.
type listTracker struct {
	// grace is the time in which the pending call should return a version that others
	// have; minInterval is the minimum time between two refreshes.
	grace, minInterval time.Duration
	// ownVersion is the version that this instance has, newestReported the newest that
	// another instance has reported.
	ownVersion, newestReported int64
	// refuted is the newest reported version that the list did not have when requested: the
	// list has restarted its versions, or the reporter reads another list.
	refuted int64
	// since is when this instance's version became outdated, or when the list last
	// answered.
	since       time.Time
	refreshedAt time.Time
	// backoff is the time between unanswered refreshes, 0 after an answer.
	backoff time.Duration
}

// observeReport records the version that another instance has; 0 means that it did not
// report one.
func (t *listTracker) observeReport(now time.Time, version int64) {
	if version <= max(t.ownVersion, t.refuted) {
		return
	}
	if t.newestReported <= t.ownVersion {
		t.since = now
	}
	t.newestReported = max(t.newestReported, version)
}

// received records an answer of the list. requested is the reported version that caused the
// call, 0 if none did. It reports whether the version is newer than this instance's.
func (t *listTracker) received(now time.Time, version, requested int64) bool {
	if requested > version {
		t.refuted = max(t.refuted, requested)
	}
	if t.newestReported <= t.refuted {
		t.newestReported = 0
	}
	newer := version > t.ownVersion
	t.ownVersion = max(t.ownVersion, version)
	t.since, t.backoff = now, 0
	return newer
}

// refreshDue reports whether to refresh the list now, and records the refresh. While the
// list does not answer, the interval grows: the list may be slow rather than unreachable.
func (t *listTracker) refreshDue(now time.Time) bool {
	if t.newestReported <= t.ownVersion || now.Sub(t.since) < t.grace || now.Sub(t.refreshedAt) < max(t.backoff, t.minInterval) {
		return false
	}
	t.refreshedAt, t.backoff = now, min(max(2*t.backoff, t.minInterval), maxListBackoff*t.minInterval)
	return true
}
