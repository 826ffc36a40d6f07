package permit

import (
	"math"
	"strings"
	"time"
)

// LimitReport is what an endpoint said last, as one instance tells another.
type LimitReport struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    string
	StartedAtMS int64
	// PerSecond is the limit; Ended tells in its place that there is none any more.
	PerSecond float64
	Ended     bool
	// AgeMS is how long ago the endpoint said so, in milliseconds.
	AgeMS int64
}

// Request asks the issuer of an endpoint for permits.
type Request struct {
	_      struct{} `cbor:",toarray"`
	Report LimitReport
	// Seq stands for the ask in the answer.
	Seq uint64
	// Rank is how many issuers go before this one.
	Rank int
	// N is how many permits are wanted.
	N int64
}

// Grant answers an Ask.
type Grant struct {
	_    struct{} `cbor:",toarray"`
	Word LimitReport
	Seq  uint64
	// N is how many permits are issued.
	N int64
}

const (
	// maxName bounds the name of an endpoint in a word, in bytes.
	maxName = 128
	// wordHead is what a word takes besides the name, in bytes.
	wordHead = 4 + 4*9
	// wordTells is how often what an endpoint said is told: datagrams are lost now and
	// then, and who has lost them all hears it from the endpoint itself.
	wordTells = 3
)

// Bytes bounds the encoding of the word.
func (w LimitReport) Bytes() int { return wordHead + len(w.Endpoint) }

// start is the endpoint that the word is about.
func (w LimitReport) start() LimitKey {
	name, cold := strings.CutSuffix(w.Endpoint, coldSuffix)
	return LimitKey{Name: name, StartedAtMS: w.StartedAtMS, Cold: cold}
}

// sound tells whether the word can be believed.
func (w LimitReport) sound() bool {
	return len(w.Endpoint) <= maxName && w.AgeMS >= 0 && w.PerSecond >= 0 && !math.IsInf(w.PerSecond, 0)
}

// word is what is told of an endpoint.
func (k *limit) word(now time.Time, e LimitKey) LimitReport {
	return LimitReport{
		Endpoint: e.text(), StartedAtMS: e.StartedAtMS, PerSecond: k.perSecond, Ended: k.ended,
		AgeMS: max(now.Sub(k.saidAt), 0).Milliseconds(),
	}
}

// ReceiveReports takes the words of another instance, and returns those that are news here.
func (l *Limiter) ReceiveReports(now time.Time, words []LimitReport) (news []LimitReport) {
	if l == nil || len(words) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range words {
		if l.hear(now, w) {
			news = append(news, w)
		}
	}
	return news
}

// hear takes one word unless a newer one is known.
func (l *Limiter) hear(now time.Time, w LimitReport) bool {
	if !w.sound() {
		return false
	}
	if e := w.start(); e.Cold {
		return l.hearCold(now, e, w)
	}
	said := now.Add(-time.Duration(w.AgeMS) * time.Millisecond)
	known := l.limits[w.start()]
	if known != nil && known.supersedes(w, said) {
		return false
	}
	return l.said(said, now, w.start(), w.PerSecond, w.Ended)
}

// sameWithin is by how much later the same word may seem to have been said: it takes some
// time on its way. Without that a word would seem newer each time that it is told.
const sameWithin = 50 * time.Millisecond

// supersedes tells whether a word, said at a moment, changes nothing of what is known.
func (k *limit) supersedes(w LimitReport, said time.Time) bool {
	same := k.ended == w.Ended && k.perSecond == w.PerSecond
	return !said.After(k.saidAt) || same && said.Sub(k.saidAt) < sameWithin
}

// PendingReports returns words that the others are to hear, in so many bytes.
func (l *Limiter) PendingReports(now time.Time, room int) []LimitReport {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var words []LimitReport
	for e, k := range l.limits {
		w := k.word(now, e)
		if k.tells == 0 || e.Cold || w.Bytes() > room {
			continue
		}
		k.tells--
		room -= w.Bytes()
		words = append(words, w)
	}
	return words
}
