// Package settings holds the tree of settings that operators edit: its shape,
// how a child inherits from its parent, and the checks that a tree must pass
// before it is accepted.
//
// The tree is deployment > pool > model > adapter or version, and beside it
// deployment > service. Each node carries a Policy in which every field is
// optional; the effective value of a field is that of the nearest ancestor
// that sets it. Everything here is a pure function of its input.
package settings
