package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Member is one instance or endpoint on the platform's list.
type Member struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	PeerPort      int    `json:"peerPort,omitempty"`
	StreamPort    int    `json:"streamPort,omitempty"`
	Incarnation   string `json:"incarnation"`
	// State is MemberLive or MemberLeaving. A member that is gone is not listed.
	State string `json:"state"`
}

// States of a member.
const (
	MemberLive    = "live"
	MemberLeaving = "leaving"
)

// Members is the platform's list of instances and endpoints. Changes become visible
// after a lag.
type Members struct {
	lag time.Duration

	mu      sync.Mutex
	version int64
	members map[string]Member
	changed chan struct{}
}

// NewMembers returns an empty list with the given lag.
func NewMembers(lag time.Duration) *Members {
	return &Members{lag: lag, version: 1, members: map[string]Member{}, changed: make(chan struct{})}
}

// Set adds or replaces a member after the lag.
func (m *Members) Set(member Member) {
	m.applyAfterLag(func() { m.members[member.Name] = member })
}

// Remove removes a member after the lag.
func (m *Members) Remove(name string) {
	m.applyAfterLag(func() { delete(m.members, name) })
}

func (m *Members) applyAfterLag(change func()) {
	apply := func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		change()
		m.version++
		close(m.changed)
		m.changed = make(chan struct{})
	}
	if m.lag == 0 {
		apply()
		return
	}
	time.AfterFunc(m.lag, apply)
}

// longPollTimeout bounds how long a request waits for a change of the list.
const longPollTimeout = 10 * time.Second

// ServeHTTP answers GET ?after=VERSION with the list once it is newer than VERSION,
// or with 304 if it does not change within longPollTimeout.
func (m *Members) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	for {
		m.mu.Lock()
		version, changed := m.version, m.changed
		list := make([]Member, 0, len(m.members))
		for _, member := range m.members {
			list = append(list, member)
		}
		m.mu.Unlock()
		if version > after {
			writeJSON(w, http.StatusOK, map[string]any{"version": version, "members": list})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-changed:
		}
	}
}
