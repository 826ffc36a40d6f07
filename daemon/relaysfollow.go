package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/wait"
)

// initialFollowWait is for how long a new process waits until it can follow a relay: without
// one, it would read the whole list of a large fleet from the store. A relay itself does not
// wait.
const initialFollowWait = 1500 * time.Millisecond

// follow applies what relays send of the members, for as long as one can be followed.
func (r *relays) follow(ctx context.Context, apply func(membership.EntryEvent)) {
	if r == nil || r.address == "" {
		return
	}
	wait.While(ctx, initialFollowWait, func() bool { return !r.fleetKnown() || len(r.candidates()) > 0 && r.streamClient() == nil })
	failed := 0
	for ctx.Err() == nil && failed < maxRelayAttempts {
		candidates := r.candidates()
		if failed >= len(candidates) {
			break
		}
		if r.followOne(ctx, candidates[failed], apply) {
			failed = 0
		}
		failed++
	}
	r.following.Store(false)
	if failed > 0 {
		now := r.now()
		r.failedAt.Store(&now)
	}
}

// followOne follows one relay for as long as it answers and is to be followed. It reports
// whether the relay has answered at all.
func (r *relays) followOne(ctx context.Context, name string, apply func(membership.EntryEvent)) (answered bool) {
	start := r.now()
	session, err := r.dial(ctx, name)
	if err != nil {
		r.recordFailure(name, err)
		return false
	}
	defer session.Close()
	request, followsStoreAt := r.initialRequest(), time.Time{}
	for ctx.Err() == nil && len(r.candidates()) > 0 {
		delta, err := r.request(ctx, session, request)
		if err != nil {
			r.recordFailure(name, err)
			return answered
		}
		receivedAt := r.now()
		if !answered && r.isOutdated(delta) {
			r.recordFailure(name, errOutdatedMembers)
			return false
		}
		if r.noticesLeaving(delta) {
			followsStoreAt = r.now()
		}
		if r.now().Sub(followsStoreAt) >= relayStoreTimeout {
			r.recordFailure(name, errNotFollowingStore)
			return false
		}
		// The members may wait for room in a queue; nothing else that came with them does.
		r.onDelta(delta)
		if !answered {
			r.log.Info("following relay", "by", name, "members", len(delta.Members), "took_ms", receivedAt.Sub(start).Milliseconds())
			apply(membership.StoreAnswered{})
		}
		answered = true
		r.following.Store(true)
		if !delta.Empty() {
			apply(versionedEvent{EntryEvent: delta.Event(), version: storeVersionOf(delta)})
		}
		if delta.Current {
			r.attestedAt.Store(&receivedAt)
		}
		request = peer.MembersRequest{Process: delta.Process, Seq: delta.Seq, Hold: r.holdTime()}
	}
	return answered
}

// initialRequest asks for the full list, as of the version known here or a later one. An
// instance that already knows members does not wait for long, as nobody reports leaving
// endpoints to it meanwhile.
func (r *relays) initialRequest() peer.MembersRequest {
	newest := r.newestStoreVersion()
	if newest == (evacuation.Version{}) {
		return peer.MembersRequest{Hold: relayInitialHold}
	}
	return peer.MembersRequest{Hold: relayResumeHold, StoreEra: newest.Era, StoreRevision: newest.Revision}
}

func (r *relays) recordFailure(name string, err error) {
	r.unanswered.Add(1)
	r.log.Info("relay not followed", "by", name, "error", err.Error())
}

// errOutdatedMembers means that a relay sent members as of a version before the one known
// here.
var errOutdatedMembers = errors.New("the relay's members are older than those known here")

// errNotFollowingStore means that a relay follows neither the store nor the lease holder.
var errNotFollowingStore = errors.New("the relay does not follow the store")

// noticesLeaving reports whether leaving endpoints are reported by a relay or by the lease
// holder, or the store could not report them anyway.
func (r *relays) noticesLeaving(delta relay.Delta) bool {
	return delta.Current || delta.FollowsStore || r.holderAttests() || !r.storeAnswers()
}

// isOutdated reports whether a delta has members as of a version before the one known here: a
// member that has left would receive requests again.
func (r *relays) isOutdated(delta relay.Delta) bool {
	version := storeVersionOf(delta)
	return version != evacuation.Version{} && version.Compare(r.newestStoreVersion()) < 0
}

func storeVersionOf(delta relay.Delta) evacuation.Version {
	return evacuation.Version{Era: delta.StoreEra, Revision: delta.StoreRevision}
}

// errNotOpen means that an instance cannot be reached by streams yet.
var errNotOpen = errors.New("no stream connection to the instance")

func (r *relays) dial(ctx context.Context, name string) (*peer.Session, error) {
	client, address := r.streamClient(), r.streamAddress(name)
	if client == nil || address == "" {
		return nil, errNotOpen
	}
	ctx, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	return client.Dial(ctx, address)
}

func (r *relays) request(ctx context.Context, s *peer.Session, request peer.MembersRequest) (relay.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, request.Hold+relayReplyTimeout)
	defer cancel()
	data, err := s.Call(ctx, peer.Request{Members: &request})
	if err != nil {
		return relay.Delta{}, err
	}
	return relay.Decode(data)
}
