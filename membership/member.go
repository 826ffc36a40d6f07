package membership

import (
	"reflect"
	"time"
)

// State is where a member is in its life.
type State string

// States of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// InstancePool is the pool name under which the platform lists instances.
const InstancePool = "instances"

// Member is one instance or endpoint.
type Member struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// PeerPort and StreamPort are where an instance's peers reach it, at the IP
	// number of Address; 0 for endpoints.
	PeerPort   int `json:"peerPort,omitempty"`
	StreamPort int `json:"streamPort,omitempty"`
	// Incarnation changes whenever the member is started anew.
	Incarnation string `json:"incarnation"`
	// StartedAtMS is when the member was started, in Unix milliseconds of its own
	// clock, where it tells: one that starts again under its name tells a later time.
	// 0 means that it does not tell.
	StartedAtMS int64 `json:"startedAtMS,omitempty"`
	State       State `json:"state"`
	// Slots is how many requests an endpoint runs at once; 0 means that only
	// the settings tell.
	Slots int `json:"slots,omitempty"`
	// Resident holds the units that an endpoint has ready, where the list tells
	// them, in order; nil means that it does not.
	Resident []string `json:"resident,omitempty" cbor:"resident"`
	// ColdMS is how much longer an endpoint stays cold, as it said last, in milliseconds.
	ColdMS int64 `json:"coldMS,omitempty"`
	// Evacuated tells that the member's failure domain is evacuated. List sets it.
	Evacuated bool `json:"-"`
	// LeavesInMS is how long a leaving endpoint still runs, in milliseconds, as
	// it said when it began to leave; 0 means that it did not say.
	LeavesInMS int64 `json:"leavesInMS,omitempty"`
}

// AcceptsWork tells whether the member takes new work.
func (m Member) AcceptsWork() bool { return m.State == Live && !m.Evacuated }

// equal tells whether nothing differs.
func (m Member) equal(o Member) bool { return reflect.DeepEqual(m, o) }

// outdates tells whether m comes from a later start of the member than o.
func (m Member) outdates(o Member) bool { return o.StartedAtMS != 0 && m.StartedAtMS > o.StartedAtMS }

// Listing is one answer of the platform's list.
type Listing struct {
	Version int64    `json:"version"`
	Members []Member `json:"members"`
}

// Change is a member whose state, address or incarnation changed.
type Change struct {
	Member Member
	At     time.Time
}
