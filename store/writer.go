package store

import (
	"context"
	"crypto/rand"
	"maps"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Writer makes writes and resolves lost answers, so that the effect of each write is known.
type Writer struct {
	client Client
	// maxReads is the maximum number of reads to determine the effect of a write.
	maxReads uint
}

// maxResolveReads is the default of Writer.maxReads.
const maxResolveReads = 4

// NewWriter returns a Writer that uses the given client.
func NewWriter(c Client) *Writer { return &Writer{client: c, maxReads: maxResolveReads} }

// Create creates the object. An error for which IsUnanswered is true means that the effect
// is still unknown.
func (w *Writer) Create(ctx context.Context, o Object) (Object, error) {
	o = withWriteID(o)
	created, err := w.client.Create(ctx, o)
	return w.resolve(ctx, o, created, err)
}

// Update replaces the object if its version still equals that of o. An error for which
// IsUnanswered is true means that the effect is still unknown.
func (w *Writer) Update(ctx context.Context, o Object) (Object, error) {
	o = withWriteID(o)
	updated, err := w.client.Update(ctx, o)
	return w.resolve(ctx, o, updated, err)
}

// resolve determines the effect of a write with a lost answer by reading the object. If
// the object has the id of this write, the write has taken effect. Another id proves only
// that this write is not the newest, so the caller must treat it as a conflict and decide
// again from what it reads.
func (w *Writer) resolve(ctx context.Context, sent, got Object, err error) (Object, error) {
	if err == nil || !IsUnanswered(err) {
		return got, err
	}
	read := func() (Object, error) { return w.client.Get(ctx, sent.Kind, sent.Metadata.Name) }
	current, readErr := backoff.Retry(ctx, read, backoff.WithMaxTries(w.maxReads), backoff.WithBackOff(newBackOff()))
	switch {
	case readErr != nil:
		return Object{}, err
	case current.WriteID() == sent.WriteID():
		return current, nil
	case current.Metadata.ResourceVersion == sent.Metadata.ResourceVersion:
		// The version that the write was conditional on has not been replaced, so the
		// write may still be in flight.
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
