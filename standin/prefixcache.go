package standin

const (
	bytesPerToken = 4
	// prefixBytes is the length of prompt that one cache entry covers.
	prefixBytes   = 256
	prefixEntries = 512
	// eventGap loses every so many cache events.
	eventGap   = 7
	eventsHeld = 256
)

// prefixCache is a bounded cache of prompt prefixes, oldest out first.
type prefixCache struct {
	entries map[string]bool
	order   []string
	log     []cacheEvent
	seq     int64
}

type cacheEvent struct {
	Seq    int64  `json:"seq"`
	Op     string `json:"op"`
	Unit   string `json:"unit"`
	Prefix string `json:"prefix"`
}

func newPrefixCache() prefixCache { return prefixCache{entries: map[string]bool{}} }

// touch returns how many prompt tokens were cached and caches the prefix.
func (c *prefixCache) touch(unit, prompt string) int {
	if len(prompt) < prefixBytes {
		return 0
	}
	key := unit + "\x00" + prompt[:prefixBytes]
	if c.entries[key] {
		return prefixBytes / bytesPerToken
	}
	if len(c.order) == prefixEntries {
		c.note("evict", c.order[0])
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	c.entries[key] = true
	c.order = append(c.order, key)
	c.note("store", key)
	return 0
}

// note logs an event; some are lost, which leaves a gap in seq.
func (c *prefixCache) note(op, key string) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	unit, prefix := key[:len(key)-prefixBytes-1], key[len(key)-prefixBytes:]
	c.log = append(c.log, cacheEvent{Seq: c.seq, Op: op, Unit: unit, Prefix: prefix})
	if len(c.log) > eventsHeld {
		c.log = c.log[1:]
	}
}

func (c *prefixCache) events() []cacheEvent { return append([]cacheEvent{}, c.log...) }
