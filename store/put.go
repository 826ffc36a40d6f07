package store

import (
	"context"

	"github.com/eiderspring/eiderspring/commit"
)

// Put creates an object that has no resource version, or updates one that has,
// on the condition that it still has it. It does not resolve a lost answer:
// that is for those who learn by reading what the store has.
func Put(ctx context.Context, c Client, o Object) (version string, result commit.Result) {
	send := c.Update
	if o.Metadata.ResourceVersion == "" {
		send = c.Create
	}
	written, err := send(ctx, o)
	switch {
	case err == nil:
		return written.Metadata.ResourceVersion, commit.Done
	case IsUnanswered(err):
		return "", commit.Unknown
	default:
		return "", commit.Conflict
	}
}
