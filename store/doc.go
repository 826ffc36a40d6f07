// Package store is a thin client of the platform's object API, which follows the
// Kubernetes conventions: objects have a resource version, a conditional update
// that fails is answered with 409, and a watch from a version that is no longer
// kept with 410.
//
// A write that gets no answer may have taken effect. Such a call fails with an
// error for which IsUnanswered is true; Writer resolves it by reading the object
// and comparing the write id that every write carries.
package store
