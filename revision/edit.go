package revision

import (
	"context"

	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// editTries bounds how often an edit is merged anew because another was
// accepted in between.
const editTries = 8

// Edit makes a text, derived from revision base, the next revision. If other
// edits were accepted since base, the text's changes are merged onto theirs
// field by field; *settings.ConflictError names the fields that cannot be, and
// nothing has changed then. Base 0 means the first settings of all.
func (p *Publisher) Edit(ctx context.Context, file string, text []byte, author string, base int64) (Entry, error) {
	var err error
	for range editTries {
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
	// A faulty text is reported by its own lines, before it is merged.
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
