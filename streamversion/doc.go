// Package streamversion keeps the version of the endpoints' software at which streams began, so that
// each goes on at that version only.
//
// The version belongs to an endpoint's software, not to its weights. An instance that passes on the
// first event of a stream that may be resumed puts a Beginning into its own Table and sends it to the
// instances that Owners names. An instance that is asked for the rest of a stream runs a Search over
// its own table and the owners'. What a search does not find is unknown: the caller is refused, as
// any endpoint would be a guess.
//
// Contract: the parts are pure; the caller provides the time, sends messages, and delivers each one
// at most late or not at all. A Beginning never changes: two that differ for one key make the key
// conflicting for as long as either is kept.
package streamversion
