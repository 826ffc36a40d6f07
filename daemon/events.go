package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
)

// event is an input of the task that builds views.
type event interface{ isEvent() }

// settingsAccepted carries a newer revision of the settings.
type settingsAccepted struct {
	accepted *revision.Accepted
	// source is what delivered the revision, and receivedAt when; both are zero where
	// they are not recorded.
	source     settingsSource
	receivedAt time.Time
}

// settingsSource is the way by which settings reach an instance.
type settingsSource string

// Sources of settings, as logged.
const (
	sourceWatch   settingsSource = "watch"
	sourceList    settingsSource = "list"
	sourceRequest settingsSource = "request"
)

// membersListed carries a newer version of the platform's member list.
type membersListed struct{ listing membership.Listing }

// loadReported carries an endpoint's report of its load. ownInFlight is the number of this
// instance's requests that were in flight there when the report was requested.
type loadReported struct {
	endpoint    string
	ownInFlight int64
	report      engine.Report
}

// instanceLeaving reports that another instance has begun a planned stop.
type instanceLeaving struct{ name string }

// placementsReceived carries placements announced by the instance that places units.
type placementsReceived struct{ placements []peer.Placement }

// endpointsWithdrawn reports, from another instance, endpoints that accept no more requests.
type endpointsWithdrawn struct{ endpoints []endpointIncarnation }

// endpointSaidLeaving reports that an endpoint has said with an answer that it leaves.
type endpointSaidLeaving struct{ name, incarnation string }

// domainsEvacuated carries the failure domains that the platform has evacuated.
type domainsEvacuated struct{ domains []string }

func (domainsEvacuated) isEvent()    {}
func (endpointsWithdrawn) isEvent()  {}
func (endpointSaidLeaving) isEvent() {}
func (placementsReceived) isEvent()  {}
func (instanceLeaving) isEvent()     {}
func (settingsAccepted) isEvent()    {}
func (membersListed) isEvent()       {}
func (loadReported) isEvent()        {}
