package peer

import "time"

// replayGuard detects replayed datagrams with a sliding window for each sender.
//
// Invariant: for each process, bit i of seen is set if sequence number highest-i was
// received.
type replayGuard struct {
	senders map[string]*replayWindow
}

type replayWindow struct {
	process string
	highest uint64
	seen    uint64
	lastMS  int64
}

const (
	windowBits = 64
	// maxClockSkew bounds the difference between the clocks of two instances. A recorded
	// datagram cannot be replayed once it is older than that.
	maxClockSkew = time.Minute
)

func newReplayGuard() replayGuard { return replayGuard{senders: map[string]*replayWindow{}} }

// fresh reports whether the hint was not received before, and records it. now is the
// wall-clock time.
func (g *replayGuard) fresh(now time.Time, h Hint) bool {
	age := now.Sub(time.UnixMilli(h.SentMS))
	if age > maxClockSkew || age < -maxClockSkew {
		return false
	}
	w := g.senders[h.From]
	if w == nil || w.process != h.Process {
		if w != nil && h.SentMS <= w.lastMS {
			// The datagram is from an earlier process of the sender.
			return false
		}
		g.senders[h.From] = &replayWindow{process: h.Process, highest: h.Seq, seen: 1, lastMS: h.SentMS}
		return true
	}
	return w.record(h)
}

func (w *replayWindow) record(h Hint) bool {
	if h.Seq > w.highest {
		shift := h.Seq - w.highest
		w.seen = w.seen<<min(shift, windowBits-1)<<(shift/windowBits) | 1
		if shift >= windowBits {
			w.seen = 1
		}
		w.highest = h.Seq
		w.lastMS = max(w.lastMS, h.SentMS)
		return true
	}
	back := w.highest - h.Seq
	if back >= windowBits || w.seen&(1<<back) != 0 {
		return false
	}
	w.seen |= 1 << back
	return true
}

// retain removes the senders that are not live.
func (g *replayGuard) retain(live map[string]bool) {
	for name := range g.senders {
		if !live[name] {
			delete(g.senders, name)
		}
	}
}
