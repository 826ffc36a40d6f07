package revision

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/eiderspring/eiderspring/settings"
	"github.com/eiderspring/eiderspring/store"
)

// RootName is the name of the root object.
const RootName = "root"

// Entry is one accepted revision.
type Entry struct {
	Revision int64 `json:"revision"`
	// Skeleton is the hash of the first chunk, which lists all others.
	Skeleton string    `json:"skeleton"`
	Chunks   []string  `json:"chunks"`
	Author   string    `json:"author,omitempty"`
	At       time.Time `json:"at"`
}

// Root is the spec of the root object.
type Root struct {
	Current Entry `json:"current"`
	// Inline holds, by hash, the chunks that the previous revision did not have, if they are
	// small. With them the event that announces a revision contains all of it, so that an
	// outage right after it does no harm.
	Inline map[string]string `json:"inline,omitempty"`
}

// maxInlineBytes bounds Root.Inline.
const maxInlineBytes = 64 << 10

type chunkSpec struct {
	Text string `json:"text"`
}

// Accepted is an accepted revision with its text and settings tree.
type Accepted struct {
	Entry Entry
	Text  []byte
	Tree  *settings.Tree
	// Chunks holds the text of each chunk by its hash; it must not be modified.
	Chunks map[string][]byte
}

// DecodeRoot decodes a root object.
func DecodeRoot(o store.Object) (Root, error) {
	var r Root
	if err := json.Unmarshal(o.Spec, &r); err != nil {
		return r, &TextError{Err: err}
	}
	return r, nil
}

// Source returns a chunk's text by its hash.
type Source func(ctx context.Context, hash string) ([]byte, error)

// StoreSource returns a source that reads chunks from the object API.
func StoreSource(c store.Client) Source {
	return func(ctx context.Context, hash string) ([]byte, error) {
		o, err := c.Get(ctx, store.KindChunk, hash)
		if err != nil {
			return nil, err
		}
		var spec chunkSpec
		if err := json.Unmarshal(o.Spec, &spec); err != nil {
			return nil, &TextError{Err: err}
		}
		return []byte(spec.Text), nil
	}
}

// InlineSource returns a source of the chunks in the root; it gets the others from next.
func (r Root) InlineSource(next Source) Source {
	return func(ctx context.Context, hash string) ([]byte, error) {
		if text, inline := r.Inline[hash]; inline {
			return []byte(text), nil
		}
		return next(ctx, hash)
	}
}

// Fetcher reads revisions and caches the chunks of the last one. It is safe for concurrent use.
type Fetcher struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

// NewFetcher returns a fetcher with an empty cache.
func NewFetcher() *Fetcher { return &Fetcher{chunks: map[string][]byte{}} }

// Fetch returns the revision of an entry, reading only chunks that the last revision did not
// have. Each chunk is verified against its hash, so the source need not be trusted.
func (f *Fetcher) Fetch(ctx context.Context, e Entry, source Source) (*Accepted, error) {
	next := make(map[string][]byte, len(e.Chunks))
	for _, hash := range e.Chunks {
		text, err := f.chunk(ctx, hash, source)
		if err != nil {
			return nil, err
		}
		next[hash] = text
	}
	text, err := Join(next[e.Skeleton], func(hash string) ([]byte, error) {
		if t, ok := next[hash]; ok {
			return t, nil
		}
		return nil, &TextError{Err: fmt.Errorf("chunk %s is not listed", hash)}
	})
	if err != nil {
		return nil, err
	}
	tree, err := settings.Load(fmt.Sprintf("revision %d", e.Revision), text)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chunks = next
	return &Accepted{Entry: e, Text: text, Tree: tree, Chunks: next}, nil
}

func (f *Fetcher) chunk(ctx context.Context, hash string, source Source) ([]byte, error) {
	f.mu.Lock()
	text, kept := f.chunks[hash]
	f.mu.Unlock()
	if kept {
		return text, nil
	}
	text, err := source(ctx, hash)
	if err != nil {
		return nil, err
	}
	if sum := sha256.Sum256(text); hex.EncodeToString(sum[:]) != hash {
		return nil, &TextError{Err: fmt.Errorf("chunk %s does not match its hash", hash)}
	}
	return text, nil
}

// ReadCurrent returns the newest revision in the object API.
func ReadCurrent(ctx context.Context, c store.Client) (*Accepted, error) {
	root, err := ReadRoot(ctx, c)
	if err != nil {
		return nil, err
	}
	return NewFetcher().Fetch(ctx, root.Current, root.InlineSource(StoreSource(c)))
}

// ReadRoot returns the root object's spec.
func ReadRoot(ctx context.Context, c store.Client) (Root, error) {
	o, err := c.Get(ctx, store.KindSettings, RootName)
	if err != nil {
		return Root{}, err
	}
	return DecodeRoot(o)
}
