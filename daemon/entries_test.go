package daemon

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/store"
)

// TestInvalidEntryNamesNoMember checks that an entry overwritten with an invalid one names no
// member, in a list or in a change, until its member writes it again; it is logged once.
func TestInvalidEntryNamesNoMember(t *testing.T) {
	logged := 0
	log := logr.New(countingSink{&logged})
	d := &entriesTask{log: log, decode: func(o store.Object) (membership.Member, error) {
		if len(o.Spec) == 0 {
			return membership.Member{}, errors.New("not an entry of a worker")
		}
		return liveMember(o)
	}}
	valid := func(name string) store.Object {
		o := memberObject(name)
		o.Spec = json.RawMessage(`{}`)
		return o
	}
	entries := membership.NewEntries()
	names := func(e membership.EntryEvent) []string {
		l, _ := entries.Step(time.Unix(1000, 0), e)
		var names []string
		for _, m := range l.Members {
			names = append(names, m.Name)
		}
		return names
	}
	require.Equal(t, []string{"e1"}, names(membership.EntriesListed{Members: d.members([]store.Object{valid("e1"), memberObject("e2")})}))
	change := func(o store.Object) membership.EntryEvent {
		return membership.EntriesChanged{Changes: d.changes([]store.Event{{Type: store.EventModified, Object: o}})}
	}
	require.ElementsMatch(t, []string{"e1", "e3"}, names(change(valid("e3"))))
	require.Equal(t, []string{"e3"}, names(change(memberObject("e1"))), "its entry is invalid")
	require.Equal(t, 2, logged)
	names(change(memberObject("e1")))
	require.Equal(t, 2, logged, "the same error is not logged again")
	require.ElementsMatch(t, []string{"e1", "e3"}, names(change(valid("e1"))), "its member has written it again")
	require.EqualValues(t, 3, d.entriesRefused.Value())
}

// countingSink counts log messages.
type countingSink struct{ n *int }

func (countingSink) Init(logr.RuntimeInfo)            {}
func (countingSink) Enabled(int) bool                 { return true }
func (s countingSink) Info(int, string, ...any)       { *s.n++ }
func (s countingSink) Error(error, string, ...any)    { *s.n++ }
func (s countingSink) WithValues(...any) logr.LogSink { return s }
func (s countingSink) WithName(string) logr.LogSink   { return s }
