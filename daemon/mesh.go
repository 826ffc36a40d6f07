package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/broadcast"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
)

// mesh exchanges load, demand and notices with the other instances, as datagrams.
type mesh struct {
	instance, process, address string
	// self is this instance's own entry.
	self presence
	// regions maps each failure domain to its region.
	regions map[string]string
	router  *routing.Router
	gates   *pipeline.Gates
	demand  *pipeline.Demand
	// outlooks receives and makes the forecasts of when requests can start; nil if they are off.
	outlooks *outlooks
	// quarantine receives the reports of other instances on requests that end endpoints.
	quarantine *quarantine.Manager
	// keyAuthority replies to confirmation requests of other instances for the keys in their
	// settings, and receives the replies to its own.
	keyAuthority *keyAuthority
	// eras follows the store's eras, which another instance may have observed first; nil if no
	// era is reported.
	eras *store.Eras
	// allowances receives the usage by accounts that other instances report.
	allowances *allowances
	// evacuations receives the set of evacuated failure domains; nil if the platform evacuates
	// none.
	evacuations *evacuations
	// permits receives permit requests of other instances, and the limits that endpoints have
	// reported.
	permits *permits
	// lending receives the asks for places of contended endpoints, and grants of them; nil if
	// no places are lent.
	lending *lending
	// pools decides, or receives, of which pools places are lent; nil if none are.
	pools *poolModes
	// conditions receives what other instances have seen of endpoints.
	conditions *conditions
	// streams receives where streams began; nil if nothing is kept of that.
	streams *streamVersions
	log     logr.Logger
	now     func() time.Time

	// These functions return state of this instance: whether it is making a planned stop, the
	// revision of the settings in force, and whether it holds the lease. The lease holder
	// places units and is the coordinator, which aggregates load and announces totals.
	leaving  func() bool
	revision func() int64
	isHolder func() bool
	// placesByPlaces reports whether placement needs to know how many requests are at endpoints
	// by unit; nil for no.
	placesByPlaces func() bool
	// storeCurrent reports whether the store has answered this instance recently enough to
	// attest that what it knows is current.
	storeCurrent func() bool

	// onPlacements receives the placements of the instance that places units.
	onPlacements func([]peer.Placement)
	// onDemand receives the demand of all instances together.
	onDemand func(map[string]peer.Demand)
	// onSuspects receives endpoints at which requests of some instance have failed.
	onSuspects func(endpoints []string)
	// onReplaced receives endpoints at whose addresses other incarnations have answered.
	onReplaced func(endpoints []endpointIncarnation)
	// onPartition is called with whether this instance has lost contact with all others.
	onPartition func(partitioned bool)
	// onSaidLeaving receives endpoints that have said to another instance that they leave.
	onSaidLeaving func(endpoints []endpointIncarnation)
	// onEndpointsLeaving receives endpoints that another instance reports as accepting no more
	// work.
	onEndpointsLeaving func(endpoints []endpointIncarnation)
	// linkBytesPerSecond is the bandwidth of the instance's link.
	linkBytesPerSecond float64
	// onInstanceCount receives the number of listed instances.
	onInstanceCount func(n int)
	// newerSettings is signalled when another instance has newer settings in force.
	newerSettings chan struct{}

	// endpointsDigest is the digest of the endpoints that this instance lists, newestRevision
	// the newest revision of the settings that any instance has reported.
	endpointsDigest atomic.Uint64
	newestRevision  atomic.Int64
	// newestRevisionAt is when newestRevision was first reported; nil if never.
	newestRevisionAt atomic.Pointer[time.Time]

	inputs *ring.Ring[receivedPacket]
	// urgent holds at most one request to send without waiting for the next tick.
	urgent chan struct{}
	totals totals
	// fleetView, lastContactAt, demandReportedAt and routingUpdatedAt belong to the goroutine
	// of run.
	fleetView *peer.FleetView
	// outgoingTotals and lastAnnouncementAt belong to the goroutine of tick, as does
	// conditionBudget, which limits what is announced of endpoints' conditions.
	outgoingTotals  broadcast.Totals
	conditionBudget broadcast.Budget
	// lastSummary is the summary sent last, at lastSummaryAt to lastSummaryTo; they belong to
	// tick too.
	lastSummary   peer.Packet
	lastSummaryAt time.Time
	lastSummaryTo []string
	// lastContactAt is when a packet of another instance was last received.
	lastContactAt time.Time
	// lastContact is lastContactAt for other goroutines; nil if never.
	lastContact        atomic.Pointer[time.Time]
	lastAnnouncementAt time.Time
	demandReportedAt   time.Time
	routingUpdatedAt   time.Time
	// wasAttested is whether an attestation of the lease holder was valid at the last check.
	wasAttested bool

	// sending is held while a packet is sent, so that packets leave one after the other.
	sending sync.Mutex
	// mu guards the fields below.
	mu sync.Mutex
	// key, sealer and datagrams are nil until the key is known; opener is sealer for the
	// receiving event loop.
	key       []byte
	sealer    *peer.Sealer
	opener    atomic.Pointer[peer.Sealer]
	datagrams peer.Datagrams
	// listed holds the entries of instances in the store, reportedAddresses where each
	// instance that was recently in contact says that it receives packets.
	listed            map[string]presence
	reportedAddresses map[string]string
	// unlisted holds the instances of reportedAddresses that are not in listed, sorted.
	unlisted []string
	// listedVersion grows with each change of listed or unlisted.
	listedVersion int64
	// joinedAt is when an instance was last added to listed.
	joinedAt time.Time
	// liveInstances is the number of instances recently in contact, fleetTotals their total
	// load by endpoint.
	liveInstances int
	fleetTotals   []peer.EndpointLoad
	// unsentPlacements holds the placements that wait for bandwidth; changeBudget and
	// repeatBudget limit what is sent of them.
	unsentPlacements           broadcast.Residency
	changeBudget, repeatBudget broadcast.Budget
	// recipients caches where the other instances receive packets; nil if it is to be
	// computed.
	recipients []string
	// withdrawn holds when endpoints began to leave, by this instance's list.
	withdrawn map[string]withdrawal
	// saidLeaving holds when endpoints said to this instance that they leave.
	saidLeaving map[string]withdrawal
	seq         uint64
}

const (
	// meshInputCapacity bounds the queued packets; the oldest are dropped, as newer ones
	// supersede them.
	meshInputCapacity = 256
	// meshTick is the time between two packets to each instance.
	meshTick = 100 * time.Millisecond
	// maxLoads and maxDemands bound what one packet carries, so that it fits a datagram:
	// entries take about 20 bytes each. An instance has streams at 15 to 25 endpoints where 63
	// instances share 90.
	maxLoads   = 24
	maxDemands = 14
	// maxDemandsRunning is maxDemands in a packet that also tells how many requests of each unit
	// are at endpoints.
	maxDemandsRunning = 13
	// suspectDuration is for how long a failed request makes its endpoint suspect, maxSuspects
	// the most suspects in one packet.
	suspectDuration = 250 * time.Millisecond
	maxSuspects     = 8
	// maxReplaced bounds the replaced endpoints in one packet.
	maxReplaced = 6
	// maxSaidLeaving bounds the endpoints in a summary that have said that they leave.
	maxSaidLeaving = 4
	// maxTotals bounds the totals in a packet that also carries other fields.
	maxTotals = 24
	// smallFleetSize is the largest number of instances at which every instance sends to every
	// other.
	smallFleetSize = 16
	// maxForwardedReturns bounds the returns in one announcement of the coordinator.
	maxForwardedReturns = 40
	// maxWithdrawn bounds the withdrawn endpoints in one packet.
	maxWithdrawn = 16
	// minHolderTimeout is the minimum time without an attestation of the lease holder after
	// which the other instances use fresh watches of the store themselves: in small fleets its
	// announcements come minAnnounceInterval apart, and several may be lost.
	minHolderTimeout = 550 * time.Millisecond
	// minAnnounceInterval is the time between two announcements of the coordinator,
	// maxAnnounceInterval the same if its link is too narrow. Requests are routed by the last
	// announcement: with a longer interval, more of them are sent to the same endpoints.
	minAnnounceInterval = 100 * time.Millisecond
	maxAnnounceInterval = 400 * time.Millisecond
	// summaryRepeatInterval is when an instance of a large fleet sends an unchanged summary
	// again: three of them fit into the time after which it counts as gone.
	summaryRepeatInterval = peer.PeerTimeout / 4
	// announceLinkShare is the share of its bandwidth that the coordinator may use for totals,
	// and again for repeated placements. changesLinkShare is the share for changed placements.
	announceLinkShare = 0.15
	changesLinkShare  = 0.5
	// datagramCPUTime is the processor time that sending a datagram takes.
	datagramCPUTime = 8 * time.Microsecond
	// linkShareCarryover is for how long unused parts of these shares accumulate.
	linkShareCarryover = maxAnnounceInterval
	// demandInterval is the minimum time between two evaluations of the demand of a large fleet:
	// each packet with waiting requests calls for one, and thousands of packets arrive per
	// second.
	demandInterval = 25 * time.Millisecond
	// bytesPerMbit converts the bandwidth of links to bytes per second.
	bytesPerMbit = 1e6 / 8
)

// receivedPacket is a packet and when it was received. It may wait in the queue behind others:
// what it attests was current when it was received, not when it is applied.
type receivedPacket struct {
	peer.Packet
	at time.Time
}

// open starts to listen once the key is known, or switches to another key. Packets sealed with
// the previous key are still accepted, as instances do not switch at the same moment.
func (m *mesh) open(key []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	keys := [][]byte{key}
	if m.key != nil {
		keys = append(keys, m.key)
	}
	sealer, err := peer.NewSealer(keys)
	if err != nil {
		return err
	}
	m.key, m.sealer = key, sealer
	m.opener.Store(sealer)
	if m.datagrams != nil {
		m.log.Info("datagram key changed")
		return nil
	}
	m.datagrams, err = peer.ListenUDP(m.address, m.receive)
	return err
}

func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.datagrams != nil {
		m.datagrams.Close()
	}
}

// receive is called on the event loop of the datagrams.
func (m *mesh) receive(sealed []byte) {
	plain, err := m.opener.Load().Open(sealed)
	if err != nil {
		m.log.V(1).Info("datagram dropped", "error", err.Error())
		return
	}
	p, err := peer.DecodePacket(plain)
	if err != nil {
		m.log.Info("invalid packet dropped", "error", err.Error())
		return
	}
	if m.streams.receive(p) {
		return
	}
	_ = m.inputs.Put(context.Background(), receivedPacket{Packet: p, at: m.now()})
}

// updateInstance records an instance's entry in the store; nil means that it was removed.
func (m *mesh) updateInstance(instance string, p *presence) {
	m.mu.Lock()
	if p == nil {
		delete(m.listed, instance)
	} else {
		if _, known := m.listed[instance]; !known {
			m.joinedAt = m.now()
		}
		m.listed[instance] = *p
	}
	m.listedVersion++
	m.unlisted = m.findUnlisted()
	m.recipients = nil
	n := len(m.listed)
	m.mu.Unlock()
	m.onInstanceCount(n)
}

// run receives packets and applies them.
func (m *mesh) run(ctx context.Context) {
	go m.tick(ctx)
	for {
		received, err := m.inputs.Take(ctx)
		if err != nil {
			return
		}
		p := received.Packet
		if p.From == m.instance && p.Process != m.process {
			// A late packet of an earlier process of this instance.
			continue
		}
		if p.Era > 0 {
			m.eras.Observe(p.Era)
		}
		if p.From != m.instance && m.permits.receive(p) {
			continue
		}
		if p.From != m.instance && m.lending.receive(p) {
			continue
		}
		if p.From != m.instance && m.keyAuthority.receive(p, m.process) {
			continue
		}
		if m.fleetView.Receive(m.now(), p) {
			m.allowances.receive(p)
			m.applyPacket(received)
		}
	}
}

// applyPacket passes on the contents of a packet. This instance's own packet is applied as
// well, once per tick.
func (m *mesh) applyPacket(received receivedPacket) {
	p := received.Packet
	m.outlooks.receive(p, p.From == m.instance)
	if m.isHolder() {
		m.pools.receiveSamples(m.now(), p.PoolSamples)
	}
	if len(p.Placements) > 0 {
		m.onPlacements(p.Placements)
	}
	if p.From != m.instance {
		m.evacuations.receive(p)
	}
	if p.Instances > 0 && p.From != m.instance {
		m.totals.receive(m.now(), received.at, p)
		m.updateRoutingFor(p.Totals)
		m.pools.receiveModes(m.now(), p.PoolModes)
	}
	if p.From != m.instance && len(p.Placements) == 0 {
		// In a large fleet only the coordinator reaches all instances.
		m.quarantine.ReceiveReports(p.Endings, m.isSmallFleet() || m.isHolder())
		m.quarantine.ReceiveDigest(p.EndingsDigest)
	}
	if p.From != m.instance {
		m.conditions.receive(p, m.isHolder() && !m.isSmallFleet())
	}
	m.receiveRevision(p.Revision)
	if len(p.Withdrawn) > 0 && p.From != m.instance {
		m.onEndpointsLeaving(incarnationsOf(p.Withdrawn, p.WithdrawnStarts))
	}
	if len(p.SaidLeaving) > 0 && p.From != m.instance {
		m.onSaidLeaving(incarnationsOf(p.SaidLeaving, p.SaidLeavingStarts))
	}
	if len(p.Suspects) > 0 {
		m.onSuspects(p.Suspects)
	}
	if len(p.Replaced) > 0 {
		m.onReplaced(incarnationsOf(p.Replaced, p.ReplacedStarts))
	}
	waiting := false
	for _, d := range p.Demands {
		waiting = waiting || d.Waiting > 0
	}
	if p.From == m.instance {
		m.logAttestation()
		m.onPartition(m.possiblyPartitioned())
		m.fleetView.Expire(m.now())
		m.publish()
	}
	if p.From == m.instance || waiting && m.demandDue() {
		m.demandReportedAt = m.now()
		m.onDemand(m.fleetView.Demand())
	}
}

// receiveRevision handles the revision of the settings that another instance has in force.
func (m *mesh) receiveRevision(revision int64) {
	if revision <= m.revision() {
		return
	}
	m.recordRevision(revision)
	select {
	case m.newerSettings <- struct{}{}:
	default:
	}
}

// recordRevision records a revision of the settings that another instance has.
func (m *mesh) recordRevision(revision int64) {
	if revision <= m.newestRevision.Load() {
		return
	}
	now := m.now()
	m.newestRevisionAt.Store(&now)
	m.newestRevision.Store(revision)
}

// sinceRevisionSeen returns how long ago another instance first reported this revision of the
// settings or a later one; neverConfirmed if none has.
func (m *mesh) sinceRevisionSeen(revision int64) time.Duration {
	at := m.newestRevisionAt.Load()
	if at == nil || m.newestRevision.Load() < revision {
		return neverConfirmed
	}
	return m.now().Sub(*at)
}

// outdatedTimeout is for how long settings that are known to be newer are waited for: this
// release may be unable to read them, or they may have been lost with the store.
const outdatedTimeout = 10 * time.Second

// outdated reports whether another instance has recently reported newer settings.
func (m *mesh) outdated() bool {
	at := m.newestRevisionAt.Load()
	return at != nil && !m.hasNewestSettings() && m.now().Sub(*at) < outdatedTimeout
}

// demandDue reports whether the demand is to be evaluated before the next tick.
func (m *mesh) demandDue() bool {
	return m.isSmallFleet() || m.now().Sub(m.demandReportedAt) >= demandInterval
}

// An instance that has had contact with others, and with none of them for partitionAfter, may
// be partitioned; after partitionTimeout they count as gone.
const (
	partitionAfter   = 350 * time.Millisecond
	partitionTimeout = 10 * time.Second
)

// possiblyPartitioned reports whether this instance may be cut off from the others.
func (m *mesh) possiblyPartitioned() bool {
	if at := m.fleetView.LastContactExcept(m.instance); at.After(m.lastContactAt) {
		m.lastContactAt = at
		m.lastContact.Store(&at)
	}
	sinceContact := m.now().Sub(m.lastContactAt)
	return !m.lastContactAt.IsZero() && sinceContact >= partitionAfter && sinceContact < partitionTimeout
}

// An instance without contact to any other for isolatedAfter, or that has had none at all by
// noContactAfter after the last one was listed, asks the store for what the others would
// announce.
const (
	isolatedAfter  = time.Second
	noContactAfter = 2 * time.Second
)

// isolated reports whether other instances are listed and none is in contact.
func (m *mesh) isolated() bool {
	if m.listedCount() <= 1 {
		return false
	}
	if at := m.lastContact.Load(); at != nil {
		return m.now().Sub(*at) >= isolatedAfter
	}
	return m.sinceJoin() >= noContactAfter
}

// publish makes the state of fleetView available to routing and to other goroutines.
func (m *mesh) publish() {
	m.updateRouting()
	var loads []peer.EndpointLoad
	if m.isHolder() && !m.isSmallFleet() {
		loads = slices.Collect(maps.Values(m.fleetView.Loads("")))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAddresses, m.liveInstances, m.fleetTotals, m.recipients = m.fleetView.Addresses(), len(m.fleetView.Live()), loads, nil
	if unlisted := m.findUnlisted(); !slices.Equal(unlisted, m.unlisted) {
		m.unlisted = unlisted
		m.listedVersion++
	}
}

// routingUpdateInterval is the time between two updates of the load of all endpoints, where
// the coordinator's announcements update each endpoint whose load has changed.
const routingUpdateInterval = 500 * time.Millisecond

// updateRouting gives routing the load that the other instances have in flight.
func (m *mesh) updateRouting() {
	now := m.now()
	if m.isSmallFleet() || !m.totals.fresh(now) {
		others := m.fleetView.Loads(m.instance)
		m.setPeerLoads(func(endpoint string) routing.PeerLoad { return toPeerLoad(others[endpoint], now) })
		return
	}
	if now.Sub(m.routingUpdatedAt) < routingUpdateInterval {
		return
	}
	m.routingUpdatedAt = now
	others := m.totals.others(now)
	m.setPeerLoads(func(endpoint string) routing.PeerLoad {
		if l, known := others[endpoint]; known {
			return toPeerLoad(l.EndpointLoad, l.at)
		}
		return routing.PeerLoad{At: now}
	})
}

// setPeerLoads gives routing the load that the other instances have at each endpoint.
func (m *mesh) setPeerLoads(load func(endpoint string) routing.PeerLoad) {
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			e.SetPeerLoad(load(e.Name))
		}
	}
}

// updateRoutingFor gives routing the totals of one packet: an announcement of the coordinator
// spans many.
func (m *mesh) updateRoutingFor(loads []peer.EndpointLoad) {
	if m.isSmallFleet() {
		m.updateRouting()
		return
	}
	endpoints := m.router.View().ByName
	now := m.now()
	for _, l := range loads {
		if e := endpoints[l.Endpoint]; e != nil {
			e.SetPeerLoad(toPeerLoad(m.totals.subtractOwn(l), now))
		}
	}
}

func toPeerLoad(l peer.EndpointLoad, now time.Time) routing.PeerLoad {
	return routing.PeerLoad{Running: l.Running, PromptWork: time.Duration(l.PrefillMicros) * time.Microsecond, At: now}
}

// currentTotals returns the total load by endpoint, in a large fleet, and how many instances
// were recently in contact, as of the last publish.
func (m *mesh) currentTotals() ([]peer.EndpointLoad, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleetTotals, m.liveInstances
}
