package store

import (
	"encoding/json"
	"time"
)

// Kind is the plural resource name under which objects are stored.
type Kind string

// The kinds of object that the system stores.
const (
	KindSettings Kind = "settings"
	KindChunk    Kind = "settingschunks"
	// KindRevision stores the accepted settings revisions before the one in force.
	KindRevision Kind = "settingsrevisions"
	KindLease    Kind = "leases"
	KindLedger   Kind = "ledgers"
	KindClaim    Kind = "claims"
	// KindSettlement stores a previous controller's statement that none of its orders can
	// still arrive.
	KindSettlement Kind = "settlements"
	// KindInstance stores the address at which each instance receives from the others.
	KindInstance Kind = "instances"
	// KindHold stores the requests that are held back.
	KindHold Kind = "holds"
	// KindPeerKey stores the key of the datagrams between instances.
	KindPeerKey Kind = "peerkeys"
	// KindSoftwareVersions stores, for each pool, the software versions at which its streams began.
	KindSoftwareVersions Kind = "softwareversions"
	// KindStreamRecord stores where streams of pools with several software versions began.
	KindStreamRecord Kind = "streamrecords"
)

// APIVersion is the group and version of the system's own kinds.
const APIVersion = "eiderspring.dev/v1"

// MaxObjectBytes is the maximum size of an object in the object API.
const MaxObjectBytes = 1 << 20

// writeIDAnnotation is the annotation with the id of the write that created this version.
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

// WithSpec returns an object of the same kind, name and version with another spec. It drops
// labels, annotations and status.
func (o Object) WithSpec(spec any) (Object, error) {
	next, err := NewObject(o.Kind, o.Metadata.Name, spec)
	next.Metadata.ResourceVersion = o.Metadata.ResourceVersion
	return next, err
}

// WriteID returns the id of the write that created this version.
func (o Object) WriteID() string { return o.Metadata.Annotations[writeIDAnnotation] }

// List is the objects of a kind at one resource version.
type List struct {
	ResourceVersion string
	Items           []Object
	// FreshAsOf is when a Reflector requested the list; zero if the list may be stale. The
	// list contains all that the store had acknowledged by then.
	FreshAsOf time.Time
	// RequestedAt is the same but also set for lists that may be stale.
	RequestedAt time.Time
}

// EventType is the kind of change to an object.
type EventType string

// Types of watch event.
const (
	EventAdded    EventType = "ADDED"
	EventModified EventType = "MODIFIED"
	EventDeleted  EventType = "DELETED"
	// EventBookmark carries only a newer resource version.
	EventBookmark EventType = "BOOKMARK"
)

// Event is a change reported by a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
	// Stale is set if the answer that carried the event may be seconds old.
	Stale bool `json:"-"`
	// FreshAsOf is when the call that returned the event was made; zero if the event may be
	// stale or the watch is a stream. With the bookmark after the call's changes, all that the
	// store had acknowledged by then has been reported.
	FreshAsOf time.Time `json:"-"`
}
