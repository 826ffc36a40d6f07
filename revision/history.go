package revision

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/store"
)

// historyLimit is how many revisions before the one in force are kept.
const historyLimit = 50

// minGarbageAge is the minimum age of a chunk that is deleted. An edit writes its chunks before
// it replaces the root, and must complete both within this time.
const minGarbageAge = 10 * time.Minute

func revisionName(n int64) string { return fmt.Sprintf("r-%012d", n) }

// addToHistory adds an entry to the history; an entry that already exists is identical.
func (p *Publisher) addToHistory(ctx context.Context, e Entry) error {
	o, err := store.NewObject(store.KindRevision, revisionName(e.Revision), e)
	if err != nil {
		return err
	}
	if _, err := p.writer.Create(ctx, o); err != nil && !store.IsConflict(err) {
		return err
	}
	return nil
}

// History returns the revisions in the history, the newest first; the first is the one in
// force.
func History(ctx context.Context, c store.Client) ([]Entry, error) {
	root, err := ReadRoot(ctx, c)
	if err != nil {
		return nil, err
	}
	list, err := c.List(ctx, store.KindRevision)
	if err != nil {
		return nil, err
	}
	entries := []Entry{root.Current}
	for _, o := range list.Items {
		var e Entry
		if err := json.Unmarshal(o.Spec, &e); err != nil {
			return nil, &TextError{Err: err}
		}
		if e.Revision < root.Current.Revision {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(b.Revision, a.Revision) })
	return entries, nil
}

// ReadRevision returns a revision that is in force or in the history.
func ReadRevision(ctx context.Context, c store.Client, n int64) (*Accepted, error) {
	entries, err := History(ctx, c)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.Revision == n {
			return NewFetcher().Fetch(ctx, e, StoreSource(c))
		}
	}
	return nil, &UnknownRevisionError{Revision: n}
}

// UnknownRevisionError reports a revision that is not in the history.
type UnknownRevisionError struct{ Revision int64 }

// Error gives the revision.
func (e *UnknownRevisionError) Error() string {
	return fmt.Sprintf("revision %d is not in the history", e.Revision)
}

// CollectGarbage deletes revisions beyond the limit of the history, and the chunks that no
// other revision needs. It returns the number of objects deleted.
func (p *Publisher) CollectGarbage(ctx context.Context) (int, error) {
	entries, err := History(ctx, p.client)
	if err != nil {
		return 0, err
	}
	kept := entries[:min(len(entries), historyLimit+1)]
	deleted := 0
	for _, e := range entries[len(kept):] {
		if err := p.client.Delete(ctx, store.KindRevision, revisionName(e.Revision)); err != nil && !store.IsNotFound(err) {
			return deleted, err
		}
		deleted++
	}
	needed := map[string]bool{}
	for _, e := range kept {
		for _, hash := range e.Chunks {
			needed[hash] = true
		}
	}
	list, err := p.client.List(ctx, store.KindChunk)
	if err != nil {
		return deleted, err
	}
	for _, o := range list.Items {
		if needed[o.Metadata.Name] || p.now().Sub(o.Metadata.CreationTimestamp) < minGarbageAge {
			continue
		}
		if err := p.client.Delete(ctx, store.KindChunk, o.Metadata.Name); err != nil && !store.IsNotFound(err) {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}
