package daemon

import (
	"context"
	"time"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/wait"
)

// eraSettleTime is for how long after the beginning of an era the store may lack settings that
// it had acknowledged: their operator writes them again.
const eraSettleTime = 3 * time.Second

// onEraBegin is called when the store has been restored from a copy some seconds old. Watches
// and leases recover by themselves; whatever else depends on what the store has acknowledged
// is handled here.
func (n *Node) onEraBegin(era int64) {
	n.vars.Add("store_eras", 1)
	n.log.Info("store came back from a copy", "era", era)
	n.storeLink.restoredFromCopy()
	n.keyAuthority.distrustStore(eraSettleTime)
	select {
	case n.eraStarted <- struct{}{}:
	default:
	}
	n.mesh.sendSoon()
}

// rewriteOnEra writes again, in each new era, what this node keeps in the store.
func (n *Node) rewriteOnEra(ctx context.Context, entries *entriesTask) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.eraStarted:
		}
		_ = entries.inputs.Put(ctx, membership.StoreRestored{})
		// All nodes write at the same time, so each waits for a random delay.
		wait.For(ctx, jitter(presenceRetryDelay))
		n.presence.run(ctx)
		for _, w := range n.quarantine.HeldReports() {
			_ = n.unsavedReports.Put(ctx, w)
		}
	}
}
