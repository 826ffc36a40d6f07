package daemon

import (
	"context"
	"encoding/hex"
	"expvar"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/streamversion"
	"github.com/eiderspring/eiderspring/wait"
)

// searchTick is the longest time between two looks at a search.
const searchTick = 10 * time.Millisecond

// unknownDomain begins the name of a failure domain that holds one instance, whose own is unknown.
const unknownDomain = "\x00"

// streamVersions keeps the software versions at which streams began, and asks other instances for
// them. It implements pipeline.StreamVersions. A nil value receives nothing.
type streamVersions struct {
	mesh *mesh
	vars *expvar.Map
	log  logr.Logger
	now  func() time.Time

	// register tells the version of pools that have only one; nil before the store is followed.
	register atomic.Pointer[versionRegister]
	// records has beginnings written to the store, recorded reads them; nil before the store is followed.
	records  atomic.Pointer[streamRecords]
	recorded atomic.Pointer[recordReader]

	// mu guards the fields below.
	mu         sync.Mutex
	table      *streamversion.Table
	searches   map[int64]*streamSearch
	lastSearch int64
	// fleet is the fleet as of fleetVersion.
	fleet        *streamversion.Fleet
	fleetVersion int64
}

// streamSearch is a search that a request waits for.
type streamSearch struct {
	*streamversion.Search
	id  int64
	key streamversion.Key
	// answered holds a signal once an answer has come.
	answered chan struct{}
}

func newStreamVersions(m *mesh, vars *expvar.Map, log logr.Logger, now func() time.Time) *streamVersions {
	s := &streamVersions{mesh: m, vars: vars, log: log, now: now, table: streamversion.NewTable(), searches: map[int64]*streamSearch{}}
	vars.Set("streams", expvar.Func(func() any { return s.stats() }))
	return s
}

// streamStats is what operators see of the streams' beginnings.
type streamStats struct {
	// Kept is the number of beginnings that this instance keeps, Searches that of the searches in
	// progress.
	Kept     int `json:"kept"`
	Searches int `json:"searches"`
}

func (s *streamVersions) stats() streamStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamStats{Kept: s.table.Len(), Searches: len(s.searches)}
}

// Began implements pipeline.StreamVersions.
func (s *streamVersions) Began(ctx context.Context, b streamversion.Beginning) {
	if register := s.register.Load(); register != nil {
		register.names.await(ctx, b.Pool, b.Version)
	}
	s.keep(b)
	near, _ := s.owners(b.Key)
	s.send(peer.Packet{Beginnings: []streamversion.Beginning{b}}, s.mesh.addressesOf(near))
	s.vars.Add("stream_beginnings_sent", 1)
	if records := s.records.Load(); records != nil {
		records.began(b)
	}
}

func (s *streamVersions) keep(b streamversion.Beginning) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.Put(s.now(), b) {
		s.vars.Add("stream_beginnings_dropped", 1)
	}
}

// owners returns the instances that keep the beginning of a stream, in this region and in others.
func (s *streamVersions) owners(key streamversion.Key) (near, far []string) {
	fleet, region := s.currentFleet()
	return fleet.Owners(key, region)
}

// currentFleet returns the instances that are listed or recently in contact, and the region of this
// one. Until an instance is listed here, it counts as the only one of its failure domain, in this
// region: so the best owner of all that are in contact is always among the owners.
func (s *streamVersions) currentFleet() (*streamversion.Fleet, string) {
	region := s.mesh.regions[s.mesh.self.FailureDomain]
	version := s.mesh.knownVersion()
	s.mu.Lock()
	fleet, known := s.fleet, s.fleetVersion
	s.mu.Unlock()
	if fleet != nil && version == known {
		return fleet, region
	}
	var instances []streamversion.Instance
	for _, i := range s.mesh.fleet() {
		instances = append(instances, streamversion.Instance{Name: i.Name, FailureDomain: i.FailureDomain, Region: s.mesh.regions[i.FailureDomain]})
	}
	for _, name := range s.mesh.unlistedInstances() {
		instances = append(instances, streamversion.Instance{Name: name, FailureDomain: unknownDomain + name, Region: region})
	}
	fleet = streamversion.NewFleet(instances)
	s.mu.Lock()
	s.fleet, s.fleetVersion = fleet, version
	s.mu.Unlock()
	return fleet, region
}

// send sends a packet to instances. The ConfirmReply makes releases that don't know its fields ignore
// it.
func (s *streamVersions) send(p peer.Packet, addresses []string) {
	p.ConfirmReply = 1
	s.vars.Add("stream_bytes_sent", int64(s.mesh.sendApart(p, addresses)))
}

// Find implements pipeline.StreamVersions.
func (s *streamVersions) Find(ctx context.Context, key streamversion.Key) (streamversion.Beginning, streamversion.State) {
	began := s.now()
	if b, state := s.local(key); state != streamversion.Unknown {
		s.vars.Add("stream_searches_local", 1)
		return b, state
	}
	search := s.start(key)
	defer s.end(search)
	b, state := s.await(ctx, search)
	s.vars.Add("stream_searches_"+state.String(), 1)
	s.log.Info("stream searched", "key", hex.EncodeToString(key[:]), "state", state.String(), "took_ms", s.now().Sub(began).Milliseconds())
	return b, state
}

// Only implements pipeline.StreamVersions.
func (s *streamVersions) Only(ctx context.Context, pool string) (string, bool) {
	register := s.register.Load()
	if register == nil {
		return "", false
	}
	version, found := register.only(ctx, pool)
	if found {
		s.vars.Add("streams_of_only_version", 1)
	}
	return version, found
}

// Recorded implements pipeline.StreamVersions.
func (s *streamVersions) Recorded(ctx context.Context, key streamversion.Key) (streamversion.Beginning, streamversion.State) {
	reader := s.recorded.Load()
	if reader == nil {
		return streamversion.Beginning{}, streamversion.Unread
	}
	b, state := reader.find(ctx, key)
	if state == streamversion.Known {
		s.keep(b)
	}
	s.vars.Add("stream_records_"+strings.ReplaceAll(state.String(), " ", "_"), 1)
	return b, state
}

func (s *streamVersions) local(key streamversion.Key) (streamversion.Beginning, streamversion.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Find(s.now(), key)
}

// start begins a search at the owners of a beginning but this instance.
func (s *streamVersions) start(key streamversion.Key) *streamSearch {
	near, far := s.owners(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSearch++
	search := &streamSearch{
		Search: streamversion.NewSearch(s.now(), s.others(near), s.others(far)), id: s.lastSearch, key: key, answered: make(chan struct{}, 1),
	}
	s.searches[search.id] = search
	return search
}

// others returns the instances but this one.
func (s *streamVersions) others(names []string) []string {
	var others []string
	for _, name := range names {
		if name != s.mesh.instance {
			others = append(others, name)
		}
	}
	return others
}

func (s *streamVersions) end(search *streamSearch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.searches, search.id)
}

// await asks the owners until one knows the beginning, or the search ends. The beginning may also
// reach this instance meanwhile.
func (s *streamVersions) await(ctx context.Context, search *streamSearch) (streamversion.Beginning, streamversion.State) {
	for {
		if b, state, ended := s.step(search); ended {
			return b, state
		}
		if !wait.Signalled(ctx, search.answered, searchTick) && ctx.Err() != nil {
			return streamversion.Beginning{}, streamversion.Unknown
		}
	}
}

// step advances a search and reports whether it has ended.
func (s *streamVersions) step(search *streamSearch) (streamversion.Beginning, streamversion.State, bool) {
	s.mu.Lock()
	ask, round := search.Tick(s.now())
	b, state, ended := search.Result()
	if local, known := s.table.Find(s.now(), search.key); known != streamversion.Unknown {
		b, state, ended = local, known, true
	}
	s.mu.Unlock()
	if ended {
		return b, state, true
	}
	if len(ask) > 0 {
		question := streamversion.Question{Search: search.id, Round: round, Key: search.key}
		s.send(peer.Packet{StreamQuestions: []streamversion.Question{question}}, s.mesh.addressesOf(ask))
	}
	return b, state, false
}

// receive takes what a packet of another instance says of streams. It reports whether the packet says
// anything of them, and so nothing else. It is called on the event loop of the datagrams.
func (s *streamVersions) receive(p peer.Packet) (consumed bool) {
	if s == nil || len(p.Beginnings)+len(p.StreamQuestions)+len(p.StreamAnswers) == 0 && p.StreamRecords == nil {
		return false
	}
	if records := s.records.Load(); records != nil && p.StreamRecords != nil {
		records.receive(*p.StreamRecords)
	}
	for _, b := range p.Beginnings {
		s.keep(b)
	}
	if answers := s.answers(p.StreamQuestions); len(answers) > 0 {
		s.send(peer.Packet{StreamAnswers: answers}, []string{p.Address})
	}
	for _, a := range p.StreamAnswers {
		s.answered(p.From, a)
	}
	return true
}

// answers answers questions by what this instance keeps.
func (s *streamVersions) answers(questions []streamversion.Question) []streamversion.Answer {
	var answers []streamversion.Answer
	for _, q := range questions {
		b, state := s.local(q.Key)
		answers = append(answers, streamversion.Answer{Search: q.Search, Round: q.Round, State: state, Beginning: b})
	}
	return answers
}

// answered passes an answer on to its search. One that names another stream is of an earlier process.
func (s *streamVersions) answered(from string, a streamversion.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	search := s.searches[a.Search]
	if search == nil || a.State == streamversion.Known && a.Beginning.Key != search.key {
		return
	}
	search.Answered(from, a)
	select {
	case search.answered <- struct{}{}:
	default:
	}
}
