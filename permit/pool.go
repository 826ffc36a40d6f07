package permit

import (
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/issuing"
)

// pool is the permits that an instance holds for an endpoint, and its requests for more.
type pool struct {
	// count is the number of permits left, which expire at expiresAt.
	count     int64
	expiresAt time.Time
	taken     int64
	// batch is how many permits to request at once. It grows while batches are used up quickly.
	batch int64
	// emptyAt is when the last permit was taken.
	emptyAt time.Time
	// demandAt is when a request last found no permit.
	demandAt time.Time
	// awaitingGrant is set while the last permit request awaits its grant. sent holds the
	// requests of the last permitLifetime without a grant, the newest at the end: permits
	// that arrive late have been issued all the same.
	awaitingGrant bool
	sent          []sentRequest
	// nextRequestAt is when to request again after a grant without permits.
	nextRequestAt time.Time
	// fallback supplies an instance that no issuer replies to, last used at fallbackAt.
	fallback   bucket
	fallbackAt time.Time
}

// sentRequest is a permit request without a grant so far.
type sentRequest struct {
	seq    uint64
	issuer string
	at     time.Time
}

const (
	// permitLifetime is how long a permit is valid. It bounds the permits that are issued and
	// not yet used to what the issuer's rate yields in that time.
	permitLifetime = time.Second
	// demandLifetime is how long a recorded demand counts; waiting requests renew it more often.
	demandLifetime = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the time until the next permit request after a
	// grant without permits. maxRetryDelayPerInstance raises the upper bound with the number of
	// instances, so that an issuer gets no more requests in a large fleet.
	minRetryDelay            = 20 * time.Millisecond
	maxRetryDelay            = 100 * time.Millisecond
	maxRetryDelayPerInstance = 4 * time.Millisecond
	// batchGrowthTime is how soon after the last permit of a batch the next one must be needed
	// for the batch to grow, and maxBatch bounds its size.
	batchGrowthTime = 100 * time.Millisecond
	maxBatch        = 256
	// fallbackIdleDelays is after how many retry delays without use the fallback bucket is reset.
	fallbackIdleDelays = 2
)

// available returns the number of permits that can be used.
func (p *pool) available(now time.Time) int64 {
	if !now.Before(p.expiresAt) {
		return 0
	}
	return p.count
}

// Ready reports whether a request may be sent to the endpoint now.
func (l *Limiter) Ready(now time.Time, e LimitKey) bool {
	if !l.AnyLimit() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.limits[e]
	return known == nil || known.ended || known.pool.available(now) > 0
}

// Take uses a permit for a request that is sent to the endpoint, and returns false if none is
// available. An endpoint without a limit needs no permit.
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
	if known.pool.available(now) == 0 {
		return false
	}
	known.pool.take(now)
	l.taken++
	return true
}

func (p *pool) take(now time.Time) {
	p.count--
	p.taken++
	if p.count == 0 {
		p.emptyAt = now
	}
}

// RecordDemand records that a request would be sent to the endpoint if there were a permit.
func (l *Limiter) RecordDemand(now time.Time, e LimitKey) {
	l.mu.Lock()
	known := l.limits[e]
	if known != nil {
		known.pool.demandAt = now
	}
	l.mu.Unlock()
	if known != nil {
		l.onDemand()
	}
}

// due reports whether to request permits now.
func (p *pool) due(now time.Time) bool {
	return !p.demandAt.IsZero() && now.Sub(p.demandAt) < demandLifetime && p.available(now) == 0 && !now.Before(p.nextRequestAt)
}

// add adds permits that were requested at requestedAt.
func (p *pool) add(now time.Time, n int64, requestedAt time.Time) {
	expiresAt := requestedAt.Add(permitLifetime)
	if left := p.available(now); left > 0 {
		// All permits expire with the earliest.
		p.count, p.expiresAt = left+n, earlier(p.expiresAt, expiresAt)
		return
	}
	p.count, p.expiresAt = n, expiresAt
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordSent records a permit request to an issuer.
func (p *pool) recordSent(now time.Time, seq uint64, issuer string) {
	p.sent = slices.DeleteFunc(p.sent, func(r sentRequest) bool { return now.Sub(r.at) >= permitLifetime })
	p.sent = append(p.sent, sentRequest{seq: seq, issuer: issuer, at: now})
	p.awaitingGrant = true
}

// takeSent removes and returns the permit request that a grant answers; a duplicate grant
// finds none.
func (p *pool) takeSent(seq uint64, from string) (r sentRequest, found bool) {
	i := slices.IndexFunc(p.sent, func(r sentRequest) bool { return r.seq == seq && r.issuer == from })
	if i < 0 {
		return sentRequest{}, false
	}
	r = p.sent[i]
	if i == len(p.sent)-1 {
		p.awaitingGrant = false
	}
	p.sent = slices.Delete(p.sent, i, i+1)
	return r, true
}

// nextBatch returns how many permits to request: twice the last batch where that was used up
// quickly.
func (p *pool) nextBatch(now time.Time) int64 {
	if p.count > 0 || p.emptyAt.IsZero() || now.Sub(p.emptyAt) >= batchGrowthTime {
		p.batch = 1
		return p.batch
	}
	p.batch = min(2*p.batch, maxBatch)
	return p.batch
}

// OutgoingRequest is a permit request and the instance that it is sent to.
type OutgoingRequest struct {
	To      string
	Request Request
}

// PendingRequests returns the permit requests to send now, and whether this instance, where
// it is the issuer itself, has issued permits.
func (l *Limiter) PendingRequests(now time.Time) (requests []OutgoingRequest, issued bool) {
	if !l.AnyLimit() {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for e, k := range l.limits {
		p := &k.pool
		if k.ended || !p.due(now) {
			continue
		}
		if p.awaitingGrant {
			last := p.sent[len(p.sent)-1]
			if now.Sub(last.at) < grantTimeout {
				continue
			}
			l.replies.RecordMiss(now, last.issuer)
			p.awaitingGrant = false
		}
		to, rank := l.issuerOf(now, e)
		if to == "" || to == l.self && l.fleet.Isolated {
			issued = l.issueFallback(now, k) || issued
			continue
		}
		if to == l.self {
			issued = l.issueToSelf(now, k, rank) || issued
			continue
		}
		l.lastSeq++
		p.recordSent(now, l.lastSeq, to)
		requests = append(requests, OutgoingRequest{To: to, Request: Request{Report: k.report(now, e), Seq: l.lastSeq, Rank: rank, N: p.nextBatch(now)}})
	}
	return requests, issued
}

// retryDelay returns the time until the next permit request after a grant without permits:
// about the time in which this instance's even part of the rate yields one permit.
func (l *Limiter) retryDelay(k *limit) time.Duration {
	members := l.fleet.KnownCount
	share := time.Duration(float64(members) / k.issueRate() * float64(time.Second))
	return min(max(share, minRetryDelay), max(maxRetryDelay, maxRetryDelayPerInstance*time.Duration(members)))
}

// addGranted adds n permits, or delays the next request where n is 0, and reports whether
// there were any.
func (l *Limiter) addGranted(now time.Time, k *limit, n int64, requestedAt time.Time) bool {
	if n == 0 {
		k.pool.nextRequestAt = now.Add(l.retryDelay(k))
		return false
	}
	k.pool.add(now, n, requestedAt)
	return true
}

// issueToSelf issues permits to this instance itself.
func (l *Limiter) issueToSelf(now time.Time, k *limit, rank int) bool {
	return l.addGranted(now, k, l.issue(now, k, rank, k.pool.nextBatch(now)), now)
}

// issueFallback issues a permit to an instance that no issuer replies to.
func (l *Limiter) issueFallback(now time.Time, k *limit) bool {
	p := &k.pool
	if now.Sub(p.fallbackAt) > fallbackIdleDelays*l.retryDelay(k) {
		p.fallback = bucket{}
	}
	p.fallbackAt = now
	p.fallback.fill(now, k.issueRate()*issuing.FallbackFraction/float64(max(l.fleet.KnownCount, 1)))
	return l.addGranted(now, k, p.fallback.take(1), now)
}

// ReceiveGrant applies a grant of an issuer, and reports whether it brought permits or showed
// that none are needed any more.
func (l *Limiter) ReceiveGrant(now time.Time, from string, g Grant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replies.RecordReply(from)
	l.receive(now, g.Report)
	known := l.limits[g.Report.key()]
	if known == nil || known.ended {
		return true
	}
	request, found := known.pool.takeSent(g.Seq, from)
	if !found {
		return false
	}
	return l.addGranted(now, known, max(g.N, 0), request.at)
}
