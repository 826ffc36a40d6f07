package daemon

import (
	"time"

	"github.com/eiderspring/eiderspring/engine"
	"github.com/eiderspring/eiderspring/membership"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/revision"
)

// event is an input of the view duty.
type event interface{ isEvent() }

// settingsAccepted is a newer revision of the settings.
type settingsAccepted struct {
	accepted *revision.Accepted
	// by is what brought it, and at when that was; zero where nobody notes it.
	source     settingsSource
	receivedAt time.Time
}

// settingsSource is what brings settings.
type settingsSource string

// Sources of settings.
const (
	sourceWatch   settingsSource = "watch"
	sourceList    settingsSource = "list"
	sourceRequest settingsSource = "request"
)

// membersListed is a newer answer of the platform's list.
type membersListed struct{ listing membership.Listing }

// loadReported is an endpoint's report of its load.
type loadReported struct {
	endpoint    string
	ownInFlight int64
	report      engine.Report
}

// instanceLeaving is an instance's word that it makes a planned stop.
type instanceLeaving struct{ name string }

// placementsTold is the word of the instance that places units.
type placementsReceived struct{ placements []peer.Placement }

// endpointsWithdrawn is an instance's word that endpoints take no more work.
type endpointsWithdrawn struct{ endpoints []endpointStart }

// domainsEvacuated is the failure domains that the platform has evacuated.
type domainsEvacuated struct{ domains []string }

func (domainsEvacuated) isEvent()   {}
func (endpointsWithdrawn) isEvent() {}
func (placementsReceived) isEvent() {}
func (instanceLeaving) isEvent()    {}
func (settingsAccepted) isEvent()   {}
func (membersListed) isEvent()      {}
func (loadReported) isEvent()       {}
