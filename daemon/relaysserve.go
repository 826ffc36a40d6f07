package daemon

import (
	"context"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/wait"
)

// answer replies to a follower: at once if there are changes, or when it has waited for the
// time that the request permits. An instance that follows a relay itself does not reply, so
// that there are no cycles.
func (r *relays) answer(ctx context.Context, q peer.Request) peer.Reply {
	if q.Members == nil {
		return peer.Reply{}
	}
	until := r.now().Add(q.Members.Hold)
	for !r.following.Load() {
		expired := !r.now().Before(until)
		if data, ok := r.encodedDelta(*q.Members, expired); ok {
			r.answered.Add(1)
			return peer.Reply{Found: true, Data: data}
		}
		if expired || !wait.For(ctx, relayPollInterval) {
			break
		}
	}
	return peer.Reply{}
}

// encodedDelta returns the encoded changes for a follower. Unless the time of the request has
// expired, it returns false if there is no change yet.
func (r *relays) encodedDelta(q peer.MembersRequest, expired bool) (data []byte, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshFeed()
	if r.feed.ListingVersion() == 0 {
		return nil, false
	}
	delta := r.feed.Since(q.Process, q.Seq)
	newest := evacuation.Version{Era: q.StoreEra, Revision: q.StoreRevision}
	if !expired && (delta.Empty() || r.feedStoreVersion.Compare(newest) < 0) {
		return nil, false
	}
	key := q.Seq
	if delta.Full {
		key = fullKey
	}
	if data, cached := r.encoded[key]; cached {
		return data, true
	}
	delta.StoreEra, delta.StoreRevision = r.feedStoreVersion.Era, r.feedStoreVersion.Revision
	r.attest(&delta)
	data, err := relay.Encode(delta)
	if err != nil {
		r.log.Error(err, "members delta not encoded")
		return nil, false
	}
	r.encoded[key] = data
	return data, true
}

// fullKey stands for the full list among the encoded deltas.
const fullKey = -1

// refreshFeed takes over the listing if it has changed, at most once per relayBatchDelay; mu
// must be held.
func (r *relays) refreshFeed() {
	now := r.now()
	// A listing read after this is as of this version or a later one.
	storeVersion, differs := r.storeVersion(), r.listingVersion() != r.feed.ListingVersion()
	changed := differs && now.Sub(r.feedUpdatedAt) >= relayBatchDelay
	if changed {
		r.feed.Update(r.listing())
		r.feedUpdatedAt = now
	}
	if changed || !differs {
		r.feedStoreVersion = storeVersion
	}
	if changed || now.Sub(r.encodedAt) >= encodedLifetime {
		r.encoded, r.encodedAt = map[int64][]byte{}, now
	}
}

// relayStats is what operators see of following and serving.
type relayStats struct {
	// Following is whether this instance follows a relay, Answered how many requests of others
	// it has answered, Unanswered how many of its own requests failed.
	Following  bool  `json:"following"`
	Answered   int64 `json:"answered"`
	Unanswered int64 `json:"unanswered"`
}

func (r *relays) stats() relayStats {
	return relayStats{Following: r.following.Load(), Answered: r.answered.Load(), Unanswered: r.unanswered.Load()}
}
