package pipeline

import (
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/settings"
)

// limitRecorder records the rate limits that endpoints announce with their answers.
type limitRecorder struct {
	client  *engine.Client
	permits *permit.Limiter
	catalog func() *settings.Catalog
	log     logr.Logger
	now     func() time.Time
}

// recordCold records how much longer the endpoint stays cold, if its answer says so.
func (f limitRecorder) recordCold(x *Exchange, e *routing.Endpoint, head http.Header) {
	remaining := f.client.ColdRemaining(head)
	if remaining == 0 {
		return
	}
	pool := f.catalog().Tree.Pools[x.Target.Pool]
	if pool != nil && f.permits.RecordCold(f.now(), e.ColdPermitKey(), pool.ColdPerSecond, remaining) {
		f.log.Info("endpoint cold", "endpoint", e.Name, "remaining_ms", remaining.Milliseconds(), "by", "its answer")
	}
}

// recordAnswer records the limit in the header of an answer that is passed on.
func (f limitRecorder) recordAnswer(d routing.Decision, resp *http.Response) {
	if f.recordLimit(d.Endpoint, resp.Header) || resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	if f.permits.RecordNoLimit(f.now(), d.Endpoint.PermitKey(), d.At) {
		f.log.Info("endpoint limit ended", "endpoint", d.Endpoint.Name, "by", "its answer")
	}
}

// recordRefusal records the limit in the header of an endpoint's refusal. A refusal
// without a limit does not end it: an endpoint may refuse before it evaluates its limit.
func (f limitRecorder) recordRefusal(e *routing.Endpoint, head http.Header) { f.recordLimit(e, head) }

// recordLimit records the limit in a header and reports whether the header contains one,
// valid or not.
func (f limitRecorder) recordLimit(e *routing.Endpoint, head http.Header) bool {
	limit, err := f.client.ReportedLimit(head)
	if err != nil {
		if e.MarkLimitInvalid() {
			f.log.Error(err, "endpoint limit", "endpoint", e.Name)
		}
		return true
	}
	if !limit.Present {
		return false
	}
	if f.permits.RecordLimit(f.now(), e.PermitKey(), limit.PerSecond) {
		f.log.Info("endpoint limit", "endpoint", e.Name, "per_second", limit.PerSecond, "by", "its answer")
	}
	return true
}
