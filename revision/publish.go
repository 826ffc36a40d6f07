package revision

import (
	"context"
	"slices"
	"time"

	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// Publisher publishes new settings.
type Publisher struct {
	client store.Client
	writer *store.Writer
	now    func() time.Time
}

// NewPublisher returns a publisher over a client.
func NewPublisher(c store.Client, now func() time.Time) *Publisher {
	return &Publisher{client: c, writer: store.NewWriter(c), now: now}
}

// Publish validates a text and makes it the next revision after base; 0 means that there is
// none yet. If another revision was accepted first, store.IsConflict is true for the error, and
// nothing has changed.
func (p *Publisher) Publish(ctx context.Context, file string, text []byte, author string, base int64) (Entry, error) {
	if _, err := settings.Load(file, text); err != nil {
		return Entry{}, err
	}
	chunks, err := Split(text)
	if err != nil {
		return Entry{}, err
	}
	if err := p.writeChunks(ctx, chunks); err != nil {
		return Entry{}, err
	}
	entry := Entry{Revision: base + 1, Skeleton: chunks[0].Hash, Author: author, At: p.now()}
	for _, c := range chunks {
		entry.Chunks = append(entry.Chunks, c.Hash)
	}
	return entry, p.swapRoot(ctx, entry, chunks, base)
}

// writeChunks stores the chunks that do not exist yet. A chunk that exists has the same
// content, as its name is its hash.
func (p *Publisher) writeChunks(ctx context.Context, chunks []Chunk) error {
	for _, c := range chunks {
		o, err := store.NewObject(store.KindChunk, c.Hash, chunkSpec{Text: string(c.Text)})
		if err != nil {
			return err
		}
		if _, err := p.writer.Create(ctx, o); err != nil && !store.IsConflict(err) {
			return err
		}
	}
	return nil
}

func (p *Publisher) swapRoot(ctx context.Context, entry Entry, chunks []Chunk, base int64) error {
	if base == 0 {
		o, err := store.NewObject(store.KindSettings, RootName, Root{Current: entry})
		if err != nil {
			return err
		}
		_, err = p.writer.Create(ctx, o)
		return err
	}
	o, err := p.client.Get(ctx, store.KindSettings, RootName)
	if err != nil {
		return err
	}
	root, err := DecodeRoot(o)
	if err != nil {
		return err
	}
	if root.Current.Revision != base {
		return &store.StatusError{Code: 409, Kind: store.KindSettings, Name: RootName, Message: "another revision was accepted first"}
	}
	// The entry to be replaced is added to the history first, so that a crash in between cannot
	// lose it.
	if err := p.addToHistory(ctx, root.Current); err != nil {
		return err
	}
	next, err := o.WithSpec(Root{Current: entry, Inline: inlineChunks(root.Current, chunks)})
	if err != nil {
		return err
	}
	_, err = p.writer.Update(ctx, next)
	return err
}

// inlineChunks returns the chunks that the previous revision does not have, or nil if they are
// too large.
func inlineChunks(before Entry, chunks []Chunk) map[string]string {
	inline := map[string]string{}
	size := 0
	for _, c := range chunks {
		if slices.Contains(before.Chunks, c.Hash) {
			continue
		}
		inline[c.Hash] = string(c.Text)
		size += len(c.Text)
	}
	if size > maxInlineBytes {
		return nil
	}
	return inline
}
