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
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/relay"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/store"
)

// mesh tells the other instances what this one has under way and is asked for,
// and takes what they tell.
type mesh struct {
	instance, process, address string
	// self is this instance's own entry.
	self     presence
	router   *routing.Router
	gates    *pipeline.Gates
	demand   *pipeline.Demand
	refusals *pipeline.Refusals
	// quarantine is told what the others say of requests that end endpoints.
	quarantine *quarantine.Manager
	// rights is asked by others whether they may go by their settings' keys, and answered.
	rights *keyRights
	// eras follows the store's eras, of which others may hear first; nil where none tells.
	eras *store.Eras
	// allowances is told what accounts have asked of the others.
	allowances *allowances
	// evacuations is told which failure domains are evacuated; nil where none can be.
	evacuations *evacuations
	// permits is asked by others for permits, and told what endpoints have said.
	permits *permits
	log     logr.Logger
	now     func() time.Time

	// What others of this instance know: whether it makes a planned stop, the
	// revision of the settings in force, and whether it places units, and so is
	// the hub.
	leaving  func() bool
	revision func() int64
	isHolder func() bool
	// current tells whether the store has answered this instance lately.
	storeCurrent func() bool

	// placed gets the word of the instance that places units.
	onPlacements func([]peer.Placement)
	// demanded gets the demand of all instances together.
	onDemand func(map[string]peer.Demand)
	// suspected gets endpoints at which requests of some instance have failed.
	onSuspects func(endpoints []string)
	// gone gets endpoints at whose addresses other incarnations have answered.
	onReplaced func(endpoints []endpointStart)
	// alone is told whether this instance hears none of the others any more.
	onPartition func(alone bool)
	// endpointsLeave gets endpoints that another instance says take no more work.
	onEndpointsLeaving func(endpoints []endpointStart)
	// linkBytes is what the instance's link carries, in bytes a second.
	linkBytesPerSecond float64
	// counted gets the number of instances that are listed.
	onInstanceCount func(n int)
	// newer is told when another instance has newer settings in force.
	newerSettings chan struct{}

	// endpoints is the digest of the endpoints that this instance lists, newest the
	// newest revision of the settings that any instance was heard to have.
	endpointsDigest atomic.Uint64
	newestRevision  atomic.Int64
	// newestAt is when newest was first heard of; nil for never.
	newestRevisionAt atomic.Pointer[time.Time]

	inputs *ring.Ring[peer.Packet]
	// urgent holds at most one wish to tell at once.
	urgent chan struct{}
	totals totals
	// board, othersAt, demandedAt and sharedAt belong to the goroutine of run.
	fleetView *peer.FleetView
	// hubSums and hubAt belong to the goroutine of tick.
	outgoingTotals broadcast.Totals
	// toldLast is the summary that was sent last, at toldLastAt to toldLastTo; they belong to
	// tick too.
	lastSummary   peer.Packet
	lastSummaryAt time.Time
	lastSummaryTo []string
	// othersAt is when another instance was last heard.
	lastContactAt time.Time
	// heardOthers is the same for other goroutines; nil for never.
	lastContact        atomic.Pointer[time.Time]
	lastAnnouncementAt time.Time
	demandReportedAt   time.Time
	routingUpdatedAt   time.Time
	// vouchedLast is whether the holder of the lease vouched at the last look.
	wasAttested bool

	// mu guards the rest.
	mu sync.Mutex
	// key, sealer and datagrams are nil until the key is known; opener is sealer for those
	// that receive.
	key       []byte
	sealer    *peer.Sealer
	opener    atomic.Pointer[peer.Sealer]
	datagrams peer.Datagrams
	// listed holds the entries of instances in the store, told where each that
	// was heard lately says that it receives packets.
	listed            map[string]presence
	reportedAddresses map[string]string
	// listedVersion grows with each change of listed.
	listedVersion int64
	// joinedAt is when an instance was last listed that was not before.
	joinedAt time.Time
	// heard is how many instances were heard lately, sum what they have under way.
	liveInstances int
	fleetTotals   []peer.EndpointLoad
	// unsent holds the placements that wait for room on the link; changes and repeats bound
	// what is sent of them.
	unsentPlacements           broadcast.Residency
	changeBudget, repeatBudget broadcast.Budget
	// recipients is where the other instances receive packets; nil until it is asked for.
	recipients []string
	// passed are refusals of others for the hub's next word.
	refusalsToForward []uint32
	// withdrawn holds when endpoints began to leave, by this instance's list.
	withdrawn map[string]withdrawal
	seq       uint64
}

const (
	// meshInputs bounds the packets that wait; newer ones say more.
	meshInputCapacity = 256
	// meshTick is the time between two packets to each instance.
	meshTick = 100 * time.Millisecond
	// maxLoads and maxDemands bound what one packet carries, so that it fits a
	// datagram: entries take about 20 bytes each. An instance has streams at 15 to 25
	// endpoints where 63 instances share 90.
	maxLoads   = 24
	maxDemands = 14
	// suspectTime is for how long a failed request makes its endpoint suspect,
	// maxSuspects bounds what one packet tells of them.
	suspectDuration = 250 * time.Millisecond
	maxSuspects     = 8
	// maxGone bounds the endpoints of which one packet tells that they are gone.
	maxReplaced = 6
	// maxTotals bounds the sums of a packet that has more to tell.
	maxTotals = 24
	// smallFleet is up to how many instances everybody tells everybody.
	smallFleetSize = 16
	// maxPassedOn bounds the refusals in one word of the hub.
	maxForwardedRefusals = 40
	// maxWithdrawn bounds the endpoints that one packet tells of.
	maxWithdrawn = 16
	// leastHolderLost is for how long the holder of the lease may fail to vouch for
	// what it knows, at least, before the others look closely themselves: its words
	// come hubTick apart in small fleets, where several may be lost.
	minHolderTimeout = 550 * time.Millisecond
	// hubTick is the time between two words of the hub, and hubSlow that where its
	// link is too narrow. Requests go by what it told last: with a longer time, more
	// of them meet at the same endpoints.
	minAnnounceInterval = 100 * time.Millisecond
	maxAnnounceInterval = 400 * time.Millisecond
	// summaryKept is when an instance of a large fleet tells again what has not changed: three
	// such words fit into the time after which it counts as gone.
	summaryRepeatInterval = peer.PeerTimeout / 4
	// hubLinkShare is the share of what it can send that the hub may fill with sums, and the
	// same for placements that it repeats. changesLinkShare is that for placements that have
	// changed.
	announceLinkShare = 0.15
	changesLinkShare  = 0.5
	// datagramTime is the processor time that a datagram takes to send.
	datagramCPUTime = 8 * time.Microsecond
	// linkShareKept is for how long unused parts of these shares are kept.
	linkShareCarryover = maxAnnounceInterval
	// demandPause is the least time between two looks at the demand of a large fleet: each
	// packet with waiting requests asks for one, and thousands come in a second.
	demandInterval = 25 * time.Millisecond
	// bytesPerMbit converts the bandwidth of links.
	bytesPerMbit = 1e6 / 8
)

// open begins to listen, once the key is known, or goes on with another key. Packets sealed
// with the one before are still read: not all instances change at the same moment.
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
		m.log.Info("datagrams' key changed")
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

// receive is called on the datagrams' event loop.
func (m *mesh) receive(sealed []byte) {
	plain, err := m.opener.Load().Open(sealed)
	if err != nil {
		m.log.V(1).Info("datagram dropped", "error", err.Error())
		return
	}
	p, err := peer.DecodePacket(plain)
	if err != nil {
		m.log.Info("packet refused", "error", err.Error())
		return
	}
	_ = m.inputs.Put(context.Background(), p)
}

// find records an instance's entry in the store; nil says that it is gone.
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
	m.recipients = nil
	n := len(m.listed)
	m.mu.Unlock()
	m.onInstanceCount(n)
}

// run takes packets and tells the board's news.
func (m *mesh) run(ctx context.Context) {
	go m.tick(ctx)
	for {
		p, err := m.inputs.Take(ctx)
		if err != nil {
			return
		}
		if p.From == m.instance && p.Process != m.process {
			// An earlier process of this instance; its packets were late.
			continue
		}
		if p.Era > 0 {
			m.eras.Observe(p.Era)
		}
		if p.From != m.instance && m.permits.heard(p) {
			continue
		}
		if p.From != m.instance && m.rights.heard(p, m.process) {
			continue
		}
		if m.fleetView.Receive(m.now(), p) {
			m.allowances.heard(p)
			m.applyPacket(p)
		}
	}
}

// news passes on what a packet has brought. This instance's own packet comes
// this way too, once in each tick.
func (m *mesh) applyPacket(p peer.Packet) {
	if len(p.Placements) > 0 {
		m.onPlacements(p.Placements)
	}
	if p.From != m.instance {
		m.evacuations.heard(p)
	}
	if p.Instances > 0 && p.From != m.instance {
		m.totals.receive(m.now(), p)
		m.updateRoutingFor(p.Totals)
	}
	if len(p.Refused) > 0 && p.From != m.instance {
		m.refusals.RecordRemote(m.now(), p.Refused)
		m.forwardRefusals(p.Refused)
	}
	if p.From != m.instance && len(p.Placements) == 0 {
		// In a large fleet only the hub reaches all.
		m.quarantine.ReceiveReports(p.Endings, m.isSmallFleet() || m.isHolder())
		m.quarantine.ReceiveDigest(p.EndingsDigest)
	}
	m.receiveRevision(p.Revision)
	if len(p.Withdrawn) > 0 && p.From != m.instance {
		m.onEndpointsLeaving(startsOf(p.Withdrawn, p.WithdrawnStarts))
	}
	if len(p.Suspects) > 0 {
		m.onSuspects(p.Suspects)
	}
	if len(p.Replaced) > 0 {
		m.onReplaced(startsOf(p.Replaced, p.ReplacedStarts))
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

// hearRevision takes the revision of the settings that another instance has in force.
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

// heardRevision notes a revision of the settings that another instance has.
func (m *mesh) recordRevision(revision int64) {
	if revision <= m.newestRevision.Load() {
		return
	}
	now := m.now()
	m.newestRevisionAt.Store(&now)
	m.newestRevision.Store(revision)
}

// heardAgo is how long ago another instance was first heard to have a revision of the settings,
// or a later one; neverConfirmed if none was.
func (m *mesh) sinceRevisionSeen(revision int64) time.Duration {
	at := m.newestRevisionAt.Load()
	if at == nil || m.newestRevision.Load() < revision {
		return neverConfirmed
	}
	return m.now().Sub(*at)
}

// outdatedFor is for how long settings that are known to be newer are waited for: they may be
// such that this release cannot read, or may have been lost with the store.
const outdatedTimeout = 10 * time.Second

// outdated tells whether another instance has lately been heard to have newer settings.
func (m *mesh) outdated() bool {
	at := m.newestRevisionAt.Load()
	return at != nil && !m.hasNewestSettings() && m.now().Sub(*at) < outdatedTimeout
}

// demandDue tells whether the demand is to be looked at before the next tick.
func (m *mesh) demandDue() bool {
	return m.isSmallFleet() || m.now().Sub(m.demandReportedAt) >= demandInterval
}

// An instance that has heard others, and none of them for aloneAfter, may be cut off
// from them; after aloneFor they are gone for all it can tell.
const (
	partitionAfter   = 350 * time.Millisecond
	partitionTimeout = 10 * time.Second
)

// hearsNobody tells whether this instance may be cut off from the others.
func (m *mesh) possiblyPartitioned() bool {
	if at := m.fleetView.LastContactExcept(m.instance); at.After(m.lastContactAt) {
		m.lastContactAt = at
		m.lastContact.Store(&at)
	}
	silent := m.now().Sub(m.lastContactAt)
	return !m.lastContactAt.IsZero() && silent >= partitionAfter && silent < partitionTimeout
}

// An instance that hears none of the others for isolatedAfter, or has never heard any
// neverHeardAfter behind the last that was listed, asks the store for what they would tell.
const (
	isolatedAfter   = time.Second
	neverHeardAfter = 2 * time.Second
)

// isolated tells whether others are listed and none can be heard.
func (m *mesh) isolated() bool {
	if m.listedCount() <= 1 {
		return false
	}
	if at := m.lastContact.Load(); at != nil {
		return m.now().Sub(*at) >= isolatedAfter
	}
	return m.sinceJoin() >= neverHeardAfter
}

// publish makes the board's state known to routing and to others that ask.
func (m *mesh) publish() {
	m.updateRouting()
	var loads []peer.EndpointLoad
	if m.isHolder() && !m.isSmallFleet() {
		loads = slices.Collect(maps.Values(m.fleetView.Loads("")))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedAddresses, m.liveInstances, m.fleetTotals, m.recipients = m.fleetView.Addresses(), len(m.fleetView.Live()), loads, nil
}

// shareEvery is the time between two looks at what all endpoints have, where the hub's word
// tells of each that has changed.
const routingUpdateInterval = 500 * time.Millisecond

// share tells routing what the other instances have under way.
func (m *mesh) updateRouting() {
	var others map[string]peer.EndpointLoad
	if !m.isSmallFleet() && m.totals.fresh(m.now()) {
		if m.now().Sub(m.routingUpdatedAt) < routingUpdateInterval {
			return
		}
		m.routingUpdatedAt = m.now()
		others = m.totals.others(m.now())
	} else {
		others = m.fleetView.Loads(m.instance)
	}
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			e.SetPeerLoad(toPeerLoad(others[e.Name], m.now()))
		}
	}
}

// shareTotals tells routing what one packet of the hub brings: its word comes in many.
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

// sums returns what all instances have under way, in a large fleet, and how many
// instances were heard lately, as publish found them.
func (m *mesh) currentTotals() ([]peer.EndpointLoad, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleetTotals, m.liveInstances
}

// known returns the instances that are listed in the store or were heard, this
// one included, and how strong each is.
func (m *mesh) knownInstances() map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]float64, len(m.listed)+1)
	for name, p := range m.listed {
		known[name] = p.Cores
	}
	known[m.instance] = m.self.Cores
	return known
}

// knownVersion tells whether what known returns may have changed.
func (m *mesh) knownVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listedVersion
}

// fleet is the instances that are listed, this one included.
func (m *mesh) fleet() []relay.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	fleet := make([]relay.Instance, 0, len(m.listed)+1)
	fleet = append(fleet, relay.Instance{Name: m.instance, FailureDomain: m.self.FailureDomain, Cores: m.self.Cores})
	for name, p := range m.listed {
		if name != m.instance {
			fleet = append(fleet, relay.Instance{Name: name, FailureDomain: p.FailureDomain, Cores: p.Cores})
		}
	}
	return fleet
}

// streamsOf is where an instance answers questions; empty if that is not known.
func (m *mesh) streamAddress(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[instance].Streams
}

// joined is how long ago an instance was listed that was not before.
func (m *mesh) sinceJoin() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.joinedAt)
}

// hearsStronger tells whether an instance was heard lately that has so many times the
// processor time of this one.
func (m *mesh) hasStrongerPeer(times float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.reportedAddresses {
		if m.listed[name].Cores >= times*m.self.Cores {
			return true
		}
	}
	return false
}

// issuers is what is known of the instances that issue permits. In a small fleet those that
// are heard count, as entries of some may be those of machines that are gone.
func (m *mesh) permitIssuers() permit.Fleet {
	f := permit.Fleet{Isolated: m.isolated()}
	small := m.isSmallFleet()
	m.mu.Lock()
	defer m.mu.Unlock()
	if small {
		f.Members = slices.Collect(maps.Keys(m.reportedAddresses))
	}
	if len(f.Members) == 0 {
		f.Members = slices.Collect(maps.Keys(m.listed))
	}
	if !slices.Contains(f.Members, m.instance) {
		f.Members = append(f.Members, m.instance)
	}
	f.KnownCount = max(len(m.listed), len(f.Members))
	return f
}

// addressOf is where an instance receives packets; empty if it is not known.
func (m *mesh) datagramAddress(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address, told := m.reportedAddresses[instance]; told {
		return address
	}
	return m.listed[instance].Datagrams
}

// tellOne sends a packet to one instance, if it is known where that is.
func (m *mesh) sendTo(p peer.Packet, instance string) {
	if address := m.datagramAddress(instance); address != "" {
		m.send(m.stamp(p), []string{address})
	}
}

// hubSilent is how long ago the instance that places units was heard.
func (m *mesh) coordinatorSilence() time.Duration { return m.totals.silence(m.now()) }
