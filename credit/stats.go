package credit

import (
	"strconv"
	"time"
)

// EndpointStats is the state of an endpoint's places at one instance, for operators.
type EndpointStats struct {
	Contended bool `json:"contended"`
	// Issuer is the instance that lends the places; empty if none replies.
	Issuer string `json:"issuer"`
	// Running, Unused and Waiting are this instance's requests, unused credits and waiting
	// requests.
	Running int64 `json:"running"`
	Unused  int64 `json:"unused"`
	Waiting int64 `json:"waiting"`
	// Lent are the places lent by this instance, by borrower, and WaitingByAccount the
	// requests that wait here for the fleet, by account hash; empty if it is not the issuer.
	Lent             map[string]int64 `json:"lent,omitempty"`
	WaitingByAccount map[string]int64 `json:"waiting_by_account,omitempty"`
	// Lendable is how many places the issuer lends now, also those beyond the endpoint's own,
	// FreedPerSecond how many become free while all are lent, and RoundTripMS the mean time from an ask
	// to its answer; none if this instance is not the issuer.
	Lendable       int64   `json:"lendable,omitempty"`
	FreedPerSecond float64 `json:"freed_per_second,omitempty"`
	RoundTripMS    int64   `json:"round_trip_ms,omitempty"`
}

// Stats counts the decisions of this instance since its process started.
type Stats struct {
	Endpoints map[string]EndpointStats `json:"endpoints"`
	// Granted counts credits granted by this instance, Refused waiting requests refused by it,
	// Expired credits that were not used in time, Fallbacks requests sent without a credit as no
	// issuer replied, and Invalid messages that were dropped.
	Granted   int64 `json:"granted"`
	Refused   int64 `json:"refused"`
	Expired   int64 `json:"expired"`
	Fallbacks int64 `json:"fallbacks"`
	Invalid   int64 `json:"invalid"`
}

// Stats returns the state for operators, with up to maxListed endpoints.
func (l *Lender) Stats(now time.Time, maxListed int) Stats {
	s := Stats{Endpoints: map[string]EndpointStats{}}
	if l == nil {
		return s
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s.Granted, s.Refused, s.Expired = l.counts.granted, l.counts.refused, l.counts.expired
	s.Fallbacks, s.Invalid = l.counts.fallbacks, l.counts.invalid
	for _, b := range l.borrowedList {
		if b.contended(now) && len(s.Endpoints) < maxListed {
			s.Endpoints[b.key.Name] = l.borrowedStats(now, b)
		}
	}
	for _, d := range l.lentList {
		listed, known := s.Endpoints[d.key.Name]
		if known || len(s.Endpoints) < maxListed {
			listed.Issuer = l.config.Self
			d.addStats(now, &listed)
			s.Endpoints[d.key.Name] = listed
		}
	}
	return s
}

func (l *Lender) borrowedStats(now time.Time, b *borrowing) EndpointStats {
	issuer, _ := l.issuerOf(now, b.key)
	return EndpointStats{Contended: true, Issuer: issuer, Running: b.running, Unused: b.available(now), Waiting: int64(len(b.wants))}
}

// addStats adds what the issuer knows of an endpoint.
func (d *lending) addStats(now time.Time, s *EndpointStats) {
	s.Lent, s.WaitingByAccount = map[string]int64{}, map[string]int64{}
	for _, b := range d.list {
		s.Lent[b.instance] += b.reserved()
		for _, w := range b.ask.Wants {
			s.WaitingByAccount[strconv.FormatUint(uint64(w.Account), 16)]++
		}
	}
	s.Lendable, s.FreedPerSecond, s.RoundTripMS = d.places.lendable(now), d.places.freedPerSecond, d.places.roundTrip.Milliseconds()
}
