package quarantine

import "time"

// answersPerGeneration bounds the parts in a generation of recentAnswers, of some 50 bytes each.
const answersPerGeneration = 1024

// recentAnswers holds when the answer to a request with a part of a prompt last began, for the parts
// that were answered last: at least answersPerGeneration, at most twice as many.
type recentAnswers struct {
	current, previous map[Fingerprint]time.Time
}

// record records the beginning of an answer.
func (a *recentAnswers) record(now time.Time, part Fingerprint) {
	if a.current == nil || len(a.current) >= answersPerGeneration {
		a.current, a.previous = map[Fingerprint]time.Time{}, a.current
	}
	a.current[part] = now
}

// at returns when the answer to a request with the part last began; false if that is unknown.
func (a *recentAnswers) at(part Fingerprint) (time.Time, bool) {
	if at, known := a.current[part]; known {
		return at, true
	}
	at, known := a.previous[part]
	return at, known
}
