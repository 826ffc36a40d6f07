package peer

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/condition"
	"github.com/eiderspring/eiderspring/credit"
	"github.com/eiderspring/eiderspring/outlook"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/quarantine"
	"github.com/eiderspring/eiderspring/streamversion"
)

// PacketVersion is the version of the packet's encoding. A neighbouring release may add
// fields, which are ignored; a packet of another version is rejected.
const PacketVersion = 1

// MaxPacketBytes is the maximum size of an encoded packet. It fits one unfragmented
// datagram: of the 1,500 bytes of an Ethernet frame, IP and UDP headers take 28 and the
// encryption about 40.
const MaxPacketBytes = 1400

// Packet is the message that an instance sends to others several times a second. It
// reports the sender's load at endpoints, the demand for units and, from the instance
// that places units, their placement. A lost packet only delays the information.
type Packet struct {
	Version int `cbor:"1,keyasint"`
	// From identifies the sender and Process its current process; Address is where it
	// receives packets.
	From    string `cbor:"2,keyasint"`
	Process string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Seq increases with every packet of the process.
	Seq uint64 `cbor:"5,keyasint"`
	// Loads replaces the loads that the sender reported before.
	Loads []EndpointLoad `cbor:"6,keyasint,omitempty"`
	// Demands lists the units that were requested recently.
	Demands []UnitDemand `cbor:"7,keyasint,omitempty"`
	// DemandsRunning is UnitDemand.Running of Demands, in the same order; absent if all are 0.
	DemandsRunning []int `cbor:"46,keyasint,omitempty"`
	// Placements are sent by the instance that places units. A packet with Placements
	// or Totals carries no load or demand of the sender itself.
	Placements []Placement `cbor:"8,keyasint,omitempty"`
	// Suspects are endpoints at which requests of the sender have failed recently.
	Suspects []string `cbor:"10,keyasint,omitempty"`
	// Totals is the load of all instances together, sent by the coordinator of a large
	// fleet; Instances is the number of instances it has received from recently.
	Totals    []EndpointLoad `cbor:"11,keyasint,omitempty"`
	Instances int            `cbor:"12,keyasint,omitempty"`
	// Revision is the settings revision in force at the sender.
	Revision int64 `cbor:"13,keyasint,omitempty"`
	// Withdrawn are endpoints that have recently begun to leave or been removed.
	Withdrawn []string `cbor:"14,keyasint,omitempty"`
	// SaidLeaving are endpoints that have recently said to the sender that they leave;
	// SaidLeavingStarts are their start times, as PlacedStarts.
	SaidLeaving       []string `cbor:"57,keyasint,omitempty"`
	SaidLeavingStarts []int64  `cbor:"58,keyasint,omitempty"`
	// StoreCurrent, sent with Instances, is set when the store has answered the sender
	// recently, so that the sender knows of newer settings and leaving endpoints.
	StoreCurrent bool `cbor:"16,keyasint,omitempty"`
	// Replaced are endpoints at whose address another incarnation has answered.
	Replaced []string `cbor:"17,keyasint,omitempty"`
	// PlacedStarts, WithdrawnStarts and ReplacedStarts are the start times of the
	// endpoints in Placements, Withdrawn and Replaced, in the same order, in Unix
	// milliseconds; absent if none of the endpoints reports one.
	PlacedStarts    []int64 `cbor:"18,keyasint,omitempty"`
	WithdrawnStarts []int64 `cbor:"19,keyasint,omitempty"`
	ReplacedStarts  []int64 `cbor:"20,keyasint,omitempty"`
	// EndpointsDigest, sent with StoreCurrent, is a digest of the endpoints that the
	// sender lists and of their states. Equal digests mean equal lists.
	EndpointsDigest uint64 `cbor:"21,keyasint,omitempty"`
	// Leaving is set when the sender has begun a planned stop.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Endings reports requests during which endpoints have ended.
	Endings []quarantine.Report `cbor:"22,keyasint,omitempty"`
	// EndingsDigest is a digest of all such reports that the sender has.
	EndingsDigest uint64 `cbor:"23,keyasint,omitempty"`
	// ConfirmRequest is the token of a confirmation request. The instance that places units
	// returns it as ConfirmReply to the process ConfirmReplyTo once it knows that settings
	// revision ConfirmedRevision was the newest after it received the request. Such a reply
	// carries nothing else.
	ConfirmRequest    uint64 `cbor:"24,keyasint,omitempty"`
	ConfirmReply      uint64 `cbor:"25,keyasint,omitempty"`
	ConfirmReplyTo    string `cbor:"26,keyasint,omitempty"`
	ConfirmedRevision int64  `cbor:"27,keyasint,omitempty"`
	// Usage is the accounts' usage at the sender, addressed to the aggregator UsageFor.
	Usage    []allowance.Usage      `cbor:"28,keyasint,omitempty"`
	UsageFor allowance.AggregatorID `cbor:"29,keyasint,omitempty"`
	// Allowances, sent with Instances, are the accounts' shares as computed by Aggregator.
	Allowances []allowance.Share      `cbor:"30,keyasint,omitempty"`
	Aggregator allowance.AggregatorID `cbor:"31,keyasint,omitempty"`
	// NoAggregator is set when the sender has never received from an aggregator.
	NoAggregator bool `cbor:"33,keyasint,omitempty"`
	// Limits are the request limits that endpoints have reported recently.
	Limits []permit.LimitReport `cbor:"34,keyasint,omitempty"`
	// PermitRequests requests permits, Grants answers such requests. A packet with either
	// carries nothing else but a ConfirmReply, which makes releases without permits ignore
	// it.
	PermitRequests []permit.Request `cbor:"35,keyasint,omitempty"`
	Grants         []permit.Grant   `cbor:"36,keyasint,omitempty"`
	// CreditAsks ask for places of contended endpoints, CreditGrants answer such asks. A packet
	// with either carries nothing else but a ConfirmReply, as one with permits.
	CreditAsks   []credit.Ask   `cbor:"40,keyasint,omitempty"`
	CreditGrants []credit.Grant `cbor:"41,keyasint,omitempty"`
	// PoolSamples are how long endpoints took for the sender's requests since its last ones.
	// PoolModes, sent with Instances, is what the coordinator has decided by all of them.
	PoolSamples []credit.PoolSample `cbor:"62,keyasint,omitempty"`
	PoolModes   []credit.PoolMode   `cbor:"63,keyasint,omitempty"`
	// Evacuated are the evacuated failure domains as of the given revision and era of the
	// store; a packet without a revision carries no information about them.
	Evacuated         []string `cbor:"37,keyasint,omitempty"`
	EvacuatedEra      int64    `cbor:"38,keyasint,omitempty"`
	EvacuatedRevision int64    `cbor:"39,keyasint,omitempty"`
	// Conditions is what the sender has seen of endpoints that are not usual, ConditionTotals
	// the same of all instances, sent by the coordinator.
	Conditions      []condition.Report `cbor:"48,keyasint,omitempty"`
	ConditionTotals []condition.Report `cbor:"49,keyasint,omitempty"`
	// Withheld are units that endpoints withhold.
	Withheld []condition.WithheldReport `cbor:"50,keyasint,omitempty"`
	// Starts and Promises report to the instance that places units what its forecasts need.
	Starts   []outlook.Starts  `cbor:"52,keyasint,omitempty"`
	Promises []outlook.Promise `cbor:"64,keyasint,omitempty"`
	// Outlook, sent with Instances, is when new requests can start, for units for which that is
	// not at once; Returns are when refused callers come back.
	Outlook []outlook.Entry  `cbor:"54,keyasint,omitempty"`
	Returns []outlook.Return `cbor:"65,keyasint,omitempty"`
	// Beginnings are where streams began, StreamQuestions ask for one and StreamAnswers answer
	// that. A packet with any of them carries nothing else but a ConfirmReply, as one with
	// permits.
	Beginnings      []streamversion.Beginning `cbor:"59,keyasint,omitempty"`
	StreamQuestions []streamversion.Question  `cbor:"60,keyasint,omitempty"`
	StreamAnswers   []streamversion.Answer    `cbor:"61,keyasint,omitempty"`
	// StreamRecords are beginnings that the receiver is to write to the store. A packet with them carries
	// nothing else but a ConfirmReply, as one with Beginnings.
	StreamRecords *streamversion.RecordRequest `cbor:"66,keyasint,omitempty"`
	// Era is the newest era of the store that the sender has seen.
	Era int64 `cbor:"32,keyasint,omitempty"`
}

// EndpointLoad is the load in flight of one instance at an endpoint.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Running is the number of requests, PrefillMicros the estimated time to process the
	// prompts of those without an answer yet, in microseconds.
	Running, PrefillMicros int64
}

// EncodedSize returns the entry's size in a packet in bytes.
func (l EndpointLoad) EncodedSize() int {
	return 1 + cborTextSize(l.Endpoint) + cborHeadSize(l.Running) + cborHeadSize(l.PrefillMicros)
}

// cborHeadSize returns the size in bytes of the head of a CBOR item with a non-negative
// argument: a whole integer, or the part of a text string before its bytes (RFC 8949,
// section 3).
func cborHeadSize(argument int64) int {
	switch {
	case argument < 24:
		return 1
	case argument <= math.MaxUint8:
		return 2
	case argument <= math.MaxUint16:
		return 3
	case argument <= math.MaxUint32:
		return 5
	default:
		return 9
	}
}

// UnitDemand is the demand for one unit at one instance.
type UnitDemand struct {
	_    struct{} `cbor:",toarray"`
	Unit string
	// Work is the number of tokens requested since the process began.
	Work float64
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	// Running is the number of requests at endpoints. On the wire it is in
	// Packet.DemandsRunning, because neighbouring releases reject an array that is longer
	// than theirs.
	Running int `cbor:"-"`
}

// EncodedSize returns an upper bound of the entry's size in a packet in bytes.
func (d UnitDemand) EncodedSize() int {
	// A float of nine bytes, and Running in DemandsRunning.
	const work = 9
	return 1 + cborTextSize(d.Unit) + work + cborHeadSize(int64(d.Waiting)) + cborHeadSize(int64(d.Running))
}

// Placement lists the units on an endpoint, as reported by the instance that places
// units there.
type Placement struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the epoch of the reporting instance's lease.
	Epoch    int64
	Endpoint string
	// Units are the units on the endpoint, Draining those of them that get no new requests.
	Units, Draining []string
	// StartedAtMS is when the endpoint was started, in Unix milliseconds; 0 if it does
	// not report that. On the wire it is in Packet.PlacedStarts, because neighbouring
	// releases reject an array that is longer than theirs.
	StartedAtMS int64 `cbor:"-"`
}

// EncodedSize returns an upper bound of the entry's size in a packet in bytes.
func (p Placement) EncodedSize() int {
	// The start time is an integer of up to nine bytes in PlacedStarts.
	const start = 9
	n := 1 + cborHeadSize(p.Epoch) + cborTextSize(p.Endpoint) + start
	for _, units := range [][]string{p.Units, p.Draining} {
		n += cborHeadSize(int64(len(units)))
		for _, unit := range units {
			n += cborTextSize(unit)
		}
	}
	return n
}

// cborTextSize returns the size in bytes of an encoded text string.
func cborTextSize(s string) int { return cborHeadSize(int64(len(s))) + len(s) }

var packetDecoder = mustPacketDecoder()

func mustPacketDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodePacket encodes a packet as CBOR (RFC 8949).
func EncodePacket(p Packet) ([]byte, error) {
	p.PlacedStarts, p.DemandsRunning = placedStarts(p.Placements), demandsRunning(p.Demands)
	return cbor.Marshal(p)
}

// placedStarts returns the start times of the endpoints of placements; nil if none is
// known.
func placedStarts(placements []Placement) []int64 {
	starts := make([]int64, len(placements))
	known := false
	for i, p := range placements {
		starts[i] = p.StartedAtMS
		known = known || p.StartedAtMS != 0
	}
	if !known {
		return nil
	}
	return starts
}

// demandsRunning returns the requests at endpoints of demands; nil if there are none.
func demandsRunning(demands []UnitDemand) []int {
	running := make([]int, len(demands))
	known := false
	for i, d := range demands {
		running[i] = d.Running
		known = known || d.Running > 0
	}
	if !known {
		return nil
	}
	return running
}

// DecodePacket decodes a packet. It returns ErrTooLarge for more than MaxPacketBytes and
// ErrVersion for another version.
func DecodePacket(data []byte) (Packet, error) {
	var p Packet
	if len(data) > MaxPacketBytes {
		return p, ErrTooLarge
	}
	if err := packetDecoder.Unmarshal(data, &p); err != nil {
		return p, fmt.Errorf("packet: %w", err)
	}
	if p.Version != PacketVersion {
		return p, ErrVersion
	}
	for i := range min(len(p.Placements), len(p.PlacedStarts)) {
		p.Placements[i].StartedAtMS = p.PlacedStarts[i]
	}
	for i := range min(len(p.Demands), len(p.DemandsRunning)) {
		p.Demands[i].Running = max(p.DemandsRunning[i], 0)
	}
	p.PlacedStarts, p.DemandsRunning = nil, nil
	return p, nil
}
