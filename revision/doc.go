// Package revision keeps the accepted settings in the object API.
//
// The settings are a JWCC text, comments included. The text is cut into
// immutable chunks named by their hash; a root object lists them with a
// revision that only grows. Settings are accepted when the root's conditional
// update has taken effect, and not before.
package revision
