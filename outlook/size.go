package outlook

// Sizes of encoded CBOR items in bytes: the head of an item, a short integer or text of unknown
// value is at most itemBytes long.
const (
	itemBytes  = 5
	arrayBytes = 1
)

func textBytes(s string) int { return 2 + len(s) }

// EncodedSize returns an upper bound of the message's size in a packet in bytes.
func (s Starts) EncodedSize() int {
	return arrayBytes + textBytes(s.Unit) + 2*itemBytes + len(s.Waiting)*2*itemBytes
}

// EncodedSize returns an upper bound of the message's size in a packet in bytes.
func (p Promise) EncodedSize() int { return arrayBytes + textBytes(p.Unit) + 3*itemBytes }

// EncodedSize returns an upper bound of the message's size in a packet in bytes.
func (r Return) EncodedSize() int { return arrayBytes + 3*itemBytes }

// EncodedSize returns an upper bound of the message's size in a packet in bytes.
func (e Entry) EncodedSize() int {
	return arrayBytes + textBytes(e.Unit) + 5*itemBytes + len(e.Levels)*(arrayBytes+2*itemBytes)
}
