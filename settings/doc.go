// Package settings defines the settings tree that operators edit: its types, the
// inheritance of values from parent to child, and the validation of a tree before
// it is accepted.
//
// The hierarchy is deployment > pool > model > adapter or version, and separately
// deployment > service. Each node has a Policy in which every field is optional;
// the effective value of a field is that of the node itself or of its nearest
// ancestor that sets it. All functions are pure.
package settings
