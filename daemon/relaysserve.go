package daemon

import (
	"context"

	"github.com/eiderspring/eiderspring/evacuation"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/wait"
)

// answer answers another instance: at once where there is news, or when it has waited for as
// long as it lets. One that follows another itself does not answer, so that none goes in
// circles.
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

// news is what is new for one who asks, packed; false if there is nothing, and it is not over.
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
		r.log.Error(err, "members not packed")
		return nil, false
	}
	r.encoded[key] = data
	return data, true
}

// wholeKey stands for the whole among what was packed.
const fullKey = -1

// take takes the listing if it has changed, now and then; mu must be held.
func (r *relays) refreshFeed() {
	now := r.now()
	// What is listed later is of this version or a later one.
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

// relayStats is what operators see of who tells whom.
type relayStats struct {
	// Following is whether another instance tells this one, Answered how many questions of
	// others this one has answered, Unanswered how many own ones were not.
	Following  bool  `json:"following"`
	Answered   int64 `json:"answered"`
	Unanswered int64 `json:"unanswered"`
}

func (r *relays) stats() relayStats {
	return relayStats{Following: r.following.Load(), Answered: r.answered.Load(), Unanswered: r.unanswered.Load()}
}
