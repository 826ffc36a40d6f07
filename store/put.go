package store

import (
	"context"

	"github.com/eiderspring/eiderspring/commit"
)

// Put creates the object if it has no resource version; otherwise it updates the
// object on the condition that the version is unchanged. It does not resolve lost
// answers, for which it returns commit.Unknown: callers find out what is stored by
// reading it.
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
