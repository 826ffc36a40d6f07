package store

import (
	"encoding/json"
	"time"
)

// Kind is the plural resource name under which objects are stored.
type Kind string

// The kinds of object that the system keeps.
const (
	KindSettings Kind = "settings"
	KindChunk    Kind = "settingschunks"
	// KindRevision holds the accepted revisions before the one in force.
	KindRevision Kind = "settingsrevisions"
	KindLease    Kind = "leases"
	KindLedger   Kind = "ledgers"
	KindClaim    Kind = "claims"
	// KindSettlement holds an earlier controller's word that none of its orders
	// can arrive any more.
	KindSettlement Kind = "settlements"
	// KindInstance holds where each instance reaches the others.
	KindInstance Kind = "instances"
	// KindHold holds the requests that are held back.
	KindHold Kind = "holds"
	// KindPeerKey holds the key of the instances' datagrams.
	KindPeerKey Kind = "peerkeys"
)

// APIVersion is the group and version of the system's own kinds.
const APIVersion = "eiderspring.dev/v1"

// MaxObjectBytes is the largest value that the object API takes.
const MaxObjectBytes = 1 << 20

// writeIDAnnotation holds the id of the write that made this version.
const writeIDAnnotation = "eiderspring.dev/write-id"

// Metadata identifies an object and its version.
type Metadata struct {
	Name            string `json:"name"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
	// CreationTimestamp is set by the API.
	CreationTimestamp time.Time         `json:"creationTimestamp,omitzero"`
	Labels            map[string]string `json:"labels,omitempty"`
	Annotations       map[string]string `json:"annotations,omitempty"`
}

// Object is one object of the API.
type Object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       Kind            `json:"kind"`
	Metadata   Metadata        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
	Status     json.RawMessage `json:"status,omitempty"`
}

// NewObject returns an object that has no version yet.
func NewObject(kind Kind, name string, spec any) (Object, error) {
	raw, err := json.Marshal(spec)
	if err != nil {
		return Object{}, &EncodeError{Kind: kind, Name: name, Err: err}
	}
	return Object{APIVersion: APIVersion, Kind: kind, Metadata: Metadata{Name: name}, Spec: raw}, nil
}

// WithSpec returns a copy of the object with another spec.
func (o Object) WithSpec(spec any) (Object, error) {
	next, err := NewObject(o.Kind, o.Metadata.Name, spec)
	next.Metadata.ResourceVersion = o.Metadata.ResourceVersion
	return next, err
}

// WriteID returns the id of the write that made this version.
func (o Object) WriteID() string { return o.Metadata.Annotations[writeIDAnnotation] }

// List is the objects of a kind at one resource version.
type List struct {
	ResourceVersion string
	Items           []Object
	// FreshAsOf is when a Reflector asked for the list, zero if it may be behind.
	FreshAsOf time.Time
	// RequestedAt is the same for lists that may be behind too.
	RequestedAt time.Time
}

// EventType says what happened to an object.
type EventType string

// Types of watch event.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	// EventBookmark only tells a newer resource version.
	EventBookmark EventType = "BOOKMARK"
)

// Event is one change that a watch reports.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
	// Stale tells that the answer which brought the event may be seconds old.
	Stale bool `json:"-"`
	// FreshAsOf is when the call was made that brought the event, zero where it may be behind
	// or its watch is not made of calls. All that the store had acknowledged by then has come
	// with the bookmark behind the call's changes.
	FreshAsOf time.Time `json:"-"`
}
