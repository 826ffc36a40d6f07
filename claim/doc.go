// Package claim ensures that a request with an idempotency key runs at most once, across all
// instances and restarts.
//
// Keys are distributed over shards. A shard is a log of entries in the object API: a claim, its
// cancellation, its result. Only the position of an entry in the log counts, so any instance
// may write to any shard, each write conditional on the last version read; normally one
// instance does, which batches entries, and the others submit theirs to it. Only the first
// claim of a key in the log may be dispatched. A holder that has not dispatched may cancel its
// claim; only then is the key free again.
//
// Log and Decide implement the rules as pure functions, Shard is the state machine that reads
// and writes the log, Owner runs shards, and Claimer claims keys for the pipeline.
package claim
