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
	holds    func() bool
	// current tells whether the store has answered this instance lately.
	current func() bool

	// placed gets the word of the instance that places units.
	placed func([]peer.Placement)
	// demanded gets the demand of all instances together.
	demanded func(map[string]peer.Demand)
	// suspected gets endpoints at which requests of some instance have failed.
	suspected func(endpoints []string)
	// gone gets endpoints at whose addresses other incarnations have answered.
	gone func(endpoints []endpointStart)
	// alone is told whether this instance hears none of the others any more.
	alone func(alone bool)
	// endpointsLeave gets endpoints that another instance says take no more work.
	endpointsLeave func(endpoints []endpointStart)
	// linkBytes is what the instance's link carries, in bytes a second.
	linkBytes float64
	// counted gets the number of instances that are listed.
	counted func(n int)
	// newer is told when another instance has newer settings in force.
	newer chan struct{}

	// endpoints is the digest of the endpoints that this instance lists, newest the
	// newest revision of the settings that any instance was heard to have.
	endpoints atomic.Uint64
	newest    atomic.Int64
	// newestAt is when newest was first heard of; nil for never.
	newestAt atomic.Pointer[time.Time]

	inputs *ring.Ring[peer.Packet]
	// urgent holds at most one wish to tell at once.
	urgent chan struct{}
	totals totals
	// board, othersAt, demandedAt and sharedAt belong to the goroutine of run.
	board *peer.FleetView
	// hubSums and hubAt belong to the goroutine of tick.
	hubSums broadcast.Totals
	// toldLast is the summary that was sent last, at toldLastAt to toldLastTo; they belong to
	// tick too.
	toldLast   peer.Packet
	toldLastAt time.Time
	toldLastTo []string
	// othersAt is when another instance was last heard.
	othersAt time.Time
	// heardOthers is the same for other goroutines; nil for never.
	heardOthers atomic.Pointer[time.Time]
	hubAt       time.Time
	demandedAt  time.Time
	sharedAt    time.Time
	// vouchedLast is whether the holder of the lease vouched at the last look.
	vouchedLast bool

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
	listed map[string]presence
	told   map[string]string
	// listedVersion grows with each change of listed.
	listedVersion int64
	// joinedAt is when an instance was last listed that was not before.
	joinedAt time.Time
	// heard is how many instances were heard lately, sum what they have under way.
	heard int
	sum   []peer.EndpointLoad
	// unsent holds the placements that wait for room on the link; changes and repeats bound
	// what is sent of them.
	unsent           broadcast.Residency
	changes, repeats broadcast.Budget
	// recipients is where the other instances receive packets; nil until it is asked for.
	recipients []string
	// passed are refusals of others for the hub's next word.
	passed []uint32
	// withdrawn holds when endpoints began to leave, by this instance's list.
	withdrawn map[string]withdrawal
	seq       uint64
}

const (
	// meshInputs bounds the packets that wait; newer ones say more.
	meshInputs = 256
	// meshTick is the time between two packets to each instance.
	meshTick = 100 * time.Millisecond
	// maxLoads and maxDemands bound what one packet carries, so that it fits a
	// datagram: entries take about 20 bytes each. An instance has streams at 15 to 25
	// endpoints where 63 instances share 90.
	maxLoads   = 24
	maxDemands = 14
	// suspectTime is for how long a failed request makes its endpoint suspect,
	// maxSuspects bounds what one packet tells of them.
	suspectTime = 250 * time.Millisecond
	maxSuspects = 8
	// maxGone bounds the endpoints of which one packet tells that they are gone.
	maxGone = 6
	// maxTotals bounds the sums of a packet that has more to tell.
	maxTotals = 24
	// smallFleet is up to how many instances everybody tells everybody.
	smallFleet = 16
	// maxPassedOn bounds the refusals in one word of the hub.
	maxPassedOn = 40
	// maxWithdrawn bounds the endpoints that one packet tells of.
	maxWithdrawn = 16
	// leastHolderLost is for how long the holder of the lease may fail to vouch for
	// what it knows, at least, before the others look closely themselves: its words
	// come hubTick apart in small fleets, where several may be lost.
	leastHolderLost = 550 * time.Millisecond
	// hubTick is the time between two words of the hub, and hubSlow that where its
	// link is too narrow. Requests go by what it told last: with a longer time, more
	// of them meet at the same endpoints.
	hubTick = 100 * time.Millisecond
	hubSlow = 400 * time.Millisecond
	// summaryKept is when an instance of a large fleet tells again what has not changed: three
	// such words fit into the time after which it counts as gone.
	summaryKept = peer.PeerTimeout / 4
	// hubLinkShare is the share of what it can send that the hub may fill with sums, and the
	// same for placements that it repeats. changesLinkShare is that for placements that have
	// changed.
	hubLinkShare     = 0.15
	changesLinkShare = 0.5
	// datagramTime is the processor time that a datagram takes to send.
	datagramTime = 8 * time.Microsecond
	// linkShareKept is for how long unused parts of these shares are kept.
	linkShareKept = hubSlow
	// demandPause is the least time between two looks at the demand of a large fleet: each
	// packet with waiting requests asks for one, and thousands come in a second.
	demandPause = 25 * time.Millisecond
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
func (m *mesh) find(instance string, p *presence) {
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
	m.counted(n)
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
		if m.board.Receive(m.now(), p) {
			m.allowances.heard(p)
			m.news(p)
		}
	}
}

// news passes on what a packet has brought. This instance's own packet comes
// this way too, once in each tick.
func (m *mesh) news(p peer.Packet) {
	if len(p.Placements) > 0 {
		m.placed(p.Placements)
	}
	if p.From != m.instance {
		m.evacuations.heard(p)
	}
	if p.Instances > 0 && p.From != m.instance {
		m.totals.take(m.now(), p)
		m.shareTotals(p.Totals)
	}
	if len(p.Refused) > 0 && p.From != m.instance {
		m.refusals.RecordRemote(m.now(), p.Refused)
		m.passOn(p.Refused)
	}
	if p.From != m.instance && len(p.Placements) == 0 {
		// In a large fleet only the hub reaches all.
		m.quarantine.ReceiveReports(p.Endings, m.small() || m.holds())
		m.quarantine.ReceiveDigest(p.EndingsDigest)
	}
	m.hearRevision(p.Revision)
	if len(p.Withdrawn) > 0 && p.From != m.instance {
		m.endpointsLeave(startsOf(p.Withdrawn, p.WithdrawnStarts))
	}
	if len(p.Suspects) > 0 {
		m.suspected(p.Suspects)
	}
	if len(p.Replaced) > 0 {
		m.gone(startsOf(p.Replaced, p.ReplacedStarts))
	}
	waits := false
	for _, d := range p.Demands {
		waits = waits || d.Waiting > 0
	}
	if p.From == m.instance {
		m.noteVouch()
		m.alone(m.hearsNobody())
		m.board.Expire(m.now())
		m.publish()
	}
	if p.From == m.instance || waits && m.demandDue() {
		m.demandedAt = m.now()
		m.demanded(m.board.Demand())
	}
}

// hearRevision takes the revision of the settings that another instance has in force.
func (m *mesh) hearRevision(revision int64) {
	if revision <= m.revision() {
		return
	}
	m.heardRevision(revision)
	select {
	case m.newer <- struct{}{}:
	default:
	}
}

// heardRevision notes a revision of the settings that another instance has.
func (m *mesh) heardRevision(revision int64) {
	if revision <= m.newest.Load() {
		return
	}
	now := m.now()
	m.newestAt.Store(&now)
	m.newest.Store(revision)
}

// heardAgo is how long ago another instance was first heard to have a revision of the settings,
// or a later one; neverConfirmed if none was.
func (m *mesh) heardAgo(revision int64) time.Duration {
	at := m.newestAt.Load()
	if at == nil || m.newest.Load() < revision {
		return neverConfirmed
	}
	return m.now().Sub(*at)
}

// outdatedFor is for how long settings that are known to be newer are waited for: they may be
// such that this release cannot read, or may have been lost with the store.
const outdatedFor = 10 * time.Second

// outdated tells whether another instance has lately been heard to have newer settings.
func (m *mesh) outdated() bool {
	at := m.newestAt.Load()
	return at != nil && !m.settingsInForce() && m.now().Sub(*at) < outdatedFor
}

// demandDue tells whether the demand is to be looked at before the next tick.
func (m *mesh) demandDue() bool { return m.small() || m.now().Sub(m.demandedAt) >= demandPause }

// An instance that has heard others, and none of them for aloneAfter, may be cut off
// from them; after aloneFor they are gone for all it can tell.
const (
	aloneAfter = 350 * time.Millisecond
	aloneFor   = 10 * time.Second
)

// hearsNobody tells whether this instance may be cut off from the others.
func (m *mesh) hearsNobody() bool {
	if at := m.board.LastContactExcept(m.instance); at.After(m.othersAt) {
		m.othersAt = at
		m.heardOthers.Store(&at)
	}
	silent := m.now().Sub(m.othersAt)
	return !m.othersAt.IsZero() && silent >= aloneAfter && silent < aloneFor
}

// An instance that hears none of the others for isolatedAfter, or has never heard any
// neverHeardAfter behind the last that was listed, asks the store for what they would tell.
const (
	isolatedAfter   = time.Second
	neverHeardAfter = 2 * time.Second
)

// isolated tells whether others are listed and none can be heard.
func (m *mesh) isolated() bool {
	if m.size() <= 1 {
		return false
	}
	if at := m.heardOthers.Load(); at != nil {
		return m.now().Sub(*at) >= isolatedAfter
	}
	return m.joined() >= neverHeardAfter
}

// publish makes the board's state known to routing and to others that ask.
func (m *mesh) publish() {
	m.share()
	var sum []peer.EndpointLoad
	if m.holds() && !m.small() {
		sum = slices.Collect(maps.Values(m.board.Loads("")))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told, m.heard, m.sum, m.recipients = m.board.Addresses(), len(m.board.Live()), sum, nil
}

// shareEvery is the time between two looks at what all endpoints have, where the hub's word
// tells of each that has changed.
const shareEvery = 500 * time.Millisecond

// share tells routing what the other instances have under way.
func (m *mesh) share() {
	var others map[string]peer.EndpointLoad
	if !m.small() && m.totals.fresh(m.now()) {
		if m.now().Sub(m.sharedAt) < shareEvery {
			return
		}
		m.sharedAt = m.now()
		others = m.totals.others(m.now())
	} else {
		others = m.board.Loads(m.instance)
	}
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			e.SetPeerLoad(othersLoad(others[e.Name], m.now()))
		}
	}
}

// shareTotals tells routing what one packet of the hub brings: its word comes in many.
func (m *mesh) shareTotals(told []peer.EndpointLoad) {
	if m.small() {
		m.share()
		return
	}
	endpoints := m.router.View().ByName
	now := m.now()
	for _, l := range told {
		if e := endpoints[l.Endpoint]; e != nil {
			e.SetPeerLoad(othersLoad(m.totals.less(l), now))
		}
	}
}

func othersLoad(l peer.EndpointLoad, now time.Time) routing.PeerLoad {
	return routing.PeerLoad{Running: l.Running, PromptWork: time.Duration(l.PrefillMicros) * time.Microsecond, At: now}
}

// sums returns what all instances have under way, in a large fleet, and how many
// instances were heard lately, as publish found them.
func (m *mesh) sums() ([]peer.EndpointLoad, int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum, m.heard
}

// known returns the instances that are listed in the store or were heard, this
// one included, and how strong each is.
func (m *mesh) known() map[string]float64 {
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
func (m *mesh) streamsOf(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed[instance].Streams
}

// joined is how long ago an instance was listed that was not before.
func (m *mesh) joined() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now().Sub(m.joinedAt)
}

// hearsStronger tells whether an instance was heard lately that has so many times the
// processor time of this one.
func (m *mesh) hearsStronger(times float64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name := range m.told {
		if m.listed[name].Cores >= times*m.self.Cores {
			return true
		}
	}
	return false
}

// issuers is what is known of the instances that issue permits. In a small fleet those that
// are heard count, as entries of some may be those of machines that are gone.
func (m *mesh) issuers() permit.Fleet {
	f := permit.Fleet{Isolated: m.isolated()}
	small := m.small()
	m.mu.Lock()
	defer m.mu.Unlock()
	if small {
		f.Members = slices.Collect(maps.Keys(m.told))
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
func (m *mesh) addressOf(instance string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address, told := m.told[instance]; told {
		return address
	}
	return m.listed[instance].Datagrams
}

// tellOne sends a packet to one instance, if it is known where that is.
func (m *mesh) tellOne(p peer.Packet, instance string) {
	if address := m.addressOf(instance); address != "" {
		m.send(m.stamp(p), []string{address})
	}
}

// hubSilent is how long ago the instance that places units was heard.
func (m *mesh) hubSilent() time.Duration { return m.totals.silent(m.now()) }
