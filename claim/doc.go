// Package claim makes a request that may not be repeated run at most once for
// its idempotency key, across all instances and through restarts.
//
// The first instance to see a key claims it by creating an object in the
// platform's object API. Only the holder of a claim may dispatch the request.
// The outcome is recorded in the claim; a later request with the key gets the
// recorded outcome, waits for it, or is told that it is unknown. A holder that
// has not dispatched may cancel its claim; only then is the key free again.
//
// Decide is the rule as a pure function; Keeper carries it out.
package claim
