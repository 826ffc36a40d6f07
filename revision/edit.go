package revision

import (
	"context"

	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// editAttempts bounds how often an edit is merged again because another edit was accepted in
// between.
const editAttempts = 8

// Edit publishes a text, derived from revision base, as the next revision. If other edits were
// accepted since base, the changes of the text are merged with theirs field by field;
// *settings.ConflictError lists the fields that cannot be merged, and nothing has changed then.
// Base 0 means that there are no settings yet.
func (p *Publisher) Edit(ctx context.Context, file string, text []byte, author string, base int64) (Entry, error) {
	var err error
	for range editAttempts {
		var entry Entry
		entry, err = p.editOnce(ctx, file, text, author, base)
		if err == nil || !store.IsConflict(err) {
			return entry, err
		}
	}
	return Entry{}, err
}

func (p *Publisher) editOnce(ctx context.Context, file string, text []byte, author string, base int64) (Entry, error) {
	current, err := ReadCurrent(ctx, p.client)
	if store.IsNotFound(err) && base == 0 {
		return p.Publish(ctx, file, text, author, 0)
	}
	if err != nil {
		return Entry{}, err
	}
	// An invalid text is reported with its own line numbers, before it is merged.
	if _, err := settings.Load(file, text); err != nil {
		return Entry{}, err
	}
	if current.Entry.Revision != base {
		before, err := ReadRevision(ctx, p.client, base)
		if err != nil {
			return Entry{}, err
		}
		if text, err = settings.Merge(before.Text, text, current.Text); err != nil {
			return Entry{}, err
		}
	}
	return p.Publish(ctx, file, text, author, current.Entry.Revision)
}
