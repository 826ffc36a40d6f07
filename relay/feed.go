package relay

import (
	"reflect"

	"github.com/eiderspring/eiderspring/membership"
)

// Feed holds the members as an instance reports them to others: completely, or as the changes
// since its last report. Changes are numbered for the lifetime of the process.
type Feed struct {
	process string
	// seq is the number of the last change, listingVersion the version of the last listing.
	seq            int64
	listingVersion int64
	// members holds each member and the number of its last change, removed those that are gone,
	// in order; removals up to discardedSeq have been discarded.
	members      map[string]versionedMember
	removed      []removal
	discardedSeq int64
}

type versionedMember struct {
	member membership.Member
	seq    int64
}

type removal struct {
	name string
	seq  int64
}

// maxRemoved bounds the removals that are kept: a follower that has missed more gets all
// members.
const maxRemoved = 4096

// NewFeed returns an empty feed of a process.
func NewFeed(process string) *Feed {
	return &Feed{process: process, members: map[string]versionedMember{}}
}

// ListingVersion returns the version of the last listing; 0 for none.
func (f *Feed) ListingVersion() int64 { return f.listingVersion }

// Update replaces the members with those of a listing.
func (f *Feed) Update(l membership.Listing) {
	f.listingVersion = l.Version
	present := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		present[m.Name] = true
		if known, listed := f.members[m.Name]; !listed || !reflect.DeepEqual(known.member, m) {
			f.seq++
			f.members[m.Name] = versionedMember{member: m, seq: f.seq}
		}
	}
	for name := range f.members {
		if !present[name] {
			f.seq++
			delete(f.members, name)
			f.removed = append(f.removed, removal{name: name, seq: f.seq})
		}
	}
	if over := len(f.removed) - maxRemoved; over > 0 {
		f.discardedSeq = f.removed[over-1].seq
		f.removed = append([]removal(nil), f.removed[over:]...)
	}
}

// Delta holds what has changed for a receiver that knows a process's changes up to a number.
type Delta struct {
	// Process and Seq identify the last change included. Full is set if Members holds all
	// members.
	Process string              `cbor:"1,keyasint"`
	Seq     int64               `cbor:"2,keyasint"`
	Full    bool                `cbor:"3,keyasint,omitempty"`
	Members []membership.Member `cbor:"4,keyasint,omitempty"`
	Removed []string            `cbor:"5,keyasint,omitempty"`

	// Current reports that the sender learns of newer settings, leaving endpoints and evacuated
	// failure domains in time; Revision is the revision of its settings.
	Current  bool  `cbor:"6,keyasint,omitempty"`
	Revision int64 `cbor:"7,keyasint,omitempty"`
	// Evacuated holds the evacuated failure domains, as in peer.Packet.
	Evacuated         []string `cbor:"8,keyasint,omitempty"`
	EvacuatedEra      int64    `cbor:"9,keyasint,omitempty"`
	EvacuatedRevision int64    `cbor:"10,keyasint,omitempty"`
	// StoreEra and StoreRevision are the version of the store that the sender's members
	// correspond to; zero if it does not report one.
	StoreEra      int64 `cbor:"11,keyasint,omitempty"`
	StoreRevision int64 `cbor:"12,keyasint,omitempty"`
	// FollowsStore reports that the sender follows the store closely, or relies on an instance
	// that does, even if it does not attest that yet.
	FollowsStore bool `cbor:"13,keyasint,omitempty"`
}

// Empty reports whether there are no changes to the members.
func (d Delta) Empty() bool { return !d.Full && len(d.Members) == 0 && len(d.Removed) == 0 }

// Since returns the changes for a receiver that knows a process's changes up to seq; the zero
// values request all members.
func (f *Feed) Since(process string, seq int64) Delta {
	d := Delta{Process: f.process, Seq: f.seq}
	d.Full = process != f.process || seq < f.discardedSeq || seq > f.seq
	if !d.Full && seq == f.seq {
		return d
	}
	for _, m := range f.members {
		if d.Full || m.seq > seq {
			d.Members = append(d.Members, m.member)
		}
	}
	for _, r := range f.removed {
		if _, back := f.members[r.name]; !d.Full && r.seq > seq && !back {
			d.Removed = append(d.Removed, r.name)
		}
	}
	return d
}

// Event returns the delta as an event for membership.Entries.
func (d Delta) Event() membership.EntryEvent {
	if d.Full {
		return membership.EntriesListed{Members: d.Members}
	}
	var changes []membership.EntryChange
	for i := range d.Members {
		changes = append(changes, membership.EntryChange{Name: d.Members[i].Name, Member: &d.Members[i]})
	}
	for _, name := range d.Removed {
		changes = append(changes, membership.EntryChange{Name: name})
	}
	return membership.EntriesChanged{Changes: changes}
}
