package daemon

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/eiderspring/eiderspring/jsonc"
	"github.com/eiderspring/eiderspring/peer"
	"github.com/eiderspring/eiderspring/routing"
)

// Config is the configuration of one instance, as read from its file.
type Config struct {
	// Instance is the instance's name on the platform's list.
	Instance string `json:"instance"`
	// Incarnation is the instance's incarnation on the platform's list; it changes when
	// the instance is restarted.
	Incarnation   string `json:"incarnation"`
	FailureDomain string `json:"failureDomain"`
	// Callers and Operators are the addresses to listen on for callers and operators.
	Callers   string   `json:"callers"`
	Operators string   `json:"operators"`
	Platform  Platform `json:"platform"`
	Peers     Peers    `json:"peers"`
	// RoutingPolicy names one of routing.Policies.
	RoutingPolicy string `json:"routingPolicy"`
	Limits        Limits `json:"limits"`
	// LogLevel is debug, info or error.
	LogLevel string `json:"logLevel"`
	// Quarantine limits requests that terminate endpoints.
	Quarantine QuarantineConfig `json:"quarantine"`
}

// Platform holds the URLs of the platform's services.
type Platform struct {
	ObjectAPI string `json:"objectAPI"`
	Members   string `json:"members"`
}

// Peers holds the addresses at which other instances reach this one, and the keys used
// among them.
type Peers struct {
	// Datagrams and Streams are UDP addresses of the form IP:PORT.
	Datagrams string `json:"datagrams"`
	Streams   string `json:"streams"`
	// Keys are the initial keys, in hex, the one to seal with first; keys in the
	// settings take precedence over them.
	Keys []string `json:"keys"`
}

// Limits bounds the work that one instance accepts.
type Limits struct {
	HeaderBytes int `json:"headerBytes"`
	BodyBytes   int `json:"bodyBytes"`
	IdleMS      int `json:"idleMS"`
	// ReadMS bounds the time to read a request, in milliseconds.
	ReadMS int `json:"readMS"`
	// QueueRequests and QueueBytes bound the queue of each pool.
	QueueRequests int `json:"queueRequests"`
	QueueBytes    int `json:"queueBytes"`
	// LoadPollsPerSecond bounds the requests for load reports.
	LoadPollsPerSecond float64 `json:"loadPollsPerSecond"`
	// FreshnessMS is for how long an instance serves by its settings without contact
	// with the object API or any peer, in milliseconds.
	FreshnessMS int `json:"freshnessMS"`
	// DrainGraceMS is for how long a planned stop still accepts requests, which the load
	// balancer sends until it notices that the instance is not ready, in milliseconds.
	DrainGraceMS int `json:"drainGraceMS"`
	// DrainMS bounds a planned stop, in milliseconds.
	DrainMS int `json:"drainMS"`
}

// DefaultConfig returns the values of fields that a file omits.
func DefaultConfig() Config {
	return Config{
		RoutingPolicy: routing.DefaultPolicy,
		LogLevel:      "info",
		Quarantine:    defaultQuarantine(),
		Limits: Limits{
			HeaderBytes: 32 << 10, BodyBytes: 4 << 20, IdleMS: 60_000, ReadMS: 15_000,
			QueueRequests: 1024, QueueBytes: 64 << 20, LoadPollsPerSecond: 10, FreshnessMS: 4_000, DrainGraceMS: 1_500, DrainMS: 120_000,
		},
	}
}

// LoadConfig reads a configuration file. All faults are reported in one *jsonc.Error.
func LoadConfig(path string) (Config, error) { return loadFile(path, ParseConfig) }

// ParseConfig reads and checks a configuration text.
func ParseConfig(file string, src []byte) (Config, error) {
	return parseChecked(file, src, DefaultConfig(), (*configChecker).check)
}

// loadFile reads a file and parses it with parse.
func loadFile[T any](path string, parse func(file string, src []byte) (T, error)) (T, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return parse(path, src)
}

// parseChecked decodes a text over the defaults in cfg and checks the result. All faults are
// reported in one *jsonc.Error.
func parseChecked[T any](file string, src []byte, cfg T, check func(*configChecker, T)) (T, error) {
	doc, err := jsonc.Parse(file, src)
	if err != nil {
		return cfg, err
	}
	if err := doc.Decode(&cfg); err != nil {
		return cfg, err
	}
	c := configChecker{doc: doc}
	check(&c, cfg)
	if len(c.faults) > 0 {
		return cfg, &jsonc.Error{Faults: c.faults}
	}
	return cfg, nil
}

// configChecker collects the faults of one configuration text.
type configChecker struct {
	doc    *jsonc.Document
	faults []jsonc.Fault
}

func (c *configChecker) addFault(path, reason string) {
	c.faults = append(c.faults, c.doc.Fault(path, reason))
}

func (c *configChecker) check(cfg Config) {
	c.required("/instance", cfg.Instance)
	c.required("/incarnation", cfg.Incarnation)
	c.required("/failureDomain", cfg.FailureDomain)
	c.quarantine(cfg.Quarantine)
	c.address("/callers", cfg.Callers)
	c.address("/operators", cfg.Operators)
	c.url("/platform/objectAPI", cfg.Platform.ObjectAPI)
	c.url("/platform/members", cfg.Platform.Members)
	c.address("/peers/datagrams", cfg.Peers.Datagrams)
	c.address("/peers/streams", cfg.Peers.Streams)
	if len(cfg.Peers.Keys) == 0 {
		c.addFault("/peers/keys", "at least one is needed")
	}
	for i, key := range cfg.Peers.Keys {
		if _, err := peer.ParseKey(key); err != nil {
			c.addFault(fmt.Sprintf("/peers/keys/%d", i), err.Error())
		}
	}
	c.choices(cfg.RoutingPolicy, cfg.LogLevel)
	c.limits(cfg.Limits)
}

func (c *configChecker) required(path, text string) {
	if text == "" {
		c.addFault(path, "missing")
	}
}

func (c *configChecker) choices(policy, level string) {
	if _, known := routing.Policies()[policy]; !known {
		c.addFault("/routingPolicy", "no such policy")
	}
	if _, known := logLevels[level]; !known {
		c.addFault("/logLevel", "must be debug, info or error")
	}
}

func (c *configChecker) positive(path string, n float64) {
	if n <= 0 {
		c.addFault(path, "must be above 0")
	}
}

func (c *configChecker) limits(l Limits) {
	for _, bound := range []struct {
		path string
		n    float64
	}{
		{"headerBytes", float64(l.HeaderBytes)}, {"bodyBytes", float64(l.BodyBytes)}, {"idleMS", float64(l.IdleMS)},
		{"readMS", float64(l.ReadMS)}, {"queueRequests", float64(l.QueueRequests)}, {"queueBytes", float64(l.QueueBytes)},
		{"loadPollsPerSecond", l.LoadPollsPerSecond}, {"freshnessMS", float64(l.FreshnessMS)}, {"drainGraceMS", float64(l.DrainGraceMS)},
		{"drainMS", float64(l.DrainMS)},
	} {
		c.positive("/limits/"+bound.path, bound.n)
	}
}

func (c *configChecker) address(path, address string) {
	if address == "" {
		c.addFault(path, "missing address")
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		c.addFault(path, "must be IP:PORT: "+err.Error())
		return
	}
	if net.ParseIP(host) == nil {
		c.addFault(path, "must be an IP number and a port")
	}
}

func (c *configChecker) url(path, text string) {
	if text == "" {
		c.addFault(path, "missing address")
		return
	}
	if u, err := url.Parse(text); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.addFault(path, "must be an http or https URL")
	}
}

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
