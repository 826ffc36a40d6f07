// Package standin holds small stand-ins for what surrounds the system: the
// platform's object API, its list of members, its weight store and balancer,
// model engines and plain services.
//
// They are also the judges of a run: they count memory over capacity, runs
// per idempotency key, and work that reached a leaving endpoint. So they
// share no code with what they judge, codecs aside.
package standin
