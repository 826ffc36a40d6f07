package store

import (
	"errors"
	"strconv"
	"strings"
	"sync"
)

// ErrEarlierEra is returned for an answer or a condition from before the store was restored
// from a copy.
var ErrEarlierEra = errors.New("object API: of an earlier era of the store")

// Eras tracks the eras of a store. A store that is restored from a copy some seconds old has
// lost the writes that it acknowledged since the copy, and assigns their versions again. Each
// such restoration begins a new era; versions are comparable within one era only. Eras is safe
// for concurrent use. A nil Eras, or a store that reports no era, is always in era 0.
type Eras struct {
	mu      sync.Mutex
	newest  int64
	onBegin []func(era int64)
}

// OnBegin registers a function that is called with each era that begins after the first one
// observed. It must not block.
func (e *Eras) OnBegin(f func(era int64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onBegin = append(e.onBegin, f)
}

// Newest returns the newest era observed; 0 if there is none.
func (e *Eras) Newest() int64 {
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// Observe records the era of an answer or of another instance. It reports false for an era
// older than the newest: information from it is no longer valid.
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
	onBegin := e.onBegin
	e.mu.Unlock()
	if known == 0 {
		return true
	}
	for _, f := range onBegin {
		f(era)
	}
	return true
}

// RevisionOf returns the number in a version, which increases within an era; 0 if the version
// has none.
func RevisionOf(version string) int64 {
	n, err := strconv.ParseInt(version[strings.LastIndexByte(version, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return n
}
