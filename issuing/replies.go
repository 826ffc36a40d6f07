package issuing

import (
	"maps"
	"time"
)

const (
	// maxMissed is how many consecutive messages may go unanswered before an issuer is skipped
	// for skipTime: datagrams are lost now and then.
	maxMissed = 3
	skipTime  = 5 * time.Second
)

// Replies is what is known of issuers that have left messages unanswered. The zero value knows
// of none.
type Replies struct {
	issuers map[string]*issuer
}

// issuer is an issuer that has left messages unanswered.
type issuer struct {
	// missed is the number of consecutive messages without a reply.
	missed int
	// skippedUntil is until when the issuer is skipped.
	skippedUntil time.Time
}

// RecordMiss records that an issuer has not replied in time.
func (r *Replies) RecordMiss(now time.Time, name string) {
	if r.issuers == nil {
		r.issuers = map[string]*issuer{}
	}
	i := r.issuers[name]
	if i == nil {
		i = &issuer{}
		r.issuers[name] = i
	}
	i.missed++
	if i.missed >= maxMissed {
		*i = issuer{skippedUntil: now.Add(skipTime)}
	}
}

// RecordReply records that an issuer has replied, also if late.
func (r *Replies) RecordReply(name string) { delete(r.issuers, name) }

// First returns the first of the ranked issuers that is not skipped, and its rank. The name is
// empty if all are skipped.
func (r *Replies) First(now time.Time, ranked []string) (name string, rank int) {
	for rank, name := range ranked {
		i := r.issuers[name]
		if i == nil || !now.Before(i.skippedUntil) {
			return name, rank
		}
	}
	return "", 0
}

// Forget drops issuers without recent misses.
func (r *Replies) Forget(now time.Time) {
	maps.DeleteFunc(r.issuers, func(_ string, i *issuer) bool { return i.missed == 0 && !now.Before(i.skippedUntil) })
}
