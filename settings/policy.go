package settings

import (
	"reflect"
	"strings"
	"time"
)

// Policy sets how requests and replicas are handled. A nil field is inherited.
type Policy struct {
	// Priority orders waiting requests; a higher one goes first.
	Priority *int `json:"priority,omitempty"`
	// FirstTokenMS is the target time to the first token, in milliseconds.
	FirstTokenMS *int64 `json:"firstTokenMS,omitempty"`
	// BetweenTokensMS is the target time between tokens, in milliseconds.
	BetweenTokensMS *int64 `json:"betweenTokensMS,omitempty"`
	// DeadlineMS is the maximum duration of the whole request, in milliseconds.
	DeadlineMS *int64 `json:"deadlineMS,omitempty"`
	// Repeatable reports whether a request may run more than once.
	Repeatable *bool `json:"repeatable,omitempty"`
	// MayWait reports whether a request whose first-token target cannot be met waits in
	// the queue up to its deadline instead of being refused.
	MayWait *bool `json:"mayWait,omitempty"`
	// GiveUpMS is how long callers wait for the next event of a stream before they
	// disconnect, in milliseconds; 0 means until the deadline.
	GiveUpMS *int64 `json:"giveUpMS,omitempty"`
	// Replicas is the minimum number of replicas.
	Replicas *int `json:"replicas,omitempty"`
	// MaxAttempts is the maximum number of endpoints that a request may be sent to; 0
	// leaves the choice to the system.
	MaxAttempts *int `json:"maxAttempts,omitempty"`
	// Resumable reports whether another endpoint may continue a broken stream.
	Resumable *bool `json:"resumable,omitempty"`
	// MovePrice is the cost of one load of a unit, expressed as a number of requests that
	// miss their target.
	MovePrice *float64 `json:"movePrice,omitempty"`
}

// Effective is a policy in which every field has a value.
type Effective struct {
	Priority      int
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Deadline      time.Duration
	Repeatable    bool
	MayWait       bool
	GiveUp        time.Duration
	Replicas      int
	MaxAttempts   int
	Resumable     bool
	MovePrice     float64
}

// Defaults returns the values of fields that no node sets.
func Defaults() Policy {
	return Policy{
		Priority: new(0), FirstTokenMS: new(int64(2000)), BetweenTokensMS: new(int64(200)),
		DeadlineMS: new(int64(60000)), Repeatable: new(true), MayWait: new(false), GiveUpMS: new(int64(0)),
		Replicas: new(1), MaxAttempts: new(0), Resumable: new(false), MovePrice: new(1.0),
	}
}

// Node is the policy of a node of the tree, with the node's path.
type Node struct {
	Path   string
	Policy Policy
}

// Value is the effective value of a field. Origin is the path of the node that sets it.
type Value struct {
	Field  string
	Value  any
	Origin string
}

// DefaultOrigin is the Origin of a value that no node sets.
const DefaultOrigin = "(default)"

// Inherit returns the effective value of each field for a chain of nodes, root first.
func Inherit(chain []Node) []Value {
	nodes := append([]Node{{Path: DefaultOrigin, Policy: Defaults()}}, chain...)
	t := reflect.TypeFor[Policy]()
	values := make([]Value, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		values[i].Field = name
		for _, n := range nodes {
			f := reflect.ValueOf(n.Policy).Field(i)
			if f.IsNil() {
				continue
			}
			values[i].Value = f.Elem().Interface()
			values[i].Origin = n.Path
		}
	}
	return values
}

// Resolve merges the policies of a chain of nodes, root first, into an effective policy.
func Resolve(chain []Node) Effective {
	p := Defaults()
	merged := reflect.ValueOf(&p).Elem()
	for _, n := range chain {
		v := reflect.ValueOf(n.Policy)
		for i := range v.NumField() {
			if f := v.Field(i); !f.IsNil() {
				merged.Field(i).Set(f)
			}
		}
	}
	return Effective{
		Priority:      *p.Priority,
		FirstToken:    milliseconds(*p.FirstTokenMS),
		BetweenTokens: milliseconds(*p.BetweenTokensMS),
		Deadline:      milliseconds(*p.DeadlineMS),
		Repeatable:    *p.Repeatable,
		MayWait:       *p.MayWait,
		GiveUp:        milliseconds(*p.GiveUpMS),
		Replicas:      *p.Replicas,
		MaxAttempts:   *p.MaxAttempts,
		Resumable:     *p.Resumable,
		MovePrice:     *p.MovePrice,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
