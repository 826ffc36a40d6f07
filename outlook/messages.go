package outlook

import "time"

// Starts reports the requests for one unit at one instance.
type Starts struct {
	_    struct{} `cbor:",toarray"`
	Unit string
	// Started is the number of requests that the instance has sent to endpoints since its
	// process began.
	Started int64
	// Waiting is the number of requests that wait there, by priority.
	Waiting map[int]int
}

// Caller is a refused caller that may come back.
type Caller struct {
	// Request is the hash by which the request is known across its attempts; 0 if it is not.
	Request uint32
	// Since is when it joined the queue.
	Since time.Time
}

// Promise is a return that an instance has promised to a refused caller.
type Promise struct {
	_    struct{} `cbor:",toarray"`
	Unit string
	// Request, InMS and WaitedMS are as in Return.
	Request        uint32
	InMS, WaitedMS int64
}

// Return is when a refused caller may come back.
type Return struct {
	_ struct{} `cbor:",toarray"`
	// Request is the hash by which the request is known across its attempts; 0 if it is not.
	Request uint32
	// InMS is in how many milliseconds the caller may come back, as of the message.
	InMS int64
	// WaitedMS is for how many milliseconds it has waited, as of the message.
	WaitedMS int64
}

// Level is the forecast for requests of at most the given priority and above that of the next
// lower level.
type Level struct {
	_        struct{} `cbor:",toarray"`
	Priority int
	// StartMS is in how many milliseconds such a request can start at the earliest, as far as is
	// likely, as of the message.
	StartMS int64
}

// Entry is the forecast for one unit.
type Entry struct {
	_    struct{} `cbor:",toarray"`
	Unit string
	// NoReplica is set if no endpoint serves the unit; LoadMS is then in how many milliseconds
	// one can at the earliest, as of the message.
	NoReplica bool
	LoadMS    int64
	// Levels are the forecasts by priority if replicas serve the unit, the highest first. A
	// request of a priority above all of them is not known to wait.
	Levels []Level
	// ReturnMS is in how many milliseconds the next refused caller may come back, as of the
	// message, and ReturnGapMS the time between two of them; 0 if neither is known.
	ReturnMS, ReturnGapMS int64
}

// startIn returns in how long a request of the given priority can start; 0 if it is not known to
// wait.
func (e *Entry) startIn(priority int) time.Duration {
	if e.NoReplica {
		return milliseconds(e.LoadMS)
	}
	var in time.Duration
	for _, l := range e.Levels {
		if l.Priority < priority {
			break
		}
		in = milliseconds(l.StartMS)
	}
	return in
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
