package store

import (
	"context"
	"crypto/rand"
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Writer makes writes whose effect is known although answers may be lost.
type Writer struct {
	client Client
	// Tries bounds the attempts to learn what became of a write.
	tries uint
}

// resolveTries is how often a Writer reads to learn a write's fate.
const resolveTries = 4

// NewWriter returns a writer over a client.
func NewWriter(c Client) *Writer { return &Writer{client: c, tries: resolveTries} }

// Create creates the object. An error for which IsUnanswered is true means
// that the effect is still not known.
func (w *Writer) Create(ctx context.Context, o Object) (Object, error) {
	o = withWriteID(o)
	created, err := w.client.Create(ctx, o)
	return w.resolve(ctx, o, created, err)
}

// Update replaces the object if its version is still o's. An error for which
// IsUnanswered is true means that the effect is still not known.
func (w *Writer) Update(ctx context.Context, o Object) (Object, error) {
	o = withWriteID(o)
	updated, err := w.client.Update(ctx, o)
	return w.resolve(ctx, o, updated, err)
}

// resolve turns a lost answer into a known effect by reading the object. A
// read that shows our write id proves the write; one that shows another id
// proves nothing about ours but that it is not the newest, so the caller must
// treat it as a conflict and decide again from what it reads.
func (w *Writer) resolve(ctx context.Context, sent, got Object, err error) (Object, error) {
	if err == nil || !IsUnanswered(err) {
		return got, err
	}
	read := func() (Object, error) { return w.client.Get(ctx, sent.Kind, sent.Metadata.Name) }
	now, readErr := backoff.Retry(ctx, read, backoff.WithMaxTries(w.tries), backoff.WithBackOff(newBackOff()))
	switch {
	case readErr != nil:
		return Object{}, err
	case now.WriteID() == sent.WriteID():
		return now, nil
	case now.Metadata.ResourceVersion == sent.Metadata.ResourceVersion:
		// Nothing has replaced the version that the write was conditional on,
		// so the write may still be on its way.
		return Object{}, err
	default:
		return Object{}, &StatusError{Code: statusConflict, Kind: sent.Kind, Name: sent.Metadata.Name, Message: "another write won"}
	}
}

const statusConflict = 409

func newBackOff() backoff.BackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = 500 * time.Millisecond
	return b
}

func withWriteID(o Object) Object {
	annotations := maps.Clone(o.Metadata.Annotations)
	if annotations == nil {
		annotations = map[string]string{}
	}
	annotations[writeIDAnnotation] = rand.Text()
	o.Metadata.Annotations = annotations
	return o
}
