package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/store"
)

// NodeFresh says how old what a node knows may be, in milliseconds.
type NodeFreshness struct {
	// LeavingMS is how soon a leaving endpoint must get no more requests.
	LeavingMS int `json:"leavingMS"`
	// SettingsMS is how soon accepted settings must be in force.
	SettingsMS int `json:"settingsMS"`
	// EvacuateMS is how soon the endpoints of an evacuated failure domain must get no more
	// requests; 0 means that the platform evacuates none.
	EvacuateMS int `json:"evacuateMS"`
	// ContactMS is how long a node may take to find back to a store that was away.
	ContactMS int `json:"contactMS"`
	// RevokedMS is how soon an account's key that is taken away must be refused, also by a
	// node that hears nothing of it; 0 means as soon as accepted settings are in force.
	RevokedMS int `json:"revokedMS"`
}

// keysAge is the age up to which a node may go by the keys in its settings. The rest is
// for clocks that go at different speeds.
func (f NodeFreshness) maxKeysAge() time.Duration {
	const used = 0.9
	return time.Duration(used * float64(milliseconds(f.RevokedMS)))
}

// What passes until news is in force at an instance whose watches are behind, the
// holder of the lease being lost right after it has vouched, is in this order:
//
//	vouchAge      since the holder's last answer, which it vouches for
//	holderLost    until the others notice its silence
//	behindWait    until a call that is behind is over, or a pause looks up
//	newsReserve   for the store's answer to the close call, and for routing
//
// All of them fit into the time that there is for news.
const (
	// answerTime is how long the store's answer may take; it comes within some
	// milliseconds.
	storeAnswerTime = 100 * time.Millisecond
	// newsReserve also covers a request that was routed just before.
	newsReserve = 150 * time.Millisecond
	// leastWait and mostWait bound how long the store may hold a watch. A call that
	// nobody answers is noticed only behind that.
	minWatchHold = 150 * time.Millisecond
	maxWatchHold = time.Second
)

// forNews is how soon news must be in force.
func (f NodeFreshness) newsBound() time.Duration {
	ms := min(f.LeavingMS, f.SettingsMS)
	if f.EvacuateMS > 0 {
		ms = min(ms, f.EvacuateMS)
	}
	return milliseconds(ms)
}

// wait is how long the store may hold a watch on endpoints, close or behind: half
// of what the other parts leave. A call that began while the store was away, and that
// nobody answers, is also over and made again before the node counts as in contact.
func (f NodeFreshness) watchHold() time.Duration {
	left := f.newsBound() - newsReserve - f.holderTimeout() - entriesBatchDelay - storeAnswerTime
	inContact := milliseconds(f.ContactMS) - entriesBatchDelay - store.WatchSlack - store.MaxRetryDelay - storeAnswerTime
	return min(max(min(left/2, inContact), minWatchHold), maxWatchHold)
}

// holderLost is for how long the holder of the lease may fail to vouch before the
// others look closely themselves: longer where there is more time for news, as the
// words of a hub with many instances and a narrow link come hubSlow apart, and one of
// them may be lost.
func (f NodeFreshness) holderTimeout() time.Duration {
	const share, beyond = 0.4, 2 * time.Second
	spare := max(f.newsBound()-beyond, 0)
	return minHolderTimeout + time.Duration(share*float64(spare))
}

// What an instance hears through one that tells the members, which may rest on the word of the
// holder of the lease, passes two instances: each word counts for half as long then.

// relayLost is for how long the word of an instance that tells the members counts, and how old
// the holder's may be on which that rests.
func (f NodeFreshness) relayAttestationLifetime() time.Duration {
	return max(f.holderTimeout()/2, minRelayAttestationLifetime)
}

// leastRelayLost is several times what an answer takes between weak instances.
const minRelayAttestationLifetime = 450 * time.Millisecond

// relayHold is how long an instance that tells others the members may hold a question: several
// answers fit into the time for which its word counts.
func (f NodeFreshness) relayHold() time.Duration { return f.relayAttestationLifetime() / 3 }

// entriesWait is how long the store may hold a close watch on endpoints.
func (f NodeFreshness) entriesWatchHold() time.Duration { return f.watchHold() }

// behindWait is how long the store may hold a watch that may be behind.
func (f NodeFreshness) staleWatchHold() time.Duration { return f.watchHold() }

// settingsWait is the same for a close watch on settings. They change seldom, so
// nothing gathers between two calls.
func (f NodeFreshness) settingsWatchHold() time.Duration { return f.watchHold() + entriesBatchDelay }

// keysWait is the same where this instance tells others whether they may go by the keys of
// accounts. Their right runs from before the call that shows that none was taken away, so
// that it is held for a small part of the right only: with 1.15 s of 4.5 s, instances had
// lost half of the right before an outage began.
func (f NodeFreshness) keysWatchHold() time.Duration {
	const part = 15
	if f.RevokedMS == 0 {
		return f.settingsWatchHold()
	}
	return min(f.settingsWatchHold(), f.maxKeysAge()/part)
}

// vouchAge is the age up to which an answer to a watch shows that what it brought
// is current: the next one has come by then, if the store answers.
func (f NodeFreshness) maxAttestedAge() time.Duration {
	return entriesBatchDelay + f.watchHold() + storeAnswerTime
}
