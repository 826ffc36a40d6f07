package daemon

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
)

// claimAsker asks the n-th instance by rendezvous hashing for a shard, over
// the peers' link, or this instance itself.
func (i *Instance) claimAsker(owner *claim.Owner) claim.SubmitFunc {
	return func(ctx context.Context, shard, n int, op claim.Op) (claim.Reply, error) {
		name, found := i.cells.choice(fmt.Sprintf("claims-%03d", shard), n)
		if !found {
			return claim.Reply{}, claim.ErrNoOwner
		}
		if name == i.cfg.Instance {
			return owner.Submit(ctx, shard, op)
		}
		return i.askClaim(ctx, i.peers.address(name).streams, shard, op)
	}
}

func (i *Instance) askClaim(ctx context.Context, address string, shard int, op claim.Op) (claim.Reply, error) {
	var a claim.Reply
	if address == "" {
		return a, claim.ErrNoOwner
	}
	encoded, err := cbor.Marshal(op)
	if err != nil {
		return a, err
	}
	data, err := i.asking.Call(ctx, address, peer.Request{Claim: &peer.ClaimRequest{Shard: shard, Op: encoded}})
	if err != nil {
		return a, err
	}
	return a, cbor.Unmarshal(data, &a)
}

// answerPeer answers a peer's question: about the revision in force, or about
// an entry of a shard that the peer takes this instance to run.
func (i *Instance) answerPeer(ctx context.Context, q peer.Request) peer.Reply {
	if q.Claim != nil {
		return i.answerClaim(ctx, q.Claim)
	}
	a := i.current.Load()
	if a == nil {
		return peer.Reply{}
	}
	if q.Root {
		return encodedReply(a.Entry)
	}
	text, found := a.Chunks[q.Chunk]
	return peer.Reply{Found: found, Data: text}
}

func (i *Instance) answerClaim(ctx context.Context, q *peer.ClaimRequest) peer.Reply {
	var op claim.Op
	if err := cbor.Unmarshal(q.Op, &op); err != nil || q.Shard < 0 || q.Shard >= claim.Shards || i.current.Load() == nil {
		return peer.Reply{}
	}
	answer, err := i.claims.Submit(ctx, q.Shard, op)
	if err != nil {
		return peer.Reply{}
	}
	return encodedReply(answer)
}

func encodedReply(v any) peer.Reply {
	data, err := cbor.Marshal(v)
	return peer.Reply{Found: err == nil, Data: data}
}

// shardConfig is how the shards of keys are run, by the settings in force.
func (i *Instance) shardConfig() claim.ShardConfig {
	var a *revision.Accepted
	if a = i.current.Load(); a == nil {
		return claim.NewShardConfig(0)
	}
	return claim.NewShardConfig(a.Tree.ClaimHorizon())
}
