// Package daemon assembles the duties of one instance: the callers' and the
// operators' listeners, the watch of settings, the platform's list, the load
// reports, and the view that routing works on.
//
// Each duty is a goroutine of its own. What it learns goes through a bounded
// ring to the view duty, which alone builds views.
package daemon
