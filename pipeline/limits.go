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

// limits takes the limits that endpoints name with their answers.
type limits struct {
	client  *engine.Client
	permits *permit.Limiter
	catalog func() *settings.Catalog
	log     logr.Logger
	now     func() time.Time
}

// cold takes how much longer the endpoint stays cold, if it tells.
func (f limits) cold(x *Exchange, e *routing.Endpoint, head http.Header) {
	remaining := f.client.ColdRemaining(head)
	if remaining == 0 {
		return
	}
	pool := f.catalog().Tree.Pools[x.Target.Pool]
	if pool != nil && f.permits.RecordCold(f.now(), e.ColdPermitKey(), pool.ColdPerSecond, remaining) {
		f.log.Info("endpoint cold", "endpoint", e.Name, "remaining_ms", remaining.Milliseconds(), "by", "its answer")
	}
}

// answered takes the head of an answer that is passed on.
func (f limits) answered(d routing.Decision, resp *http.Response) {
	if f.named(d.Endpoint, resp.Header) || resp.StatusCode >= http.StatusMultipleChoices {
		return
	}
	if f.permits.RecordNoLimit(f.now(), d.Endpoint.PermitKey(), d.At) {
		f.log.Info("endpoint limit ended", "endpoint", d.Endpoint.Name, "by", "its answer")
	}
}

// refused takes the head of an endpoint's refusal. One without a limit does not end it: an
// endpoint may refuse before it looks at what it takes.
func (f limits) refused(e *routing.Endpoint, head http.Header) { f.named(e, head) }

// named reports whether the head says anything of a limit.
func (f limits) named(e *routing.Endpoint, head http.Header) bool {
	told, err := f.client.ReportedLimit(head)
	if err != nil {
		if e.MarkLimitInvalid() {
			f.log.Error(err, "endpoint limit", "endpoint", e.Name)
		}
		return true
	}
	if !told.Present {
		return false
	}
	if f.permits.RecordLimit(f.now(), e.PermitKey(), told.PerSecond) {
		f.log.Info("endpoint limit", "endpoint", e.Name, "per_second", told.PerSecond, "by", "its answer")
	}
	return true
}
