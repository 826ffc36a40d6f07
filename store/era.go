package store

import (
	"errors"
	"strconv"
	"strings"
	"sync"
)

// ErrEarlierEra is an answer, or a condition, from before the store has come back from a
// copy.
var ErrEarlierEra = errors.New("object API: of an earlier era of the store")

// Eras follows the eras of a store. A store that comes back from a copy some seconds old
// has lost what it acknowledged since, and gives its versions out again: each such return
// begins an era. Versions compare within one era only. It is safe for concurrent use; a nil
// Eras, and a store that tells none, is in era 0 for ever.
type Eras struct {
	mu     sync.Mutex
	newest int64
	begun  []func(era int64)
}

// OnBegin adds a function that is told of each era that begins after the first one seen. It
// must not block.
func (e *Eras) OnBegin(f func(era int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.begun = append(e.begun, f)
}

// Newest returns the newest era that was seen; 0 for none.
func (e *Eras) Newest() int64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Observe records that an answer, or another instance, has told an era. It reports false for an
// earlier one than is known: what it says holds no more.
func (e *Eras) Observe(era int64) bool {
	if e == nil {
		return true
	}
	e.mu.Lock()
	known := e.newest
	if era <= known {
		e.mu.Unlock()
		return era == known
	}
	e.newest = era
	begun := e.begun
	e.mu.Unlock()
	if known == 0 {
		return true
	}
	for _, f := range begun {
		f(era)
	}
	return true
}

// RevisionOf returns the number in a version, which grows within an era; 0 if it has none.
func RevisionOf(version string) int64 {
	n, err := strconv.ParseInt(version[strings.LastIndexByte(version, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
