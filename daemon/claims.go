package daemon

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/claim"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
)

// claimSubmitter returns a function that submits an operation to the n-th instance by
// rendezvous hashing for a shard: over the peer stream, or directly if that is this instance.
func (i *Instance) claimSubmitter(owner *claim.Owner) claim.SubmitFunc {
	return func(ctx context.Context, shard, n int, op claim.Op) (claim.Reply, error) {
		name, found := i.cells.nthInstance(fmt.Sprintf("claims-%03d", shard), n)
		if !found {
			return claim.Reply{}, claim.ErrNoOwner
		}
		if name == i.cfg.Instance {
			return owner.Submit(ctx, shard, op)
		}
		return i.submitClaim(ctx, i.peers.address(name).streams, shard, op)
	}
}

func (i *Instance) submitClaim(ctx context.Context, address string, shard int, op claim.Op) (claim.Reply, error) {
	var reply claim.Reply
	if address == "" {
		return reply, claim.ErrNoOwner
	}
	encoded, err := cbor.Marshal(op)
	if err != nil {
		return reply, err
	}
	data, err := i.streamClient.Call(ctx, address, peer.Request{Claim: &peer.ClaimRequest{Shard: shard, Op: encoded}})
	if err != nil {
		return reply, err
	}
	return reply, cbor.Unmarshal(data, &reply)
}

// handlePeerRequest answers a peer's request for a part of the settings revision in force,
// or for an operation on a claim shard that the peer believes this instance owns.
func (i *Instance) handlePeerRequest(ctx context.Context, req peer.Request) peer.Reply {
	if req.Claim != nil {
		return i.handleClaim(ctx, req.Claim)
	}
	current := i.current.Load()
	if current == nil {
		return peer.Reply{}
	}
	if req.Root {
		return encodedReply(current.Entry)
	}
	text, found := current.Chunks[req.Chunk]
	return peer.Reply{Found: found, Data: text}
}

func (i *Instance) handleClaim(ctx context.Context, req *peer.ClaimRequest) peer.Reply {
	var op claim.Op
	if err := cbor.Unmarshal(req.Op, &op); err != nil || req.Shard < 0 || req.Shard >= claim.Shards || i.current.Load() == nil {
		return peer.Reply{}
	}
	reply, err := i.claims.Submit(ctx, req.Shard, op)
	if err != nil {
		return peer.Reply{}
	}
	return encodedReply(reply)
}

func encodedReply(v any) peer.Reply {
	data, err := cbor.Marshal(v)
	return peer.Reply{Found: err == nil, Data: data}
}

// shardConfig returns the configuration of claim shards from the settings in force.
func (i *Instance) shardConfig() claim.ShardConfig {
	var a *revision.Accepted
	if a = i.current.Load(); a == nil {
		return claim.NewShardConfig(0)
	}
	return claim.NewShardConfig(a.Tree.ClaimHorizon())
}
