package daemon

import (
	"github.com/eiderspring/eiderspring/routing"
)

// NodeConfig is the configuration of one instance on a user's platform, as read from its
// file.
type NodeConfig struct {
	// Instance is the instance's name, which stays the same after a restart.
	Instance      string `json:"instance"`
	FailureDomain string `json:"failureDomain"`
	// Regions maps each failure domain to its region.
	Regions map[string]string `json:"regions"`
	// Callers, Readiness and Operators are the addresses to listen on.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Operators string `json:"operators"`
	// ObjectStore is the URL of the platform's object store.
	ObjectStore string `json:"objectStore"`
	// PeerPorts are the first and last port of the range for traffic among instances.
	PeerPorts []int `json:"peerPorts"`
	// RoutingPolicy names one of routing.Policies.
	RoutingPolicy string `json:"routingPolicy"`
	// LogLevel is debug, info or error.
	LogLevel string        `json:"logLevel"`
	Retries  NodeRetry     `json:"retries"`
	Orders   NodeOrders    `json:"orders"`
	Fresh    NodeFreshness `json:"fresh"`
	// Allowances bounds by how much accounts may briefly exceed their allowances.
	Allowances AllowanceConfig `json:"allowances"`
	Limits     NodeLimits      `json:"limits"`
	// Outlook refuses requests at once that cannot start in their time.
	Outlook NodeOutlook `json:"outlook"`
	// Quarantine limits requests that terminate endpoints.
	Quarantine QuarantineConfig `json:"quarantine"`
	// Lending says from which size on a fleet lends the places of contended endpoints.
	Lending NodeLending `json:"lending"`
}

// NodeLending configures the lending of places (package credit).
type NodeLending struct {
	// InstancesAbove is the largest number of instances among which no places are lent; 0 means
	// that none are ever lent.
	InstancesAbove int `json:"instancesAbove"`
}

// NodeRetry bounds the retries of all instances together.
type NodeRetry struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64 `json:"ratio"`
	// Slack is how many more retries all instances may make in a window.
	Slack float64 `json:"slack"`
}

// NodeOrders bounds the orders sent to engines.
type NodeOrders struct {
	// LeaseMS is how long an engine must have received no order from one lease holder
	// before another may send it one, in milliseconds.
	LeaseMS int `json:"leaseMS"`
	// RateWindowS and RateOver bound the loads from the weight store: at most RateOver
	// times its rate in any window of RateWindowS seconds.
	RateWindowS float64 `json:"rateWindowS"`
	RateOver    float64 `json:"rateOver"`
}

// NodeLimits bounds the work that one instance accepts.
type NodeLimits struct {
	HeaderBytes int `json:"headerBytes"`
	// ReadMS bounds the time to read a request, in milliseconds.
	ReadMS int `json:"readMS"`
	// QueueRequests and QueueBytes bound the queue of each pool.
	QueueRequests int `json:"queueRequests"`
	QueueBytes    int `json:"queueBytes"`
	// CPUShare is the share of a core that the instance gets, CoreSpeed the relative speed
	// of that core. Instances with more of both are preferred for placing units.
	CPUShare  float64 `json:"cpuShare"`
	CoreSpeed float64 `json:"coreSpeed"`
	// LinkMbps is the bandwidth of the instance's network link, in Mbit/s.
	LinkMbps float64 `json:"linkMbps"`
	// Descriptors is how many sockets and files the process may have open; 0 means as many as the
	// operating system says.
	Descriptors int `json:"descriptors"`
	// GraceMS is how long after SIGTERM the platform kills the process, in milliseconds.
	GraceMS int `json:"graceMS"`
}

// DefaultNodeConfig returns the values of fields that a file omits.
func DefaultNodeConfig() NodeConfig {
	return NodeConfig{
		RoutingPolicy: routing.PolicyTimely, LogLevel: "info",
		Retries: NodeRetry{Ratio: 0.1, Slack: 10},
		Orders:  NodeOrders{LeaseMS: 3000, RateWindowS: 5, RateOver: 1},
		Fresh:   NodeFreshness{LeavingMS: 2000, SettingsMS: 2000, ContactMS: 3000},

		Allowances: AllowanceConfig{WindowS: 8, OverFraction: 0.1},
		Outlook:    NodeOutlook{PlacesPerReplica: 8},
		Quarantine: defaultQuarantine(),
		Limits: NodeLimits{
			HeaderBytes: 64 << 10, ReadMS: 15_000, QueueRequests: 1024, QueueBytes: 32 << 20, GraceMS: 8_000, CPUShare: 1, CoreSpeed: 1, LinkMbps: 1000,
		},
	}
}

// LoadNodeConfig reads a node's configuration file. All faults are reported in one
// *jsonc.Error.
func LoadNodeConfig(path string) (NodeConfig, error) { return loadFile(path, ParseNodeConfig) }

// ParseNodeConfig reads and checks a node's configuration text.
func ParseNodeConfig(file string, src []byte) (NodeConfig, error) {
	return parseChecked(file, src, DefaultNodeConfig(), (*configChecker).node)
}

func (c *configChecker) node(cfg NodeConfig) {
	c.required("/instance", cfg.Instance)
	c.required("/failureDomain", cfg.FailureDomain)
	c.address("/callers", cfg.Callers)
	c.address("/readiness", cfg.Readiness)
	c.address("/operators", cfg.Operators)
	c.url("/objectStore", cfg.ObjectStore)
	if len(cfg.PeerPorts) != 2 || cfg.PeerPorts[0] < 1 || cfg.PeerPorts[1] < cfg.PeerPorts[0] {
		c.addFault("/peerPorts", "must be the first and the last of a range of ports")
	}
	c.choices(cfg.RoutingPolicy, cfg.LogLevel)
	c.quarantine(cfg.Quarantine)
	for _, bound := range []struct {
		path string
		n    float64
	}{
		{"limits/headerBytes", float64(cfg.Limits.HeaderBytes)}, {"limits/readMS", float64(cfg.Limits.ReadMS)},
		{"limits/queueRequests", float64(cfg.Limits.QueueRequests)}, {"limits/queueBytes", float64(cfg.Limits.QueueBytes)},
		{"limits/graceMS", float64(cfg.Limits.GraceMS)},
		{"limits/cpuShare", cfg.Limits.CPUShare}, {"limits/coreSpeed", cfg.Limits.CoreSpeed}, {"limits/linkMbps", cfg.Limits.LinkMbps}, {"orders/leaseMS", float64(cfg.Orders.LeaseMS)},
		{"fresh/leavingMS", float64(cfg.Fresh.LeavingMS)}, {"fresh/settingsMS", float64(cfg.Fresh.SettingsMS)}, {"fresh/contactMS", float64(cfg.Fresh.ContactMS)},
		{"orders/rateWindowS", cfg.Orders.RateWindowS}, {"orders/rateOver", cfg.Orders.RateOver},
		{"allowances/windowS", cfg.Allowances.WindowS}, {"outlook/placesPerReplica", float64(cfg.Outlook.PlacesPerReplica)},
	} {
		c.positive("/"+bound.path, bound.n)
	}
	for path, n := range map[string]float64{"/retries/ratio": cfg.Retries.Ratio, "/retries/slack": cfg.Retries.Slack,
		"/lending/instancesAbove": float64(cfg.Lending.InstancesAbove), "/limits/descriptors": float64(cfg.Limits.Descriptors),
		"/fresh/evacuateMS": float64(cfg.Fresh.EvacuateMS),
		"/allowances/over":  cfg.Allowances.OverFraction, "/allowances/slack": cfg.Allowances.Slack, "/fresh/revokedMS": float64(cfg.Fresh.RevokedMS),
	} {
		if n < 0 {
			c.addFault(path, "must not be negative")
		}
	}
}
