// Package revision stores the accepted settings in the object API.
//
// The settings are a JWCC text, including comments. The text is split into immutable chunks
// named by their hash; a root object lists them with a revision number that only grows.
// Settings are accepted once the conditional update of the root has taken effect, and not
// before.
package revision
