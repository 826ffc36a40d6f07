// Package load sends requests to a running system as callers do, with open-loop
// arrivals, and measures what they see.
//
// Latency counts from when a request was due, not from when it could be sent,
// so that a slow system does not hide its slowness by holding the sender up.
package load
