package credit

import (
	"math"
	"slices"
	"time"
)

// places is how many requests an endpoint is sent at once. An endpoint that rejects requests
// although it says that it has places takes fewer for a while: it gets less, at once, and then
// more again step by step.
type places struct {
	// reported is the number that the endpoint reports.
	reported int64
	// fraction is the part of them that is lent, at raisedAt, and cutAt when it was last cut.
	fraction        float64
	raisedAt, cutAt time.Time
	// blocked are the times until which a place is held back.
	blocked []time.Time
	// rejectedAt is when the endpoint last rejected a request, and pause for how long it gets no more
	// than its places after that.
	rejectedAt time.Time
	pause      time.Duration
	// mayQueue is set if more requests may be sent than there are places.
	mayQueue bool
	// roundTrip is the mean time from an ask to its grant, and freedPerSecond the rate at which
	// places become free; 0 while unknown.
	roundTrip      time.Duration
	freedPerSecond float64
}

const (
	// leastFraction bounds by how much fewer places are lent than the endpoint reports.
	leastFraction = 0.5
	// cutFactor is applied for rejections, at most once each cutInterval: those of requests that
	// were sent together count as one.
	cutFactor   = 0.8
	cutInterval = 200 * time.Millisecond
	// raisePerSecond is the part of the places that is added each second.
	raisePerSecond = 0.25
	// blockTime is how long a place is held back for a rejected request: another that is not
	// known here yet has taken it.
	blockTime = 200 * time.Millisecond
	// leastInTransit is the mean number of places whose return and next credit are in transit
	// from which one more request than there are places is sent to any endpoint. Then a place is idle
	// when the request arrives but in exp(-leastInTransit) of cases, which is 2 in 100.
	leastInTransit = 4
	// leastQueuedInTransit is the mean number of places in transit from which requests are sent that
	// are to wait at the endpoint: below, they would mostly wait there, out of the fleet's order.
	leastQueuedInTransit = 0.5
	// queuedPart bounds the requests that are to wait at an endpoint, as a part of its places.
	queuedPart = 3
	// extraPause is how long an endpoint that has rejected requests gets no more than its places. It
	// doubles with each rejection of requests beyond them, up to maxExtraPause: the endpoint keeps none.
	extraPause    = time.Second
	maxExtraPause = 32 * time.Second
)

func newPlaces(now time.Time) places { return places{fraction: 1, raisedAt: now, pause: extraPause} }

func (p *places) recordReport(n int64) {
	if n > 0 {
		p.reported = n
	}
}

// recordRoundTrip records the round trip of one borrower, in milliseconds.
func (p *places) recordRoundTrip(ms int64) {
	p.roundTrip += (time.Duration(ms)*time.Millisecond - p.roundTrip) / roundTripShare
}

// recordRejection records that the endpoint has rejected requests.
func (p *places) recordRejection(now time.Time) {
	p.raise(now)
	extra := p.extra(now)
	p.recordExtraRejection(now, extra)
	p.rejectedAt = now
	if extra > 0 || now.Sub(p.cutAt) < cutInterval {
		return
	}
	p.fraction, p.cutAt = max(p.fraction*cutFactor, leastFraction), now
}

// block holds places back for requests that were rejected, up to half of them.
func (p *places) block(now time.Time, n int64) {
	p.blocked = slices.DeleteFunc(p.blocked, func(until time.Time) bool { return !now.Before(until) })
	for range min(n, p.reported/2-int64(len(p.blocked))) {
		p.blocked = append(p.blocked, now.Add(blockTime))
	}
}

// raise raises the fraction for the time that has passed.
func (p *places) raise(now time.Time) {
	p.fraction = min(p.fraction+raisePerSecond*max(now.Sub(p.raisedAt), 0).Seconds(), 1)
	p.raisedAt = now
}

// recordExtraRejection lengthens the pause after a rejection while extra requests were sent beyond the
// places; a long time without any ends that.
func (p *places) recordExtraRejection(now time.Time, extra int64) {
	if now.Sub(p.rejectedAt) >= 2*maxExtraPause {
		p.pause = extraPause
	}
	if extra > 0 {
		p.pause = min(2*p.pause, maxExtraPause)
	}
}

// extra returns by how many the requests that are sent may exceed the places, so that these are not idle
// while returns and credits are in transit.
func (p *places) extra(now time.Time) int64 {
	inTransit := p.freedPerSecond * p.roundTrip.Seconds()
	if p.fraction < 1 {
		return 0
	}
	return max(p.surelyRoom(now, inTransit), p.queued(now, inTransit))
}

// surelyRoom returns 1 if so many places are in transit that one more request finds one.
func (p *places) surelyRoom(now time.Time, inTransit float64) int64 {
	if inTransit < leastInTransit || !p.rejectedAt.IsZero() && now.Sub(p.rejectedAt) < extraPause {
		return 0
	}
	return 1
}

// queued returns how many requests may wait at the endpoint for the places that are in transit: one more
// with each pause in which none was rejected.
func (p *places) queued(now time.Time, inTransit float64) int64 {
	if !p.mayQueue || inTransit < leastQueuedInTransit {
		return 0
	}
	most := min(int64(math.Ceil(inTransit)), p.reported/queuedPart)
	if p.rejectedAt.IsZero() {
		return most
	}
	return min(most, int64(now.Sub(p.rejectedAt)/p.pause))
}

// lendable returns the number of places to lend.
func (p *places) lendable(now time.Time) int64 {
	p.raise(now)
	p.block(now, 0)
	return max(int64(float64(p.reported)*p.fraction)-int64(len(p.blocked)), min(p.reported, 1)) + p.extra(now)
}

// outsiders estimates how many requests run at an endpoint without a place of this issuer, from
// sums that are older than what it has lent.
type outsiders struct {
	// known is the last sum. reserved are the most places that were reserved in the last two
	// periods of sumDelay, the current one first.
	known    int64
	reserved [2]int64
	periodAt time.Time
}

// sumDelay is by how much the sums of all instances' requests may be outdated.
const sumDelay = time.Second

// recordSample records a sum of all instances' requests and the places that are reserved.
func (o *outsiders) recordSample(now time.Time, running, reserved int64) {
	o.known = max(running, 0)
	switch passed := now.Sub(o.periodAt); {
	case passed >= 2*sumDelay:
		o.reserved, o.periodAt = [2]int64{}, now
	case passed >= sumDelay:
		o.reserved, o.periodAt = [2]int64{0, o.reserved[0]}, now
	}
	o.reserved[0] = max(o.reserved[0], reserved)
}

// running returns the number of requests that no place was lent for.
func (o *outsiders) running() int64 {
	return max(o.known-max(o.reserved[0], o.reserved[1]), 0)
}
