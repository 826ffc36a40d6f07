// Package daemon assembles one instance: the listeners for callers and operators,
// the watch on settings, the reads of the platform's member list, the polls of
// endpoint load, and the view that requests are routed by.
//
// Each background task runs in a goroutine of its own and sends what it learns
// through a bounded ring to one consumer, which alone builds views.
package daemon
