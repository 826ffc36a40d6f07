package authority

import "time"

// Responder holds the confirmation requests of other instances that have not been replied to.
// One goroutine uses it at a time.
type Responder struct {
	requesters map[string]*requester
}

// requester is an instance that sends requests.
type requester struct {
	process, address string
	// pending are the requests without a reply yet, oldest first.
	pending []pendingRequest
}

type pendingRequest struct {
	token      uint64
	receivedAt time.Time
}

// maxPending bounds the pending requests of one instance, and maxRequesters the instances.
const (
	maxPending    = 8
	maxRequesters = 1024
)

// ConfirmationReply is the reply to a confirmation request.
type ConfirmationReply struct {
	// Address is where the instance receives packets, Process the process that sent the
	// request.
	Address, Process string
	Token            uint64
}

// Requested records a confirmation request that was received.
func (r *Responder) Requested(now time.Time, instance, process, address string, token uint64) {
	if r.requesters == nil {
		r.requesters = map[string]*requester{}
	}
	a := r.requesters[instance]
	if a == nil || a.process != process {
		if len(r.requesters) >= maxRequesters {
			clear(r.requesters)
		}
		a = &requester{process: process}
		r.requesters[instance] = a
	}
	a.address = address
	if len(a.pending) == maxPending {
		a.pending = append(a.pending[:0], a.pending[1:]...)
	}
	a.pending = append(a.pending, pendingRequest{token, now})
}

// Confirmed applies a call to the store that started at begun and found nothing newer than the
// revision that the replies are sent with. It returns the replies to all requests received
// before begun.
func (r *Responder) Confirmed(begun time.Time) []ConfirmationReply {
	var replies []ConfirmationReply
	for _, a := range r.requesters {
		n := 0
		for n < len(a.pending) && !a.pending[n].receivedAt.After(begun) {
			n++
		}
		if n == 0 {
			continue
		}
		replies = append(replies, ConfirmationReply{Address: a.address, Process: a.process, Token: a.pending[n-1].token})
		a.pending = append(a.pending[:0], a.pending[n:]...)
	}
	return replies
}
