package pipeline

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/routing"
)

// A broken attempt must count against its request only if the endpoint has terminated, and
// not if the connection broke for another reason.
func TestOnlyTerminatedEndpointsCountAgainstARequest(t *testing.T) {
	for name, tc := range map[string]struct {
		open  bool
		err   error
		alter func(*routing.Endpoint)
		// cutOff is set if this instance reaches no endpoint at all.
		cutOff bool
		want   int
	}{
		"terminated":                    {want: 1},
		"alive":                         {open: true},
		"unknown, as it is unreachable": {err: errors.New("timeout")},
		"replaced at its address":       {open: true, alter: func(e *routing.Endpoint) { e.SetReplaced() }, want: 1},
		"ended by a planned stop":       {alter: func(e *routing.Endpoint) { e.SetLeaving(true) }},
		"alive, and leaving since then": {open: true},
		"refused, as all endpoints are": {cutOff: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				manager := quarantine.NewManager(quarantine.Config{Limits: quarantine.DefaultLimits, Now: time.Now, Log: logr.Discard()})
				probes := 0
				detector := &terminationDetector{
					quarantine: manager, log: logr.Discard(), pending: map[*routing.Endpoint][]brokenAttempt{},
					isListening: func(context.Context, string) (bool, error) { probes++; return tc.open, tc.err },
					reachable:   func(context.Context) bool { return !tc.cutOff },
				}
				e := &routing.Endpoint{Name: "e", StartedAtMS: 7}
				if tc.alter != nil {
					tc.alter(e)
				}
				detector.add(e, brokenAttempt{request: quarantine.Request{Fingerprint: quarantine.Fingerprint{1}}})
				detector.add(e, brokenAttempt{request: quarantine.Request{Fingerprint: quarantine.Fingerprint{1}}})
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, tc.want, manager.Stats().Known)
				require.LessOrEqual(t, probes, 1, "attempts that broke together share one probe")
			})
		})
	}
}

func TestConnectionLost(t *testing.T) {
	unknown := func(err error) error {
		return &DispatchError{Err: &engine.UnknownError{Endpoint: "e", Err: err}}
	}
	for name, tc := range map[string]struct {
		err  error
		want bool
	}{
		"after the header":     {&RelayError{Err: errTruncated}, true},
		"before the header":    {unknown(errors.New("EOF")), true},
		"the caller left":      {&RelayError{CallerGone: true, Err: errTruncated}, false},
		"out of time":          {&RelayError{TimedOut: true, Err: errTruncated}, false},
		"not started":          {&DispatchError{NotStarted: true, Err: &engine.NotStartedError{Endpoint: "e"}}, false},
		"its own failure":      {&DispatchError{Err: &FailedAnswerError{Status: 500}}, false},
		"another's answer":     {unknown(&engine.ForeignAnswerError{}), false},
		"refused by admission": {&AdmitError{Err: errors.New("full")}, false},
	} {
		require.Equal(t, tc.want, connectionLost(tc.err), name)
	}
}
