package daemon

import "time"

// endpointStart is one start of an endpoint's process, of which an instance tells.
type endpointIncarnation struct {
	name string
	// startedAtMS is when it was started, by its own clock; 0 where nobody knows.
	startedAtMS int64
}

// concerns tells whether a word on this start concerns an endpoint that was started at
// startedAtMS: it says nothing of one that was started again since.
func (s endpointIncarnation) includes(startedAtMS int64) bool {
	return s.startedAtMS == 0 || startedAtMS <= s.startedAtMS
}

// withdrawal is the word that a start of an endpoint takes no more work.
type withdrawal struct {
	startedAtMS int64
	// at is when it was told first by an own list, or until when another instance's
	// word counts.
	at time.Time
}

// startsOf joins the names of endpoints in a packet with their starts, which a sender
// may leave out.
func incarnationsOf(names []string, startedAtMS []int64) []endpointIncarnation {
	incarnations := make([]endpointIncarnation, len(names))
	for i, name := range names {
		incarnations[i].name = name
		if i < len(startedAtMS) {
			incarnations[i].startedAtMS = startedAtMS[i]
		}
	}
	return incarnations
}

// namesOf takes endpoints apart for a packet; the starts are nil where none is known.
func splitIncarnations(incarnations []endpointIncarnation) (names []string, startedAtMS []int64) {
	known := false
	for _, s := range incarnations {
		names = append(names, s.name)
		startedAtMS = append(startedAtMS, s.startedAtMS)
		known = known || s.startedAtMS != 0
	}
	if !known {
		return names, nil
	}
	return names, startedAtMS
}
