// Package jsonc is a strict decoder for JSON with comments. It reports all faults
// of a document at once, each with its line, path and reason.
//
// Paths are JSON pointers (RFC 6901). Comments and trailing commas are allowed as
// in JWCC, the format of github.com/tailscale/hujson.
package jsonc
