package pipeline

import (
	"context"

	"github.com/go-logr/logr"
)

// route logs the decision by which the attempt's endpoint was chosen. The choice itself is
// made in the admission gate, so that a slot is never assigned twice.
type route struct {
	log logr.Logger
	// endpointsAgeMS is Config.EndpointsAgeMS.
	endpointsAgeMS func() int64
}

// Process implements Filter.
func (f route) Process(_ context.Context, x *Exchange) error {
	a := x.attempt()
	d := a.Decision
	f.log.Info("route", "request", x.ID, "attempt", a.ID, "try", len(x.Attempts), "name", x.Call.Name,
		"unit", x.Target.Unit, "endpoint", d.Endpoint.Name, "policy", d.Policy, "score", d.Score,
		"expected_ms", d.ExpectedFirstToken.Milliseconds(), "gap_ms", d.Endpoint.EventGap(d.At).Milliseconds(), "own", d.Endpoint.OwnInFlight(),
		"others", d.Endpoint.PeerLoad().Running, "others_age_ms", d.Endpoint.PeerLoadAge(d.At).Milliseconds(),
		"estimate", d.Estimate, "eligible", d.Eligible, "candidates", d.Candidates, "resumes_after", x.offset, "software_version", d.Endpoint.SoftwareVersion, "lent", d.Lent,
		"endpoints_age_ms", f.endpointsAgeMS())
	return nil
}
