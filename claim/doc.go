// Package claim makes a request that may not be repeated run at most once for
// its idempotency key, across all instances and through restarts.
//
// Keys are spread over shards. A shard is a log of entries in the object API:
// a claim, its cancellation, its result. An entry counts by its place in the
// log alone, so any instance may write to any shard, each write conditional on
// the last one seen; normally one does, which writes many entries at once, and
// the others ask it. The first claim of a key in the log is the only one that
// may be dispatched. A holder that has not dispatched may cancel its claim;
// only then is the key free again.
//
// Log and Decide are the rules as pure functions, Shard is the state machine
// that writes and reads the log, Owner runs shards, and Keeper claims keys for
// the pipeline.
package claim
