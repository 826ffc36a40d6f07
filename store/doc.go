// Package store is a thin client of the platform's object API, which follows
// the Kubernetes conventions: objects with a resource version, conditional
// updates that answer 409, and watches that answer 410 when too old.
//
// A call that gets no answer may have taken effect. Such a call fails with an
// error for which IsUnanswered is true; Writer resolves it by reading the
// object again and looking for the write id that every write carries.
package store
