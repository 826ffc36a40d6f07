// Package jsonc decodes JSON with comments strictly and reports every fault
// of a document at once, each with its line, path and reason.
//
// Paths are JSON pointers (RFC 6901). Comments and trailing commas follow the
// JWCC form that github.com/tailscale/hujson reads.
package jsonc
