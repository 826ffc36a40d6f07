package daemon

import (
	"expvar"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/routing"
)

// statements keeps what endpoints say of themselves with their answers, in the endpoints of the
// routing view. Each path to an endpoint goes by it: routing when it chooses, and the clients when
// they send. It implements engine.Statements.
type statements struct {
	router *routing.Router
	// onLeaving is called once for each incarnation of an endpoint that says that it leaves.
	onLeaving func(e *routing.Endpoint)
	vars      *expvar.Map
	log       logr.Logger
	now       func() time.Time
}

// endpoint returns the endpoint that an attempt is for; nil if it is not listed any more, or if
// another incarnation is.
func (s *statements) endpoint(a engine.Attempt) *routing.Endpoint {
	e := s.router.View().ByName[a.Endpoint]
	if e == nil || !a.IsCall() && a.Incarnation != e.Incarnation {
		return nil
	}
	return e
}

// Record implements engine.Statements.
func (s *statements) Record(a engine.Attempt, said engine.Statement) {
	e := s.endpoint(a)
	if e == nil {
		return
	}
	if said.Leaving && e.SetSaidLeaving() {
		s.vars.Add("endpoints_said_leaving", 1)
		s.log.Info("endpoint leaves", "endpoint", e.Name, "by", "its answer")
		s.onLeaving(e)
	}
	if said.Rest > 0 {
		e.SetRest(s.now(), said.Rest)
		s.vars.Add("endpoint_rests", 1)
		s.log.Info("endpoint rests", "endpoint", e.Name, "rest_ms", said.Rest.Milliseconds())
	}
	if e.SetBrittle(said.Brittle, said.RejectionsPerSecond) {
		s.log.Info("endpoint brittle", "endpoint", e.Name, "brittle", said.Brittle, "rejections_per_second", said.RejectionsPerSecond)
	}
}

// Check implements engine.Statements. An endpoint that leaves still takes calls.
func (s *statements) Check(a engine.Attempt) error {
	e := s.endpoint(a)
	switch {
	case e == nil:
		return nil
	case e.Leaving() && !a.IsCall():
		s.vars.Add("attempts_declined", 1)
		return engine.ErrLeaving
	case e.Resting(s.now()):
		s.vars.Add("attempts_declined", 1)
		return engine.ErrResting
	}
	return nil
}
