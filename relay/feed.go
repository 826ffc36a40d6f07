package relay

import (
	"reflect"

	"github.com/eiderspring/eiderspring/membership"
)

// Feed is the members as an instance tells them to others: whole, or what has changed since
// it told them last. It numbers changes for the life of its process.
type Feed struct {
	process string
	// seq is the number of the last change, whole the version that was taken last.
	seq   int64
	taken int64
	// members holds each member and the number of its last change, removed those that have
	// gone, in order; what was removed up to forgotten is not known any more.
	members   map[string]told
	removed   []removal
	forgotten int64
}

type told struct {
	member membership.Member
	seq    int64
}

type removal struct {
	name string
	seq  int64
}

// maxRemoved bounds the removals that are known: who has missed more is told the whole.
const maxRemoved = 4096

// NewFeed returns a feed that knows nothing, of a process.
func NewFeed(process string) *Feed { return &Feed{process: process, members: map[string]told{}} }

// ListingVersion is the version of the listing that was taken last; 0 for none.
func (f *Feed) ListingVersion() int64 { return f.taken }

// Update takes a listing.
func (f *Feed) Update(l membership.Listing) {
	f.taken = l.Version
	present := make(map[string]bool, len(l.Members))
	for _, m := range l.Members {
		present[m.Name] = true
		if known, listed := f.members[m.Name]; !listed || !reflect.DeepEqual(known.member, m) {
			f.seq++
			f.members[m.Name] = told{member: m, seq: f.seq}
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
		f.forgotten = f.removed[over-1].seq
		f.removed = append([]removal(nil), f.removed[over:]...)
	}
}

// Delta is what has changed, for who knows up to a change of a process.
type Delta struct {
	// Process and Seq tell how far the news goes. Whole is set where Members are all.
	Process string              `cbor:"1,keyasint"`
	Seq     int64               `cbor:"2,keyasint"`
	Full    bool                `cbor:"3,keyasint,omitempty"`
	Members []membership.Member `cbor:"4,keyasint,omitempty"`
	Removed []string            `cbor:"5,keyasint,omitempty"`

	// Current tells that the teller knows of newer settings, leaving endpoints and evacuated
	// failure domains in time; Revision is that of its settings.
	Current  bool  `cbor:"6,keyasint,omitempty"`
	Revision int64 `cbor:"7,keyasint,omitempty"`
	// Evacuated are the failure domains that are evacuated, as in peer.Packet.
	Evacuated         []string `cbor:"8,keyasint,omitempty"`
	EvacuatedEra      int64    `cbor:"9,keyasint,omitempty"`
	EvacuatedRevision int64    `cbor:"10,keyasint,omitempty"`
	// StoreEra and StoreRevision are the version of the store as of which the teller knows the
	// members, zero where it does not tell.
	StoreEra      int64 `cbor:"11,keyasint,omitempty"`
	StoreRevision int64 `cbor:"12,keyasint,omitempty"`
	// FollowsStore tells that the teller follows the store closely, or the word of one that does,
	// also where it does not vouch yet.
	FollowsStore bool `cbor:"13,keyasint,omitempty"`
}

// Empty tells whether there is nothing new among the members.
func (n Delta) Empty() bool { return !n.Full && len(n.Members) == 0 && len(n.Removed) == 0 }

// Since returns the news for who was told up to a change; the zero values ask for the whole.
func (f *Feed) Since(process string, seq int64) Delta {
	n := Delta{Process: f.process, Seq: f.seq}
	n.Full = process != f.process || seq < f.forgotten || seq > f.seq
	if !n.Full && seq == f.seq {
		return n
	}
	for _, m := range f.members {
		if n.Full || m.seq > seq {
			n.Members = append(n.Members, m.member)
		}
	}
	for _, r := range f.removed {
		if _, back := f.members[r.name]; !n.Full && r.seq > seq && !back {
			n.Removed = append(n.Removed, r.name)
		}
	}
	return n
}

// Event returns what the news says to Entries.
func (n Delta) Event() membership.EntryEvent {
	if n.Full {
		return membership.EntriesListed{Members: n.Members}
	}
	var changes []membership.EntryChange
	for i := range n.Members {
		changes = append(changes, membership.EntryChange{Name: n.Members[i].Name, Member: &n.Members[i]})
	}
	for _, name := range n.Removed {
		changes = append(changes, membership.EntryChange{Name: name})
	}
	return membership.EntriesChanged{Changes: changes}
}
