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
type keyRights struct {
	keeper *authority.Tracker
	// now stamps what is asked and heard; exact is for the right itself.
	now, exact func() time.Time
	// revision is that of the settings in force here.
	revision func() int64
	// answers tells whether this instance answers those that ask.
	answers func() bool
	send    func(p peer.Packet, addresses []string)
	log     logr.Logger

	mu     sync.Mutex
	echoes authority.Responder
	// doubtful is until when what the store shows proves nothing.
	doubtful time.Time
}

// current tells whether keys in the settings of a revision may be gone by.
func (r *keyRights) current(revision int64) bool {
	return !r.keeper.Bounded() || r.keeper.Current(r.exact(), revision)
}

// ageMS is the age of the right for the log, in milliseconds; -1 if there is none.
func (r *keyRights) ageMS() int64 {
	age, known := r.keeper.Age(r.now(), r.revision())
	if !known {
		return -1
	}
	return age.Milliseconds()
}

// heard takes what a packet of another instance asks or answers. It tells whether the
// packet was an answer, which tells nothing else.
func (r *keyRights) heard(p peer.Packet, process string) (answer bool) {
	if r == nil {
		return false
	}
	if p.ConfirmReply != 0 {
		if p.ConfirmReplyTo == process {
			r.keeper.Replied(p.ConfirmReply, p.ConfirmedRevision)
		}
		return true
	}
	r.keeper.ObserveRevision(r.now(), p.Revision)
	if p.ConfirmRequest != 0 && r.answers() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.echoes.Requested(r.now(), p.From, p.Process, p.Address, p.ConfirmRequest)
	}
	return false
}

// ask returns the token to ask another instance with; 0 if it is not time to ask.
func (r *keyRights) ask() uint64 {
	if r == nil {
		return 0
	}
	return r.keeper.NextRequest(r.now())
}

// doubt takes what the store shows for no proof, for so long: it may lack settings that it
// had acknowledged before it came back from a copy.
func (r *keyRights) doubt(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.doubtful = r.now().Add(d)
}

// confirmed notes that a call to the store, begun at a moment, has shown a revision to be
// the newest, and answers those who asked before.
func (r *keyRights) confirmed(begun time.Time, revision int64) {
	r.mu.Lock()
	doubtful := begun.Before(r.doubtful)
	r.mu.Unlock()
	if doubtful {
		return
	}
	r.keeper.Confirmed(begun, revision)
	if !r.answers() {
		return
	}
	r.mu.Lock()
	echoes := r.echoes.Confirmed(begun)
	r.mu.Unlock()
	for _, e := range echoes {
		r.send(peer.Packet{ConfirmReply: e.Token, ConfirmReplyTo: e.Process, ConfirmedRevision: revision}, []string{e.Address})
	}
}

const (
	// rightsLook is the time between two looks at the age of the right.
	rightsLook = 100 * time.Millisecond
	// askStorePart is the part of the bound at which an instance asks the store itself, as
	// no other has answered; askStorePause is the time between two such calls.
	askStorePart  = 0.5
	askStorePause = 500 * time.Millisecond
)

// keep asks the store itself where nobody else answers in time, and logs when the right is
// lost and regained.
func (r *keyRights) keep(ctx context.Context, bound time.Duration, ask func(context.Context)) {
	if !r.keeper.Bounded() {
		return
	}
	had := false
	for wait.For(ctx, rightsLook) {
		revision := r.revision()
		age, known := r.keeper.Age(r.exact(), revision)
		has := known && age < bound
		if has != had {
			r.log.Info("keys of accounts", "usable", has, "age_ms", r.ageMS(), "revision", revision)
			had = has
		}
		if revision == 0 || known && float64(age) < askStorePart*float64(bound) {
			continue
		}
		ask(ctx)
		wait.For(ctx, jitter(askStorePause))
	}
}
