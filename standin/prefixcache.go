package standin

const (
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that one cache entry covers.
	prefixBytes = 256
	maxPrefixes = 512
	// Every event whose sequence number is a multiple of lostEventInterval is lost.
	lostEventInterval = 7
	maxCacheEvents    = 256
)

// prefixCache is a bounded cache of prompt prefixes that evicts the oldest one first.
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

// cachedTokens returns how many tokens of the prompt are cached, and adds its prefix
// to the cache.
func (c *prefixCache) cachedTokens(unit, prompt string) int {
	if len(prompt) < prefixBytes {
		return 0
	}
	key := unit + "\x00" + prompt[:prefixBytes]
	if c.entries[key] {
		return prefixBytes / bytesPerToken
	}
	if len(c.order) == maxPrefixes {
		c.logEvent("evict", c.order[0])
		delete(c.entries, c.order[0])
		c.order = c.order[1:]
	}
	c.entries[key] = true
	c.order = append(c.order, key)
	c.logEvent("store", key)
	return 0
}

// logEvent appends an event to the log. A lost event leaves a gap in the sequence
// numbers.
func (c *prefixCache) logEvent(op, key string) {
	c.seq++
	if c.seq%lostEventInterval == 0 {
		return
	}
	unit, prefix := key[:len(key)-prefixBytes-1], key[len(key)-prefixBytes:]
	c.log = append(c.log, cacheEvent{Seq: c.seq, Op: op, Unit: unit, Prefix: prefix})
	if len(c.log) > maxCacheEvents {
		c.log = c.log[1:]
	}
}

func (c *prefixCache) events() []cacheEvent { return append([]cacheEvent{}, c.log...) }
