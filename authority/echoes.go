package authority

import "time"

// Responder is what an instance owes those that have asked it. One goroutine uses it at a
// time.
type Responder struct {
	asked map[string]*asker
}

// asker is an instance that asks.
type asker struct {
	process, address string
	// heard are the tokens without an answer yet, oldest first.
	heard []heardAsk
}

type heardAsk struct {
	token uint64
	at    time.Time
}

// maxHeard bounds the asks of one instance that wait for a call to the store, and
// maxAskers the instances.
const (
	maxHeard  = 8
	maxAskers = 1024
)

// ConfirmationReply answers an ask.
type ConfirmationReply struct {
	// Address is where the instance receives packets, Process the one that asked.
	Address, Process string
	Token            uint64
}

// Requested records an ask that has been heard.
func (e *Responder) Requested(now time.Time, instance, process, address string, token uint64) {
	if e.asked == nil {
		e.asked = map[string]*asker{}
	}
	a := e.asked[instance]
	if a == nil || a.process != process {
		if len(e.asked) >= maxAskers {
			clear(e.asked)
		}
		a = &asker{process: process}
		e.asked[instance] = a
	}
	a.address = address
	if len(a.heard) == maxHeard {
		a.heard = append(a.heard[:0], a.heard[1:]...)
	}
	a.heard = append(a.heard, heardAsk{token, now})
}

// Confirmed says that a call to the store, begun at a moment, found nothing newer than what
// the echoes are sent with. It returns the answers to all that was asked before that
// moment.
func (e *Responder) Confirmed(begun time.Time) []ConfirmationReply {
	var echoes []ConfirmationReply
	for _, a := range e.asked {
		n := 0
		for n < len(a.heard) && !a.heard[n].at.After(begun) {
			n++
		}
		if n == 0 {
			continue
		}
		echoes = append(echoes, ConfirmationReply{Address: a.address, Process: a.process, Token: a.heard[n-1].token})
		a.heard = append(a.heard[:0], a.heard[n:]...)
	}
	return echoes
}
