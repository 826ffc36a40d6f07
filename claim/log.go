package claim

import "time"

// OpKind is the kind of an entry of a shard's log.
type OpKind string

// Kinds of log entries.
const (
	OpClaim  OpKind = "claim"
	OpCancel OpKind = "cancel"
	OpFinish OpKind = "finish"
)

// Op is one entry of a shard's log.
type Op struct {
	Kind        OpKind    `json:"kind" cbor:"1,keyasint"`
	Key         string    `json:"key" cbor:"2,keyasint"`
	Attempt     string    `json:"attempt" cbor:"3,keyasint"`
	Fingerprint string    `json:"fingerprint,omitempty" cbor:"4,keyasint,omitempty"`
	At          time.Time `json:"at" cbor:"5,keyasint"`
	Result      *Result   `json:"result,omitempty" cbor:"6,keyasint,omitempty"`
}

// Log is the state that results from the entries of a shard. Applying the same entries in the
// same order gives the same state on every instance, whoever wrote them: an entry that arrives
// too late for its record has no effect.
type Log struct {
	horizon time.Duration
	records map[string]*Record
}

// NewLog returns an empty log that ignores records older than horizon.
func NewLog(horizon time.Duration) *Log { return &Log{horizon: horizon, records: map[string]*Record{}} }

// Apply applies one entry.
func (l *Log) Apply(op Op) {
	r := l.records[op.Key]
	switch op.Kind {
	case OpClaim:
		if Decide(r, op.Attempt, op.Fingerprint, op.At, l.horizon) == Free {
			l.records[op.Key] = &Record{State: Claimed, Attempt: op.Attempt, Fingerprint: op.Fingerprint, At: op.At}
		}
	case OpCancel:
		if r != nil && r.Attempt == op.Attempt && r.State == Claimed {
			r.State = Cancelled
		}
	case OpFinish:
		if r != nil && r.Attempt == op.Attempt && r.State == Claimed {
			r.State, r.Result = Done, op.Result
		}
	}
}

// Verdict returns the state of an entry according to the log: whether a claim is free, granted
// or held, or whether the end of a claim is recorded.
func (l *Log) Verdict(op Op) (Verdict, *Result) {
	r := l.records[op.Key]
	if op.Kind == OpClaim {
		v := Decide(r, op.Attempt, op.Fingerprint, op.At, l.horizon)
		if v == Replay {
			return v, r.Result
		}
		return v, nil
	}
	switch {
	case r == nil || r.Attempt != op.Attempt:
		return Unknown, nil
	case r.State == Claimed:
		return Free, nil
	case r.State == Done && op.Kind == OpFinish, r.State == Cancelled && op.Kind == OpCancel:
		return Ended, nil
	default:
		return Unknown, nil
	}
}

// prune deletes records that are older than the horizon.
func (l *Log) prune(now time.Time) {
	for key, r := range l.records {
		if now.Sub(r.At) >= l.horizon {
			delete(l.records, key)
		}
	}
}
