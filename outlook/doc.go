// Package outlook forecasts when a new request for a unit can start, so that a request that
// cannot start in its time is refused at once instead of at the end of its time.
//
// One instance, the lease holder that places units, knows what it takes: which loads are under
// way and how long they take, how many requests wait for each unit at all instances, and how
// many of them start in a second. Its Forecaster turns this into Entries, only for units for
// which a new request could not start at once. All instances receive them and keep them in a
// Board, which refused callers' returns are also booked from.
//
// The instances report what the forecast needs: Starts, for units that are contended, and the
// Promises that they have made to refused callers. Starts are cumulative, so that a lost
// message delays them only.
//
// A forecast for a unit without a replica is a lower bound: no endpoint can serve it sooner. One
// for a unit whose replicas are full is what waits, divided by what starts in a second, and less what
// that may differ by as places become free at random; without
// enough starts to tell a rate there is none. Entries that are older than maxAge count for
// nothing, and an instance without any knows nothing and lets requests wait.
//
// Forecaster and Board are state machines without goroutine, clock, random source or I/O;
// package daemon runs them.
package outlook
