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

// keyRights is a node's right to go by the keys of accounts, and what it answers to others
// that ask whether they may. A nil keyRights hears and asks nothing.
type keyAuthority struct {
	tracker *authority.Tracker
	// now stamps what is asked and heard; exact is for the right itself.
	now, exact func() time.Time
	// revision is that of the settings in force here.
	revision func() int64
	// answers tells whether this instance answers those that ask.
	responds func() bool
	send     func(p peer.Packet, addresses []string)
	log      logr.Logger

	mu        sync.Mutex
	responder authority.Responder
	// doubtful is until when what the store shows proves nothing.
	distrustUntil time.Time
}

// current tells whether keys in the settings of a revision may be gone by.
func (r *keyAuthority) current(revision int64) bool {
	return !r.tracker.Bounded() || r.tracker.Current(r.exact(), revision)
}

// ageMS is the age of the right for the log, in milliseconds; -1 if there is none.
func (r *keyAuthority) ageMS() int64 {
	age, known := r.tracker.Age(r.now(), r.revision())
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// heard takes what a packet of another instance asks or answers. It tells whether the
// packet was an answer, which tells nothing else.
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

// ask returns the token to ask another instance with; 0 if it is not time to ask.
func (r *keyAuthority) nextRequest() uint64 {
	if r == nil {
		return 0
	}
	return r.tracker.NextRequest(r.now())
}

// doubt takes what the store shows for no proof, for so long: it may lack settings that it
// had acknowledged before it came back from a copy.
func (r *keyAuthority) distrustStore(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.distrustUntil = r.now().Add(d)
}

// confirmed notes that a call to the store, begun at a moment, has shown a revision to be
// the newest, and answers those who asked before.
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
	// rightsLook is the time between two looks at the age of the right.
	authorityCheckInterval = 100 * time.Millisecond
	// askStorePart is the part of the bound at which an instance asks the store itself, as
	// no other has answered; askStorePause is the time between two such calls.
	storeRequestFraction = 0.5
	storeRequestPause    = 500 * time.Millisecond
)

// keep asks the store itself where nobody else answers in time, and logs when the right is
// lost and regained.
func (r *keyAuthority) monitor(ctx context.Context, bound time.Duration, askStore func(context.Context)) {
	if !r.tracker.Bounded() {
		return
	}
	wasUsable := false
	for wait.For(ctx, authorityCheckInterval) {
		revision := r.revision()
		age, known := r.tracker.Age(r.exact(), revision)
		usable := known && age < bound
		if usable != wasUsable {
			r.log.Info("keys of accounts", "usable", usable, "age_ms", r.ageMS(), "revision", revision)
			wasUsable = usable
		}
		if revision == 0 || known && float64(age) < storeRequestFraction*float64(bound) {
			continue
		}
		askStore(ctx)
		wait.For(ctx, jitter(storeRequestPause))
	}
}
