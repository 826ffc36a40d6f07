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

// firstWait is for how long a new process waits for others to be worth asking: in a large
// fleet it would read the whole list from the store. One that others ask does not wait.
const firstWait = 1500 * time.Millisecond

// follow puts what others tell of the members, for as long as one does.
func (r *relays) follow(ctx context.Context, put func(membership.EntryEvent)) {
	if r == nil || r.address == "" {
		return
	}
	wait.While(ctx, firstWait, func() bool { return !r.known() || len(r.order()) > 0 && r.streams() == nil })
	failed := 0
	for ctx.Err() == nil && failed < mostRelaysAsked {
		order := r.order()
		if failed >= len(order) {
			break
		}
		if r.followOne(ctx, order[failed], put) {
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

// followOne follows one relay for as long as it answers and is to be asked. It tells whether it
// has answered at all.
func (r *relays) followOne(ctx context.Context, name string, put func(membership.EntryEvent)) (answered bool) {
	began := r.now()
	session, err := r.dial(ctx, name)
	if err != nil {
		r.failed(name, err)
		return false
	}
	defer session.Close()
	asked, seesAt := r.firstQuestion(), time.Time{}
	for ctx.Err() == nil && len(r.order()) > 0 {
		news, err := r.askOne(ctx, session, asked)
		if err != nil {
			r.failed(name, err)
			return answered
		}
		if !answered && r.older(news) {
			r.failed(name, errOlder)
			return false
		}
		if r.sees(news) {
			seesAt = r.now()
		}
		if r.now().Sub(seesAt) >= relayBlind {
			r.failed(name, errBlind)
			return false
		}
		if !answered {
			r.log.Info("members told", "by", name, "members", len(news.Members), "took_ms", r.now().Sub(began).Milliseconds())
			put(membership.StoreAnswered{})
		}
		answered = true
		r.following.Store(true)
		if !news.Empty() {
			put(entriesAt{EntryEvent: news.Event(), version: storeVersionOf(news)})
		}
		r.heard(news)
		if news.Current {
			now := r.now()
			r.vouchedAt.Store(&now)
		}
		asked = peer.MembersRequest{Process: news.Process, Seq: news.Seq, Hold: r.hold()}
	}
	return answered
}

// firstQuestion asks for the whole, as of what is known here or later. One who knows members
// already does not wait for long, as nobody tells it meanwhile who leaves.
func (r *relays) firstQuestion() peer.MembersRequest {
	heard := r.heardAt()
	if heard == (evacuation.Version{}) {
		return peer.MembersRequest{Hold: relayFirst}
	}
	return peer.MembersRequest{Hold: relayAgain, StoreEra: heard.Era, StoreRevision: heard.Revision}
}

func (r *relays) failed(name string, err error) {
	r.unanswered.Add(1)
	r.log.Info("members not told", "by", name, "error", err.Error())
}

// errOlder is news of members as they were before what is known here.
var errOlder = errors.New("its members are older than those known here")

// errBlind is a relay that does not follow the store itself, and nobody else's word.
var errBlind = errors.New("it does not follow the store")

// sees tells whether endpoints that leave are told by a relay's news, or by the holder of the
// lease, as far as the store can tell it at all.
func (r *relays) sees(news relay.Delta) bool {
	return news.Current || news.FollowsStore || r.holderTells() || !r.storeAnswers()
}

// older tells whether news is of members as they were before what is known here: a member that
// has left would take requests again.
func (r *relays) older(news relay.Delta) bool {
	told := storeVersionOf(news)
	return told != evacuation.Version{} && told.Compare(r.heardAt()) < 0
}

func storeVersionOf(news relay.Delta) evacuation.Version {
	return evacuation.Version{Era: news.StoreEra, Revision: news.StoreRevision}
}

// errNotOpen is an instance that cannot be asked yet.
var errNotOpen = errors.New("no stream to the instance")

func (r *relays) dial(ctx context.Context, name string) (*peer.Session, error) {
	client, address := r.streams(), r.reached(name)
	if client == nil || address == "" {
		return nil, errNotOpen
	}
	ctx, cancel := context.WithTimeout(ctx, relayDial)
	defer cancel()
	return client.Dial(ctx, address)
}

func (r *relays) askOne(ctx context.Context, s *peer.Session, q peer.MembersRequest) (relay.Delta, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Hold+relayTime)
	defer cancel()
	packed, err := s.Call(ctx, peer.Request{Members: &q})
	if err != nil {
		return relay.Delta{}, err
	}
	return relay.Decode(packed)
}
