package engine

import "github.com/cespare/xxhash/v2"

// maxConnSends is how many attempts are sent on one connection. It bounds the memory that remembers
// them.
const maxConnSends = 1024

// sendHistory remembers the attempts that were sent on a connection. An endpoint may send an answer once
// more, at any later place on its connection, and an answer is known by the attempt's id only: what is
// read on a connection answers an attempt for certain only if that id was not sent on it before.
type sendHistory struct {
	// hashes holds hashes of ids; two ids with one hash cost a connection and nothing else.
	hashes map[uint64]struct{}
	sends  int
}

// add records that an attempt is sent. It returns false, and records nothing, if what is read afterwards
// could answer an earlier send of the same attempt, or if the history is full.
func (h *sendHistory) add(id string) bool {
	hash := xxhash.Sum64String(id)
	if _, sent := h.hashes[hash]; sent && id != "" || h.sends == maxConnSends {
		return false
	}
	if h.hashes == nil {
		h.hashes = map[uint64]struct{}{}
	}
	h.hashes[hash] = struct{}{}
	h.sends++
	return true
}

// empty reports whether nothing was sent.
func (h *sendHistory) empty() bool { return h.sends == 0 }
