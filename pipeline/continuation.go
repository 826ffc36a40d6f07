package pipeline

import (
	"context"
	"net/http"
	"time"

	"github.com/eiderspring/eiderspring/outcome"
	"github.com/eiderspring/eiderspring/streamversion"
)

// Continuation is a caller's request for the rest of a stream that one of its attempts began.
type Continuation struct {
	// Wanted is set if the request asks for the rest of a stream; Attempt is the ID of the attempt
	// that brought the first event, as the caller names it, or empty.
	Wanted  bool
	Attempt string
}

// StreamVersions knows the versions of the endpoints' software at which streams began.
type StreamVersions interface {
	// Began keeps where a stream began, before its first event is passed on. It may wait for a moment
	// at a version that is new.
	Began(ctx context.Context, b streamversion.Beginning)
	// Find returns where a stream began.
	Find(ctx context.Context, key streamversion.Key) (streamversion.Beginning, streamversion.State)
	// Only returns the version at which all streams of a pool began that callers may ask for; false
	// if it is not certain that there is only one.
	Only(ctx context.Context, pool string) (string, bool)
	// Recorded returns where a stream began, as the store tells; Unread if it cannot be read now.
	Recorded(ctx context.Context, key streamversion.Key) (streamversion.Beginning, streamversion.State)
}

// keepFactor is for how many time limits of its route the beginning of a stream is kept: a caller may
// make several tries, each of which may take that long.
const keepFactor = 4

// keepBeginning keeps where the stream of the request began, if its caller may ask for the rest.
func (x *Exchange) keepBeginning(versions StreamVersions) {
	if versions == nil || !x.Target.Policy.Resumable || x.continues || x.Call.AttemptID == "" || x.softwareVersion == "" {
		return
	}
	versions.Began(x.Request.Context(), streamversion.Beginning{
		Key: streamversion.KeyOf(x.Caller.Name, x.Call.AttemptID), Pool: x.Target.Pool, Version: x.softwareVersion,
		KeepMS: keepFactor * max(x.Target.Policy.Deadline, x.Call.Timeout).Milliseconds(),
	})
}

// ContinuationError reports a request for the rest of a stream whose software version is unknown, or
// belongs to another pool.
type ContinuationError struct {
	Attempt string
	State   streamversion.State
}

// Error names the attempt that began the stream and what is known of it.
func (e *ContinuationError) Error() string {
	return "continue: the software version of the stream of attempt " + e.Attempt + " is " + e.State.String()
}

// Outcome implements Failure.
func (e *ContinuationError) Outcome() outcome.Outcome { return outcome.NotRun }

// continuationRetryAfter is after which time another instance, or this one once it is in touch with
// the others again, may know the stream.
const continuationRetryAfter = 500 * time.Millisecond

// Answer implements Failure.
func (e *ContinuationError) Answer() Answer {
	return Answer{Status: http.StatusServiceUnavailable, Code: CodeNotRun, Message: e.Error(), RetryAfter: addJitter(continuationRetryAfter)}
}

// bindContinuation binds a request for the rest of a stream to the software version at which the
// stream began. An unknown version is not guessed.
func (p *Pipeline) bindContinuation(ctx context.Context, x *Exchange) error {
	if !x.Call.Continuation.Wanted || x.bound {
		return nil
	}
	version, state := p.findVersion(ctx, x)
	if state != streamversion.Known {
		return &ContinuationError{Attempt: x.Call.Continuation.Attempt, State: state}
	}
	x.bind(version)
	return nil
}

// findVersion returns the software version at which the stream began that the request continues. Where no
// instance knows, a pool that has had only one version tells, or the record in the store.
func (p *Pipeline) findVersion(ctx context.Context, x *Exchange) (string, streamversion.State) {
	versions, attempt := p.cfg.StreamVersions, x.Call.Continuation.Attempt
	if versions == nil {
		return "", streamversion.Unknown
	}
	key, pool := streamversion.KeyOf(x.Caller.Name, attempt), x.Target.Pool
	if attempt != "" {
		if b, state := versions.Find(ctx, key); state != streamversion.Unknown {
			return versionIn(pool, b, state)
		}
	}
	if only, found := versions.Only(ctx, pool); found {
		return only, streamversion.Known
	}
	if attempt == "" {
		return "", streamversion.Unknown
	}
	b, state := versions.Recorded(ctx, key)
	return versionIn(pool, b, state)
}

// versionIn returns the version of a beginning in a pool. One in another pool conflicts.
func versionIn(pool string, b streamversion.Beginning, state streamversion.State) (string, streamversion.State) {
	if state == streamversion.Known && b.Pool != pool {
		return "", streamversion.Conflicting
	}
	return b.Version, state
}
