package peer

import (
	"fmt"
	"math"

	"github.com/fxamacker/cbor/v2"

	"github.com/eiderspring/eiderspring/allowance"
	"github.com/eiderspring/eiderspring/permit"
	"github.com/eiderspring/eiderspring/quarantine"
)

// PacketVersion is the version of the packet's form. A neighbouring release
// may add fields, which this one ignores; another version is refused.
const PacketVersion = 1

// MaxPacketBytes bounds an encoded packet, so that it fits one datagram unfragmented:
// of 1,500 bytes of an Ethernet frame 28 are headers of IP and UDP and about 40 the seal.
const MaxPacketBytes = 1400

// Packet is what an instance tells others several times a second: what it has
// under way at endpoints, what it is asked for, and, from the instance that
// places units, where they are. A lost packet costs only time.
type Packet struct {
	Version int `cbor:"1,keyasint"`
	// From names the sender, Process this run of it, and Address where it
	// receives packets.
	From    string `cbor:"2,keyasint"`
	Process string `cbor:"3,keyasint"`
	Address string `cbor:"4,keyasint"`
	// Seq grows with every packet of the process.
	Seq uint64 `cbor:"5,keyasint"`
	// Loads replaces what the sender told before.
	Loads []EndpointLoad `cbor:"6,keyasint,omitempty"`
	// Demands are units that were asked for lately.
	Demands []UnitDemand `cbor:"7,keyasint,omitempty"`
	// Placements come from the instance that places units. A packet with some, or
	// with Totals, tells nothing of the sender's own.
	Placements []Placement `cbor:"8,keyasint,omitempty"`
	// Suspects are endpoints at which requests of the sender have failed lately.
	Suspects []string `cbor:"10,keyasint,omitempty"`
	// Totals is what all instances together have under way, from the instance that
	// gathers it in a large fleet; Instances is how many it has heard lately.
	Totals    []EndpointLoad `cbor:"11,keyasint,omitempty"`
	Instances int            `cbor:"12,keyasint,omitempty"`
	// Revision is that of the settings in force at the sender.
	Revision int64 `cbor:"13,keyasint,omitempty"`
	// Withdrawn are endpoints that have begun to leave, or have gone, lately.
	Withdrawn []string `cbor:"14,keyasint,omitempty"`
	// Refused are marks of requests that the sender, or in a large fleet anybody,
	// has refused since its last packet.
	Refused []uint32 `cbor:"15,keyasint,omitempty"`
	// StoreCurrent tells, with Instances, that the store has answered the sender
	// lately, so that it knows of newer settings and leaving endpoints.
	StoreCurrent bool `cbor:"16,keyasint,omitempty"`
	// Replaced are endpoints at whose addresses other incarnations have answered.
	Replaced []string `cbor:"17,keyasint,omitempty"`
	// PlacedStarts, WithdrawnStarts and GoneStarts are when the endpoints of
	// Placements, Withdrawn and Gone were started, in the same order; absent where
	// none of them tells.
	PlacedStarts    []int64 `cbor:"18,keyasint,omitempty"`
	WithdrawnStarts []int64 `cbor:"19,keyasint,omitempty"`
	ReplacedStarts  []int64 `cbor:"20,keyasint,omitempty"`
	// EndpointsDigest stands, with Current, for who the endpoints are that the sender lists,
	// and in what state: whoever comes to the same number lists the same.
	EndpointsDigest uint64 `cbor:"21,keyasint,omitempty"`
	// Leaving tells that the sender makes a planned stop.
	Leaving bool `cbor:"9,keyasint,omitempty"`
	// Endings are requests under which endpoints have ended.
	Endings []quarantine.Report `cbor:"22,keyasint,omitempty"`
	// EndingsDigest stands for all that the sender knows of them.
	EndingsDigest uint64 `cbor:"23,keyasint,omitempty"`
	// ConfirmRequest is a token that the instance which places units answers with Echo, to the process
	// EchoTo, once it knows that revision Confirmed of the settings was the newest after it
	// had heard the ConfirmRequest. Such an answer tells nothing else.
	ConfirmRequest    uint64 `cbor:"24,keyasint,omitempty"`
	ConfirmReply      uint64 `cbor:"25,keyasint,omitempty"`
	ConfirmReplyTo    string `cbor:"26,keyasint,omitempty"`
	ConfirmedRevision int64  `cbor:"27,keyasint,omitempty"`
	// Usage is what accounts have asked of the sender, for the process UsageFor.
	Usage    []allowance.Usage      `cbor:"28,keyasint,omitempty"`
	UsageFor allowance.AggregatorID `cbor:"29,keyasint,omitempty"`
	// Allowances tells, with Instances, what accounts may have, by the process Adder.
	Allowances []allowance.Share      `cbor:"30,keyasint,omitempty"`
	Aggregator allowance.AggregatorID `cbor:"31,keyasint,omitempty"`
	// NoAggregator tells that the sender has never heard a process that adds up.
	NoAggregator bool `cbor:"33,keyasint,omitempty"`
	// Limits is what endpoints have said lately of the requests that they take.
	Limits []permit.LimitReport `cbor:"34,keyasint,omitempty"`
	// PermitRequests asks for permits, Grants answers. Such a packet tells nothing else, and
	// has an Echo, by which releases without permits leave it alone.
	PermitRequests []permit.Request `cbor:"35,keyasint,omitempty"`
	Grants         []permit.Grant   `cbor:"36,keyasint,omitempty"`
	// Evacuated are the failure domains that are evacuated, as of a revision of the store
	// in one of its eras; a packet without the revision says nothing of them.
	Evacuated         []string `cbor:"37,keyasint,omitempty"`
	EvacuatedEra      int64    `cbor:"38,keyasint,omitempty"`
	EvacuatedRevision int64    `cbor:"39,keyasint,omitempty"`
	// Era is the newest era of the store that the sender has seen.
	Era int64 `cbor:"32,keyasint,omitempty"`
}

// EndpointLoad is what one instance has under way at an endpoint.
type EndpointLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Running is requests, PrefillMicros the work of reading the prompts of those that
	// have had no answer, in microseconds.
	Running, PrefillMicros int64
}

// EncodedSize is what the entry takes in a packet.
func (l EndpointLoad) EncodedSize() int {
	return 1 + textBytes(l.Endpoint) + cborHead(l.Running) + cborHead(l.PrefillMicros)
}

// cborHead is the length of the head of a CBOR item with an argument of 0 or more: the
// whole of an integer, and what goes before the bytes of a text (RFC 8949, section 3).
func cborHead(argument int64) int {
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

// UnitDemand is what one instance is asked for.
type UnitDemand struct {
	_    struct{} `cbor:",toarray"`
	Unit string
	// Work is the tokens asked for since the process began.
	Work float64
	// Waiting is the requests that wait for a replica.
	Waiting int
}

// Placement is what an endpoint holds, by the word of the instance that places
// units there.
type Placement struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is that of the instance's lease.
	Epoch    int64
	Endpoint string
	// Units are what it holds, Draining those of them that get no new requests.
	Units, Draining []string
	// StartedAtMS is when the endpoint was started, 0 where it does not tell. On the
	// wire it stands in PlacedStarts, as neighbouring releases refuse an array that is
	// longer than theirs.
	StartedAtMS int64 `cbor:"-"`
}

// EncodedSize is what the entry takes in a packet, at most.
func (p Placement) EncodedSize() int {
	// Its start is an integer of up to nine bytes in a list of its own.
	const start = 9
	n := 1 + cborHead(p.Epoch) + textBytes(p.Endpoint) + start
	for _, units := range [][]string{p.Units, p.Draining} {
		n += cborHead(int64(len(units)))
		for _, unit := range units {
			n += textBytes(unit)
		}
	}
	return n
}

// textBytes is what a text takes.
func textBytes(s string) int { return cborHead(int64(len(s))) + len(s) }

var packetDecoder = mustPacketDecoder()

func mustPacketDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 8}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodePacket returns the packet's encoding.
func EncodePacket(p Packet) ([]byte, error) {
	p.PlacedStarts = placedStarts(p.Placements)
	return cbor.Marshal(p)
}

// placedStarts is when the endpoints of placements were started; nil where none of
// them tells.
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

// DecodePacket reads a packet.
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
	p.PlacedStarts = nil
	return p, nil
}
