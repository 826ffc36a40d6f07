package daemon

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/wait"
)

// peersTask runs the gossip of hints over datagrams.
type peersTask struct {
	gossip    *peer.Gossip
	sealer    *peer.Sealer
	datagrams peer.Datagrams
	events    *ring.Ring[peer.Event]
	fetches   *ring.Ring[settingsCandidate]
	freshness *freshness
	log       logr.Logger
	now       func() time.Time
	// onPeerLeaving is called for instances that make a planned stop.
	onPeerLeaving func(name string)
	// onLiveCount receives the number of live instances; may be nil.
	onLiveCount func(n int)
	// refreshList is called with a newer version of the platform's list that another instance
	// has.
	refreshList func(version int64)
	// repliedAt is when a hint with a different digest of endings was last replied to.
	repliedAt time.Time
	// quarantine receives and provides the reports on requests that end endpoints.
	quarantine *quarantine.Manager
	// addresses holds the addresses of each instance; the view task writes it.
	addresses     atomic.Pointer[map[string]peerAddress]
	countSent     func(bytes int)
	countReceived func(bytes int)
}

type peerAddress struct{ datagrams, streams string }

const (
	// peerEventCapacity bounds the queued hints; the oldest are dropped, as newer ones
	// supersede them.
	peerEventCapacity = 256
	peerTickInterval  = 250 * time.Millisecond
	// hintOverhead bounds the encoded size of a hint without its reports on endings, in bytes.
	hintOverhead = 400
)

// receive is called on the event loop of the datagrams.
func (d *peersTask) receive(sealed []byte) {
	d.countReceived(len(sealed))
	plain, err := d.sealer.Open(sealed)
	if err != nil {
		d.log.V(1).Info("datagram dropped", "error", err.Error())
		return
	}
	h, err := peer.DecodeHint(plain)
	if err != nil {
		d.log.Info("invalid hint dropped", "error", err.Error())
		return
	}
	_ = d.events.Put(context.Background(), peer.Received{Hint: h, At: time.Now()})
}

func (d *peersTask) run(ctx context.Context) {
	go d.tick(ctx)
	contactAt := time.Time{}
	for {
		e, err := d.events.Take(ctx)
		if err != nil {
			return
		}
		actions := d.gossip.Step(d.now(), d.markForReply(e))
		reports := d.endingsToSend(actions)
		for _, a := range actions {
			d.execute(ctx, a, reports)
		}
		if at := d.gossip.LastPeerContact(); at.After(contactAt) {
			contactAt = at
			d.freshness.peerContacted()
		}
	}
}

func (d *peersTask) tick(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, peerTickInterval)
		_ = d.events.Put(ctx, peer.Tick{})
	}
}

// replyInterval is the minimum time between two replies to instances that know other endings:
// otherwise two instances might answer each other continuously.
const replyInterval = peerTickInterval

// markForReply marks a hint for a reply if its sender knows other endings than this instance:
// an instance does not send to the same instances that send to it.
func (d *peersTask) markForReply(e peer.Event) peer.Event {
	r, ok := e.(peer.Received)
	if !ok || !d.quarantine.ReceiveDigest(r.Hint.EndingsDigest) || d.now().Sub(d.repliedAt) < replyInterval {
		return e
	}
	d.repliedAt, r.Reply = d.now(), true
	return r
}

// endingsToSend returns the reports on endings for the hints among the actions, the same for
// all recipients.
func (d *peersTask) endingsToSend(actions []peer.Action) []quarantine.Report {
	for _, a := range actions {
		if _, sends := a.(peer.Send); sends {
			return d.quarantine.PendingReports(peer.MaxHintBytes - hintOverhead)
		}
	}
	return nil
}

func (d *peersTask) execute(ctx context.Context, a peer.Action, reports []quarantine.Report) {
	switch a := a.(type) {
	case peer.Send:
		address := d.address(a.To).datagrams
		if address == "" {
			return
		}
		// The recipients compute the age of a hint from the time of day.
		a.Hint.SentMS = time.Now().UnixMilli()
		a.Hint.Endings, a.Hint.EndingsDigest = reports, d.quarantine.Digest()
		data, err := peer.EncodeHint(a.Hint)
		if err != nil {
			return
		}
		sealed := d.sealer.Seal(data)
		d.countSent(len(sealed))
		d.datagrams.Send(address, sealed)
	case peer.Fetch:
		_ = d.fetches.Put(ctx, settingsCandidate{peerAddress: d.address(a.From).streams, revision: a.Revision})
	case peer.RefreshList:
		d.refreshList(a.Version)
	case peer.EndingsReceived:
		// Each instance sends to a few others only, so reports are forwarded from one to the
		// next.
		d.quarantine.ReceiveReports(a.Reports, true)
	case peer.PeerLeaving:
		d.onPeerLeaving(a.Name)
	}
}

func (d *peersTask) address(name string) peerAddress {
	if m := d.addresses.Load(); m != nil {
		return (*m)[name]
	}
	return peerAddress{}
}

// listReceived records the version of an answer of the platform's list, and the version
// in another instance's hint that had caused the request, 0 if none.
func (d *peersTask) listReceived(version, requested int64) {
	_ = d.events.Put(context.Background(), peer.ListReceived{Version: version, Requested: requested})
}

// updateMembers takes over the instances of a new list.
func (d *peersTask) updateMembers(list *membership.List) {
	addresses := map[string]peerAddress{}
	var live []string
	for _, m := range list.Pool(membership.InstancePool) {
		host, _, err := net.SplitHostPort(m.Address)
		if err != nil || m.PeerPort == 0 {
			continue
		}
		addresses[m.Name] = peerAddress{
			datagrams: net.JoinHostPort(host, strconv.Itoa(m.PeerPort)),
			streams:   net.JoinHostPort(host, strconv.Itoa(m.StreamPort)),
		}
		if m.State == membership.Live {
			live = append(live, m.Name)
		}
	}
	d.addresses.Store(&addresses)
	if d.onLiveCount != nil {
		d.onLiveCount(len(live))
	}
	_ = d.events.Put(context.Background(), peer.LiveInstances{Names: live})
}
