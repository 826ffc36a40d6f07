package daemon

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/pipeline"
	"github.com/eiderspring/eiderspring/ring"
	"github.com/eiderspring/eiderspring/routing"
	"github.com/eiderspring/eiderspring/wait"
)

// mesh tells the other instances what this one has under way and is asked for,
// and takes what they tell.
type mesh struct {
	instance, process, address string
	router                     *routing.Router
	gates                      *pipeline.Gates
	demand                     *pipeline.Demand
	log                        logr.Logger
	now                        func() time.Time
	// placed gets the word of the instance that places units.
	placed func([]peer.Placement)
	// demanded gets the demand of all instances together.
	demanded func(rate map[string]float64, waiting map[string]int)
	// suspected gets endpoints at which requests of some instance have failed.
	suspected func(endpoints []string)
	// leaving tells whether this instance makes a planned stop.
	leaving func() bool
	inputs  *ring.Ring[peer.Packet]
	// urgent holds at most one wish to tell at once.
	urgent chan struct{}

	mu sync.Mutex
	// sealer and datagrams are nil until the key is known.
	sealer    *peer.Sealer
	datagrams peer.Datagrams
	// listed holds where each instance is by its entry in the store.
	listed map[string]string
	live   []string
	told   map[string]string

	board *peer.Board
	seq   uint64
}

const (
	// meshInputs bounds the packets that wait; newer ones say more.
	meshInputs = 256
	// meshTick is the time between two packets to each instance.
	meshTick = 100 * time.Millisecond
	// maxLoads and maxDemands bound what one packet carries, so that it fits a
	// datagram: entries take about 30 bytes each.
	maxLoads   = 16
	maxDemands = 16
	// suspectTime is for how long a failed request makes its endpoint suspect,
	// maxSuspects bounds what one packet tells of them.
	suspectTime = 250 * time.Millisecond
	maxSuspects = 8
	// maxPlacements bounds the placements of one packet.
	maxPlacements = 4
)

// open begins to listen, once the key is known.
func (m *mesh) open(key []byte) error {
	sealer, err := peer.NewSealer([][]byte{key})
	if err != nil {
		return err
	}
	datagrams, err := peer.ListenUDP(m.address, func(sealed []byte) { m.receive(sealer, sealed) })
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sealer, m.datagrams = sealer, datagrams
	return nil
}

func (m *mesh) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.datagrams != nil {
		m.datagrams.Close()
	}
}

// receive is called on the datagrams' event loop.
func (m *mesh) receive(sealer *peer.Sealer, sealed []byte) {
	plain, err := sealer.Open(sealed)
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

// find records where an instance is by its entry in the store.
func (m *mesh) find(instance, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if address == "" {
		delete(m.listed, instance)
		return
	}
	m.listed[instance] = address
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
		if m.board.Receive(m.now(), p) {
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
	if len(p.Suspects) > 0 {
		m.suspected(p.Suspects)
	}
	waits := false
	for _, d := range p.Demands {
		waits = waits || d.Waiting > 0
	}
	if p.From == m.instance {
		m.board.Forget(m.now())
		m.publish()
	}
	if p.From == m.instance || waits {
		m.demanded(m.board.Demand())
	}
}

// publish makes the board's state known to routing and to others that ask.
func (m *mesh) publish() {
	others := m.board.Loads(m.instance)
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			l := others[e.Name]
			e.SetOthers(routing.Others{Running: l.Running, Prompt: time.Duration(l.Prompt) * time.Microsecond})
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.live = m.board.Live()
	m.told = m.board.Addresses()
}

// alive returns the instances that were heard lately, this one included.
func (m *mesh) alive() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.live
}

// hurry tells the others at once.
func (m *mesh) hurry() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// urgentPause is the least time between two packets.
const urgentPause = 5 * time.Millisecond

func (m *mesh) tick(ctx context.Context) {
	for ctx.Err() == nil {
		m.tell(ctx, m.summary())
		timer := time.NewTimer(meshTick)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.urgent:
			wait.For(ctx, urgentPause)
		}
		timer.Stop()
	}
}

// place tells all instances, this one too, what endpoints hold.
func (m *mesh) place(placements []peer.Placement) {
	m.placed(placements)
	for len(placements) > 0 {
		n := min(maxPlacements, len(placements))
		m.send(peer.Packet{Placements: placements[:n]})
		placements = placements[n:]
	}
}

// summary is what this instance has under way and is asked for.
func (m *mesh) summary() peer.Packet {
	p := peer.Packet{Leaving: m.leaving()}
	for _, pool := range m.router.View().Pools {
		for _, e := range pool {
			if e.FailedSince(m.now().Add(-suspectTime)) && len(p.Suspects) < maxSuspects {
				p.Suspects = append(p.Suspects, e.Name)
			}
			if n := e.Own(); n > 0 && len(p.Loads) < maxLoads {
				p.Loads = append(p.Loads, peer.EndpointLoad{Endpoint: e.Name, Running: n, Prompt: e.OwnPrompt().Microseconds()})
			}
		}
	}
	waiting := map[string]int{}
	m.gates.Waiting(waiting)
	work := m.demand.Take(waiting)
	for unit, w := range work {
		p.Demands = append(p.Demands, peer.UnitDemand{Unit: unit, Work: w, Waiting: waiting[unit]})
	}
	slices.SortFunc(p.Demands, func(a, b peer.UnitDemand) int { return cmp.Compare(b.Waiting, a.Waiting) })
	p.Demands = p.Demands[:min(len(p.Demands), maxDemands)]
	return p
}

// tell sends a summary to the others and takes it in as they do.
func (m *mesh) tell(ctx context.Context, p peer.Packet) {
	sent := m.send(p)
	_ = m.inputs.Put(ctx, sent)
}

// send stamps a packet and sends it to all instances that are known.
func (m *mesh) send(p peer.Packet) peer.Packet {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seq++
	p.Version, p.From, p.Process, p.Address, p.Seq = peer.PacketVersion, m.instance, m.process, m.address, m.seq
	if m.sealer == nil {
		return p
	}
	data, err := peer.EncodePacket(p)
	if err != nil || len(data) > peer.MaxPacketBytes {
		m.log.Info("packet not sent", "bytes", len(data), "loads", len(p.Loads), "demands", len(p.Demands))
		return p
	}
	for _, address := range m.addresses() {
		m.datagrams.Send(address, m.sealer.Seal(data))
	}
	return p
}

// addresses is where the other instances are, by their own word or else by
// their entry.
func (m *mesh) addresses() map[string]string {
	all := maps.Clone(m.listed)
	maps.Copy(all, m.told)
	delete(all, m.instance)
	return all
}
