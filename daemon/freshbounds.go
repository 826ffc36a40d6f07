package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/store"
	"github.com/eiderspring/eiderspring/wait"
)

// NodeFreshness bounds how old the knowledge of a node may be, in milliseconds.
type NodeFreshness struct {
	// LeavingMS is the time within which a leaving endpoint must receive no more requests.
	LeavingMS int `json:"leavingMS"`
	// SettingsMS is the time within which accepted settings must be in force.
	SettingsMS int `json:"settingsMS"`
	// EvacuateMS is the time within which the endpoints of an evacuated failure domain must
	// receive no more requests; 0 means that the platform evacuates none.
	EvacuateMS int `json:"evacuateMS"`
	// ContactMS is how long a node may take to regain contact with a store that was
	// unreachable.
	ContactMS int `json:"contactMS"`
	// RevokedMS is the time within which a revoked key of an account must be refused, also by
	// a node that receives no update; 0 means as soon as accepted settings are in force.
	RevokedMS int `json:"revokedMS"`
}

// maxKeysAge returns the age up to which a node may accept the keys in its settings. The rest
// of RevokedMS is a margin for clocks that run at different rates.
func (f NodeFreshness) maxKeysAge() time.Duration {
	const used = 0.9
	return time.Duration(used * float64(milliseconds(f.RevokedMS)))
}

// The time until a change is in force at an instance whose watches are stale, if the lease
// holder is lost right after it has attested, consists in this order of:
//
//	maxAttestedAge   since the last answer to the holder, for which it attests
//	holderTimeout    until the other instances notice the missing attestations
//	staleWatchHold   until a stale call ends, or a pause is checked again
//	applyReserve     for the store's answer to the fresh call, and for routing
//
// The sum must fit into changeBound.
const (
	// storeAnswerTime bounds how long the store's answer may take; it arrives within some
	// milliseconds.
	storeAnswerTime = 100 * time.Millisecond
	// applyReserve also covers a request that was routed just before.
	applyReserve = 150 * time.Millisecond
	// minWatchHold and maxWatchHold bound how long the store may hold a watch. A call that is
	// never answered is noticed only after that time.
	minWatchHold = 150 * time.Millisecond
	maxWatchHold = time.Second
)

// changeBound returns the time within which changes must be in force.
func (f NodeFreshness) changeBound() time.Duration {
	ms := min(f.LeavingMS, f.SettingsMS)
	if f.EvacuateMS > 0 {
		ms = min(ms, f.EvacuateMS)
	}
	return milliseconds(ms)
}

// watchHold returns how long the store may hold a watch on endpoints, fresh or stale: half of
// what the other parts leave. A call that began while the store was unreachable and is never
// answered has also ended and been repeated before the node counts as in contact.
func (f NodeFreshness) watchHold() time.Duration {
	left := f.changeBound() - applyReserve - f.holderTimeout() - entriesBatchDelay - storeAnswerTime
	inContact := milliseconds(f.ContactMS) - entriesBatchDelay - store.WatchSlack - store.MaxRetryDelay - storeAnswerTime
	return min(max(min(left/2, inContact), minWatchHold), maxWatchHold)
}

// holderTimeout returns for how long attestations of the lease holder may be missing before
// the other instances use fresh watches themselves: longer if there is more time for changes,
// as the announcements of a coordinator with many instances and a narrow link come
// maxAnnounceInterval apart, and one of them may be lost.
func (f NodeFreshness) holderTimeout() time.Duration {
	const share, beyond = 0.4, 2 * time.Second
	spare := max(f.changeBound()-beyond, 0)
	return minHolderTimeout + time.Duration(share*float64(spare))
}

// What an instance receives through a relay may rest on the attestation of the lease holder
// and so passes two instances: each attestation counts for half as long then. If the holder is
// lost right after it has attested, the time until a follower of a relay learns of a change
// consists in this order of:
//
//	maxAttestedAge            since the last answer to the holder, for which it attests
//	relayAttestationLifetime  until the relay stops attesting
//	encodedLifetime           until its last attestation is no longer sent
//	relayAttestationLifetime  until its follower notices the missing attestations
//	wait.PollInterval         until the follower checks again
//	applyReserve              for the store's answer to the fresh call, and for routing
//
// The sum must fit into changeBound.

// relayAttestationLifetime returns for how long the attestation of a relay counts, and how old
// the attestation of the lease holder on which it rests may be.
func (f NodeFreshness) relayAttestationLifetime() time.Duration {
	left := f.changeBound() - f.maxAttestedAge() - encodedLifetime - wait.PollInterval - applyReserve
	return min(max(f.holderTimeout()/2, minRelayAttestationLifetime), left/2)
}

// minRelayAttestationLifetime is several times what an answer takes between weak instances; it
// applies where the time for changes leaves room for it.
const minRelayAttestationLifetime = 450 * time.Millisecond

// relayHold returns how long a relay may hold a request: several answers fit into the time for
// which its attestation counts.
func (f NodeFreshness) relayHold() time.Duration { return f.relayAttestationLifetime() / 3 }

// entriesWatchHold returns how long the store may hold a fresh watch on endpoints.
func (f NodeFreshness) entriesWatchHold() time.Duration { return f.watchHold() }

// staleWatchHold returns how long the store may hold a stale watch.
func (f NodeFreshness) staleWatchHold() time.Duration { return f.watchHold() }

// settingsWatchHold returns how long the store may hold a fresh watch on settings. They change
// seldom, so that there is no batching between two calls.
func (f NodeFreshness) settingsWatchHold() time.Duration { return f.watchHold() + entriesBatchDelay }

// keysWatchHold is the settingsWatchHold of an instance that replies to confirmation requests
// for the keys of accounts. The authority to accept keys counts from before the call that
// shows that none was revoked, so the call is held for only a small part of that time: with
// 1.15 s of 4.5 s, instances had used up half of it before an outage began.
func (f NodeFreshness) keysWatchHold() time.Duration {
	const part = 15
	if f.RevokedMS == 0 {
		return f.settingsWatchHold()
	}
	return min(f.settingsWatchHold(), f.maxKeysAge()/part)
}

// maxAttestedAge returns the age up to which an answer to a watch proves that what it brought
// is current: the next answer arrives by then if the store answers.
func (f NodeFreshness) maxAttestedAge() time.Duration {
	return entriesBatchDelay + f.watchHold() + storeAnswerTime
}
