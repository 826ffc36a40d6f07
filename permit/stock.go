package permit

import (
	"slices"
	"time"
)

// stock is the permits that an instance has for an endpoint, and its asks for more.
type stock struct {
	// count is the permits that are left, void at until.
	count int64
	until time.Time
	taken int64
	// batch is how many are asked for at once: more while they are used up at once.
	batch int64
	// emptyAt is when the last one was taken.
	emptyAt time.Time
	// wantAt is when a request last wanted one and found none.
	wantAt time.Time
	// awaited is set while the last ask awaits its answer; asked are those of the last
	// permitTime that have had none, the last one at the end: permits that come late have
	// been issued all the same.
	awaited bool
	asked   []asked
	// nextAsk is when to ask again behind an answer without a permit.
	nextAsk time.Time
	// even is what an instance goes on with that nobody answers, last needed at evenAt.
	even   bucket
	evenAt time.Time
}

// asked is an ask on its way.
type asked struct {
	seq uint64
	of  string
	at  time.Time
}

const (
	// permitTime is when a permit that was not used is void: the issuer counts on fewer
	// than that many seconds of its rate being on their way.
	permitTime = time.Second
	// wantTime is for how long a want counts: requests that wait want again more often.
	wantTime = 300 * time.Millisecond
	// leastPause and mostPause bound the time between two asks behind one that brought
	// nothing; mostPauseEach is the part of the latter for each instance, so that an
	// issuer is asked no more often in a large fleet.
	leastPause    = 20 * time.Millisecond
	mostPause     = 100 * time.Millisecond
	mostPauseEach = 4 * time.Millisecond
	// batchTime is how soon behind the last permit of a batch the next one must be wanted
	// for it to be larger, and mostBatch bounds it.
	batchTime = 100 * time.Millisecond
	mostBatch = 256
	// evenLapse is after how many pauses without need an even part begins anew.
	evenLapse = 2
)

// left is how many permits can be used.
func (s *stock) left(now time.Time) int64 {
	if !now.Before(s.until) {
		return 0
	}
	return s.count
}

// Ready tells whether a request may go to the endpoint now.
func (l *Limiter) Ready(now time.Time, e LimitKey) bool {
	if !l.AnyLimit() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	return known == nil || known.ended || known.stock.left(now) > 0
}

// Take uses a permit for a request that goes to the endpoint; false if there is none. An
// endpoint without a limit needs none.
func (l *Limiter) Take(now time.Time, e LimitKey) bool {
	if !l.AnyLimit() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	if known == nil || known.ended {
		return true
	}
	if known.stock.left(now) == 0 {
		return false
	}
	known.stock.take(now)
	l.taken++
	return true
}

func (s *stock) take(now time.Time) {
	s.count--
	s.taken++
	if s.count == 0 {
		s.emptyAt = now
	}
}

// RecordDemand records that a request would go to the endpoint if there were a permit.
func (l *Limiter) RecordDemand(now time.Time, e LimitKey) {
	l.mu.Lock()
	known := l.limits[e]
	if known != nil {
		known.stock.wantAt = now
	}
	l.mu.Unlock()
	if known != nil {
		l.wanted()
	}
}

// due tells whether it is time to ask.
func (s *stock) due(now time.Time) bool {
	return !s.wantAt.IsZero() && now.Sub(s.wantAt) < wantTime && s.left(now) == 0 && !now.Before(s.nextAsk)
}

// add puts permits in that were asked for at a moment.
func (s *stock) add(now time.Time, n int64, askedAt time.Time) {
	until := askedAt.Add(permitTime)
	if left := s.left(now); left > 0 {
		// All are void with the first of them.
		s.count, s.until = left+n, earlier(s.until, until)
		return
	}
	s.count, s.until = n, until
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ask notes an ask.
func (s *stock) ask(now time.Time, seq uint64, of string) {
	s.asked = slices.DeleteFunc(s.asked, func(a asked) bool { return now.Sub(a.at) >= permitTime })
	s.asked = append(s.asked, asked{seq: seq, of: of, at: now})
	s.awaited = true
}

// answer returns the ask that an answer belongs to, once.
func (s *stock) answer(seq uint64, from string) (a asked, found bool) {
	i := slices.IndexFunc(s.asked, func(a asked) bool { return a.seq == seq && a.of == from })
	if i < 0 {
		return asked{}, false
	}
	a = s.asked[i]
	if i == len(s.asked)-1 {
		s.awaited = false
	}
	s.asked = slices.Delete(s.asked, i, i+1)
	return a, true
}

// size is how many permits to ask for: twice as many as the last time where those were
// used up at once.
func (s *stock) size(now time.Time) int64 {
	if s.count > 0 || s.emptyAt.IsZero() || now.Sub(s.emptyAt) >= batchTime {
		s.batch = 1
		return s.batch
	}
	s.batch = min(2*s.batch, mostBatch)
	return s.batch
}

// OutgoingRequest is an ask and whom it is for.
type OutgoingRequest struct {
	To  string
	Ask Request
}

// PendingRequests returns what is to be asked now, and whether permits have been issued here, where
// this instance is the issuer itself.
func (l *Limiter) PendingRequests(now time.Time) (asks []OutgoingRequest, got bool) {
	if !l.AnyLimit() {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for e, k := range l.limits {
		s := &k.stock
		if k.ended || !s.due(now) {
			continue
		}
		if s.awaited {
			last := s.asked[len(s.asked)-1]
			if now.Sub(last.at) < answerTime {
				continue
			}
			l.missed(now, last.of)
			s.awaited = false
		}
		to, rank := l.issuerOf(now, e)
		if to == "" || to == l.self && l.fleet.Isolated {
			got = l.goOn(now, k) || got
			continue
		}
		if to == l.self {
			got = l.issueHere(now, k, rank) || got
			continue
		}
		l.seq++
		s.ask(now, l.seq, to)
		asks = append(asks, OutgoingRequest{To: to, Ask: Request{Report: k.word(now, e), Seq: l.seq, Rank: rank, N: s.size(now)}})
	}
	return asks, got
}

// pause is the time until the next ask behind one that brought nothing: about until this
// instance's even share of the rate is one permit.
func (l *Limiter) pause(k *limit) time.Duration {
	members := l.fleet.KnownCount
	share := time.Duration(float64(members) / k.rate() * float64(time.Second))
	return min(max(share, leastPause), max(mostPause, mostPauseEach*time.Duration(members)))
}

// received takes permits, or that there were none, and reports whether there were some.
func (l *Limiter) received(now time.Time, k *limit, n int64, askedAt time.Time) bool {
	if n == 0 {
		k.stock.nextAsk = now.Add(l.pause(k))
		return false
	}
	k.stock.add(now, n, askedAt)
	return true
}

// issueHere issues permits to this instance itself.
func (l *Limiter) issueHere(now time.Time, k *limit, rank int) bool {
	return l.received(now, k, l.issue(now, k, rank, k.stock.size(now)), now)
}

// goOn lets an instance go on that no issuer answers.
func (l *Limiter) goOn(now time.Time, k *limit) bool {
	s := &k.stock
	if now.Sub(s.evenAt) > evenLapse*l.pause(k) {
		s.even = bucket{}
	}
	s.evenAt = now
	s.even.fill(now, k.rate()*evenPart/float64(max(l.fleet.KnownCount, 1)))
	return l.received(now, k, s.even.take(1), now)
}

// ReceiveGrant takes the answer of an issuer, and reports whether it brought permits, or the
// news that none are needed any more.
func (l *Limiter) ReceiveGrant(now time.Time, from string, g Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.issuers, from)
	l.hear(now, g.Word)
	known := l.limits[g.Word.start()]
	if known == nil || known.ended {
		return true
	}
	ask, found := known.stock.answer(g.Seq, from)
	if !found {
		return false
	}
	return l.received(now, known, max(g.N, 0), ask.at)
}
