// Package standin provides small stand-ins for the environment of the system: the
// platform's object API, its list of members, its weight store and load balancer,
// model engines and plain services.
//
// The stand-ins also collect the counts by which a run is checked: loads beyond the
// memory of an engine, runs per idempotency key, and work that starts on an endpoint
// too long after it began to leave. For this reason they share no code with the
// system under test, codecs aside.
package standin
