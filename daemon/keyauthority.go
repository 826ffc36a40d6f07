package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/authority"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/wait"
)

// keyAuthority tracks whether a node may accept the account keys in its settings, and answers
// the confirmation requests of other instances. A nil keyAuthority receives and sends nothing.
type keyAuthority struct {
	tracker *authority.Tracker
	// now stamps requests and replies; exactNow is the clock that decides whether keys are valid.
	now, exactNow func() time.Time
	// revision returns the revision of the settings in force at this instance.
	revision func() int64
	// responds tells whether this instance answers confirmation requests.
	responds func() bool
	send     func(p peer.Packet, addresses []string)
	log      logr.Logger

	mu        sync.Mutex
	responder authority.Responder
	// distrustUntil is until when a call to the store confirms nothing.
	distrustUntil time.Time
}

// current tells whether the account keys in the settings of a revision may be accepted.
func (r *keyAuthority) current(revision int64) bool {
	return !r.tracker.Bounded() || r.tracker.Current(r.exactNow(), revision)
}

// ageMS returns the age of the last confirmation in milliseconds, for the log; -1 if there is
// none.
func (r *keyAuthority) ageMS() int64 {
	age, known := r.tracker.Age(r.now(), r.revision())
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// receive handles the confirmation request or reply in a packet of another instance. It
// reports whether the packet was a reply, which carries nothing else.
func (r *keyAuthority) receive(p peer.Packet, process string) (reply bool) {
	if r == nil {
		return false
	}
	if p.ConfirmReply != 0 {
		if p.ConfirmReplyTo == process {
			r.tracker.Replied(p.ConfirmReply, p.ConfirmedRevision)
		}
		return true
	}
	r.tracker.ObserveRevision(r.now(), p.Revision)
	if p.ConfirmRequest != 0 && r.responds() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.responder.Requested(r.now(), p.From, p.Process, p.Address, p.ConfirmRequest)
	}
	return false
}

// nextRequest returns the token of a confirmation request to another instance; 0 if none is
// due.
func (r *keyAuthority) nextRequest() uint64 {
	if r == nil {
		return 0
	}
	return r.tracker.NextRequest(r.now())
}

// distrustStore ignores confirmations by the store for d: a store restored from a copy may
// lack settings that it had acknowledged.
func (r *keyAuthority) distrustStore(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distrustUntil = r.now().Add(d)
}

// storeConfirmed records that a call to the store begun at a time has shown a revision to be
// the newest, and answers the confirmation requests received before that time.
func (r *keyAuthority) storeConfirmed(begun time.Time, revision int64) {
	r.mu.Lock()
	distrusted := begun.Before(r.distrustUntil)
	r.mu.Unlock()
	if distrusted {
		return
	}
	r.tracker.Confirmed(begun, revision)
	if !r.responds() {
		return
	}
	r.mu.Lock()
	replies := r.responder.Confirmed(begun)
	r.mu.Unlock()
	for _, e := range replies {
		r.send(peer.Packet{ConfirmReply: e.Token, ConfirmReplyTo: e.Process, ConfirmedRevision: revision}, []string{e.Address})
	}
}

const (
	// authorityCheckInterval is the time between two checks of the age of the confirmation.
	authorityCheckInterval = 100 * time.Millisecond
	// storeRequestFraction is the fraction of the bound after which an instance that got no
	// confirmation reply calls the store itself; storeRequestPause is the time between two
	// such calls.
	storeRequestFraction = 0.5
	storeRequestPause    = 500 * time.Millisecond
)

// monitor calls checkStore where no other instance confirms in time, and logs when the keys
// become unusable and usable again. bound is the greatest age of a valid confirmation.
func (r *keyAuthority) monitor(ctx context.Context, bound time.Duration, checkStore func(context.Context)) {
	if !r.tracker.Bounded() {
		return
	}
	wasUsable := false
	for wait.For(ctx, authorityCheckInterval) {
		revision := r.revision()
		age, known := r.tracker.Age(r.exactNow(), revision)
		usable := known && age < bound
		if usable != wasUsable {
			r.log.Info("account keys", "usable", usable, "age_ms", r.ageMS(), "revision", revision)
			wasUsable = usable
		}
		if revision == 0 || known && float64(age) < storeRequestFraction*float64(bound) {
			continue
		}
		checkStore(ctx)
		wait.For(ctx, jitter(storeRequestPause))
	}
}
