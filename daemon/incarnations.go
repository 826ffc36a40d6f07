package daemon

import "time"

// endpointIncarnation identifies one incarnation of an endpoint's process in reports of
// instances.
type endpointIncarnation struct {
	name string
	// startedAtMS is when the process started, in Unix milliseconds of its own clock; 0 where
	// unknown.
	startedAtMS int64
}

// includes tells whether a report on this incarnation applies to an endpoint that was started
// at startedAtMS. It does not apply to one that was restarted since.
func (s endpointIncarnation) includes(startedAtMS int64) bool {
	return s.startedAtMS == 0 || startedAtMS <= s.startedAtMS
}

// withdrawal is a notice that an incarnation of an endpoint takes no more work.
type withdrawal struct {
	startedAtMS int64
	// at is when this instance's own list first showed the withdrawal, or, for a notice of
	// another instance, when the notice expires.
	at time.Time
}

// incarnationsOf combines the endpoint names of a packet with their start times, which a sender
// may omit.
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

// splitIncarnations returns names and start times for a packet; the times are nil if none is
// known.
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
