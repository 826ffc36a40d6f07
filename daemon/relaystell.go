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
		over := !r.now().Before(until)
		if packed, told := r.news(*q.Members, over); told {
			r.answered.Add(1)
			return peer.Reply{Found: true, Data: packed}
		}
		if over || !wait.For(ctx, relayLook) {
			break
		}
	}
	return peer.Reply{}
}

// news is what is new for one who asks, packed; false if there is nothing, and it is not over.
func (r *relays) news(q peer.MembersRequest, over bool) (packed []byte, told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.take()
	if r.feed.ListingVersion() == 0 {
		return nil, false
	}
	news := r.feed.Since(q.Process, q.Seq)
	heard := evacuation.Version{Era: q.StoreEra, Revision: q.StoreRevision}
	if !over && (news.Empty() || r.fedAt.Compare(heard) < 0) {
		return nil, false
	}
	key := q.Seq
	if news.Full {
		key = wholeKey
	}
	if packed, known := r.packed[key]; known {
		return packed, true
	}
	news.StoreEra, news.StoreRevision = r.fedAt.Era, r.fedAt.Revision
	r.vouch(&news)
	packed, err := relay.Encode(news)
	if err != nil {
		r.log.Error(err, "members not packed")
		return nil, false
	}
	r.packed[key] = packed
	return packed, true
}

// wholeKey stands for the whole among what was packed.
const wholeKey = -1

// take takes the listing if it has changed, now and then; mu must be held.
func (r *relays) take() {
	now := r.now()
	// What is listed later is of this version or a later one.
	at, differs := r.listedAt(), r.version() != r.feed.ListingVersion()
	changed := differs && now.Sub(r.takenAt) >= relayGather
	if changed {
		r.feed.Update(r.listing())
		r.takenAt = now
	}
	if changed || !differs {
		r.fedAt = at
	}
	if changed || now.Sub(r.packedAt) >= packedKept {
		r.packed, r.packedAt = map[int64][]byte{}, now
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
