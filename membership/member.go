package membership

import (
	"reflect"
	"time"
)

// State is the state of a member.
type State string

// States of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// InstancePool is the name of the pool in which the platform lists instances.
const InstancePool = "instances"

// Member is one instance or endpoint.
type Member struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// PeerPort and StreamPort are the ports at which peers reach an instance, on the IP address
	// of Address; 0 for endpoints.
	PeerPort   int `json:"peerPort,omitempty"`
	StreamPort int `json:"streamPort,omitempty"`
	// Incarnation changes whenever the member is restarted.
	Incarnation string `json:"incarnation"`
	// StartedAtMS is when the member was started, in Unix milliseconds of its own clock: after
	// a restart under the same name it is later. 0 means that it is not reported.
	StartedAtMS int64 `json:"startedAtMS,omitempty"`
	State       State `json:"state"`
	// SoftwareVersion is the version of the endpoint's software, which has nothing to do with its
	// weights; empty if it is not reported. It belongs to the incarnation.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	// Slots is how many requests an endpoint runs at once; 0 means that only the settings
	// define it.
	Slots int `json:"slots,omitempty"`
	// Resident holds the units that an endpoint has ready, in order, if the list reports them;
	// nil means that it does not.
	Resident []string `json:"resident,omitempty" cbor:"resident"`
	// ColdMS is how much longer an endpoint stays cold, as it last reported, in milliseconds.
	ColdMS int64 `json:"coldMS,omitempty"`
	// Evacuated reports whether the member's failure domain is evacuated. List sets it.
	Evacuated bool `json:"-"`
	// LeavesInMS is how long a leaving endpoint still runs, in milliseconds, as it reported
	// when it began to leave; 0 means that it did not report it.
	LeavesInMS int64 `json:"leavesInMS,omitempty"`
}

// AcceptsWork reports whether the member accepts new work.
func (m Member) AcceptsWork() bool { return m.State == Live && !m.Evacuated }

// equal reports whether m and o are equal in all fields.
func (m Member) equal(o Member) bool { return reflect.DeepEqual(m, o) }

// supersedes reports whether m is a later incarnation of the member than o.
func (m Member) supersedes(o Member) bool { return o.StartedAtMS != 0 && m.StartedAtMS > o.StartedAtMS }

// Listing is one response of the platform's list.
type Listing struct {
	Version int64    `json:"version"`
	Members []Member `json:"members"`
}

// Change is a member whose state, address or incarnation changed.
type Change struct {
	Member Member
	At     time.Time
}
