package credit

import "time"

// asks is what a borrower has asked the issuer of an endpoint, and what was answered.
type asks struct {
	// due is set when there is news for the issuer, wantsDue when there is only news of wants.
	due, wantsDue bool
	// acknowledgeAt is when to acknowledge a grant of credits unless an ask does so before; zero
	// if there is none.
	acknowledgeAt time.Time
	// issuer is the instance that was last asked; told is the number of wants that it was told.
	issuer string
	told   int
	// sent are the asks of the last credit lifetime, the last one at the end; answered is the
	// Seq of the last one that was answered.
	sent     []sentAsk
	answered uint64
	// silentSince is since when no reply was received though one was due.
	silentSince time.Time
	// numbers are those of the last grants received, by issuer.
	numbers map[string]uint64
	// roundTrip is the smoothed time from an ask to its answer.
	roundTrip time.Duration
}

type sentAsk struct {
	seq uint64
	at  time.Time
}

const (
	// askTimeout is how long a reply of the issuer is awaited before it counts as missed.
	askTimeout = 60 * time.Millisecond
	// repeatRoundTrips is after how many round trips an ask without an answer is repeated, and
	// minRepeat the shortest time for that.
	repeatRoundTrips = 3
	minRepeat        = 20 * time.Millisecond
	// acknowledgeDelay is how long the acknowledgement of a grant may wait for another ask.
	acknowledgeDelay = 10 * time.Millisecond
	// askInterval is the shortest time between asks that only tell of further wants.
	askInterval = 10 * time.Millisecond
	// renewInterval is the time between asks while nothing changes.
	renewInterval = 400 * time.Millisecond
	// keepAsks is how long sent asks are kept to find when the ask of a grant was sent.
	keepAsks = 2 * borrowerLifetime
	// roundTripShare is by what share of the difference a new round trip changes the smoothed one.
	roundTripShare = 8
)

// last returns the last ask; the zero value if there was none.
func (a *asks) last() sentAsk {
	if len(a.sent) == 0 {
		return sentAsk{}
	}
	return a.sent[len(a.sent)-1]
}

func (a *asks) unanswered() bool { return a.last().seq > a.answered }

// sendAsks returns the asks to send now. Those to this instance itself are applied at once.
func (l *Lender) sendAsks(now time.Time) (out []Outgoing) {
	for _, b := range l.borrowedList {
		l.expireCredits(now, b)
		if !b.contended(now) {
			b.asks.answered = b.asks.last().seq
			continue
		}
		issuer, rank := l.issuerOf(now, b.key)
		if issuer == b.asks.issuer && l.recordSilence(now, b) {
			issuer, rank = l.issuerOf(now, b.key)
		}
		if issuer == "" {
			l.wake = l.wake || len(b.wants) > 0
			continue
		}
		if !b.asks.needed(now, issuer, b) {
			continue
		}
		a := l.ask(now, b, issuer, rank)
		if issuer == l.config.Self {
			l.receiveAsk(now, issuer, l.config.Process, a)
			continue
		}
		out = append(out, Outgoing{To: issuer, Ask: &a})
	}
	return out
}

// recordSilence has an ask repeated that is not answered, and reports whether the issuer counts
// as silent.
func (l *Lender) recordSilence(now time.Time, b *borrowing) (silent bool) {
	a := &b.asks
	if !a.unanswered() {
		return false
	}
	if now.Sub(a.last().at) >= max(minRepeat, repeatRoundTrips*a.roundTrip) {
		a.due = true
	}
	if now.Sub(a.silentSince) < askTimeout {
		return false
	}
	if a.issuer != l.config.Self {
		l.replies.RecordMiss(now, a.issuer)
	}
	a.silentSince = now
	return true
}

// needed reports whether to ask the issuer now.
func (a *asks) needed(now time.Time, issuer string, b *borrowing) bool {
	last := a.last()
	if a.issuer != issuer {
		return b.running > 0 || b.unused > 0 || len(b.wants) > 0
	}
	switch {
	case a.due || !a.acknowledgeAt.IsZero() && !now.Before(a.acknowledgeAt):
		return true
	case a.wantsDue:
		return a.told == 0 || now.Sub(last.at) >= askInterval
	case b.running > 0 || b.unused > 0 || len(b.wants) > 0:
		return now.Sub(last.at) >= renewInterval
	}
	return false
}

// ask returns an ask that states everything, and records that it is sent.
func (l *Lender) ask(now time.Time, b *borrowing, issuer string, rank int) Ask {
	l.lastSeq++
	a := &b.asks
	if a.issuer != issuer || !a.unanswered() {
		a.silentSince = now
	}
	for len(a.sent) > 0 && now.Sub(a.sent[0].at) >= keepAsks {
		a.sent = a.sent[1:]
	}
	a.sent = append(a.sent, sentAsk{seq: l.lastSeq, at: now})
	a.issuer, a.due, a.wantsDue, a.acknowledgeAt, b.taken = issuer, false, false, time.Time{}, 0
	wants := b.firstWants(now)
	a.told = len(wants)
	return Ask{
		Endpoint: b.key.Name, StartedAtMS: b.key.StartedAtMS, Seq: l.lastSeq, Rank: rank, Places: b.places,
		Ack: a.numbers[issuer], Running: b.running, Unused: b.unused, Uses: b.topUses(), Rejected: b.rejected,
		Wants: wants, Waiting: int64(len(b.wants)), RoundTripMS: a.roundTrip.Milliseconds(),
	}
}

// ReceiveGrant applies a grant of another instance.
func (l *Lender) ReceiveGrant(now time.Time, from string, g Grant) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !g.valid() || !g.isNotice() && g.Process != l.config.Process {
		l.counts.invalid++
		return
	}
	if g.isNotice() {
		l.receiveNotice(now, g.key())
		return
	}
	l.receiveGrant(now, from, g)
}

// receiveNotice records that an endpoint is contended.
func (l *Lender) receiveNotice(now time.Time, e Key) {
	if b := l.borrowingOf(now, e); b != nil {
		b.contend(now)
	}
}

// receiveGrant applies a grant unless a later one of the issuer was applied, or another issuer
// is asked by now.
func (l *Lender) receiveGrant(now time.Time, from string, g Grant) {
	l.replies.RecordReply(from)
	b := l.borrowed[g.key()]
	if b == nil || b.asks.issuer != from {
		return
	}
	sent, found := b.asks.find(g.Seq)
	if !found || g.Number <= b.asks.numbers[from] {
		return
	}
	repeated := g.Seq <= b.asks.answered
	b.asks.recordReply(now, sent, g)
	b.asks.numbers[from] = g.Number
	b.unused = max(g.Limit-b.running, 0)
	b.unusedUntil = sent.at.Add(time.Duration(g.LifetimeMS) * time.Millisecond)
	b.recordRefusals(now, g.Refusals)
	l.refusalsDue = l.refusalsDue || len(g.Refusals) > 0
	if b.available(now) > 0 {
		b.asks.acknowledgeAt = now.Add(acknowledgeDelay)
		l.wake = l.wake || len(b.wants) > 0
	} else if repeated {
		// The issuer lacks an acknowledgement.
		b.asks.due = true
	}
}

// find returns the ask with a Seq.
func (a *asks) find(seq uint64) (sentAsk, bool) {
	for i := len(a.sent) - 1; i >= 0 && a.sent[i].seq >= seq; i-- {
		if a.sent[i].seq == seq {
			return a.sent[i], true
		}
	}
	return sentAsk{}, false
}

// recordReply records that an ask was answered. Later grants for the same ask tell no round trip.
func (a *asks) recordReply(now time.Time, sent sentAsk, g Grant) {
	a.silentSince = now
	if g.Seq <= a.answered {
		return
	}
	a.answered = g.Seq
	a.roundTrip += (now.Sub(sent.at) - a.roundTrip) / roundTripShare
}
