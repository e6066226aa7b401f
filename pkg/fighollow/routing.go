package fighollow

import "time"

// Repeat says how often the work of a request may run.
type Repeat string

// Values of Repeat.
const (
	// RepeatAny is for requests that may run more than once.
	RepeatAny Repeat = "any"
	// RepeatResume is for streams that another upstream may continue after the last event delivered.
	RepeatResume Repeat = "resume"
	// RepeatNever is for requests that run at most once.
	RepeatNever Repeat = "never"
)

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route says where requests for a host and path go and what they may cost.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Repeat     Repeat
	Stream     bool // the answer is a stream of events
	Generates  bool // served by engines: the request has a model and a prompt
	Shares     []Share
	// MaxAttempts is how many upstreams one request may be sent to. A prefill that was accepted does not count.
	MaxAttempts int
	Timeout     time.Duration // until the final answer
	// TargetLatency is the time to the whole answer, or to the first event of a stream.
	TargetLatency time.Duration
	Priority      int // 0 is the most urgent
}

// EngineTraits are the properties that all engines of a service share.
type EngineTraits struct {
	Slots            int   // requests in one batch
	KVCapacityTokens int   // KV cache of running requests and cached prefixes
	KVBytesPerToken  int64 // size of one token's KV cache
	TransferMbps     float64
	RoleSwitch       time.Duration // how long a change of role takes an engine away
}

// ServiceTraits describes a service that requests are routed to.
type ServiceTraits struct {
	Name   string
	Engine *EngineTraits // nil for a plain service
	// MaxConnections is how many connections each of its upstreams accepts from all entries; 0 is for no limit.
	MaxConnections int
}

// IngressLimits bound what a caller may send and how long it may take. Zero stands for the process's own limit.
type IngressLimits struct {
	HeaderTime     time.Duration // from a new connection until a request's header is there
	IdleTime       time.Duration // between two requests
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Routing is one whole version of the routing configuration. It is never changed after it was decoded.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceTraits
	Limits   IngressLimits
}

// Upstream is an engine or an instance of a plain service that requests are sent to directly.
type Upstream struct {
	ID         string // of one run of the instance, or of several where an instance keeps its id over a restart
	Service    string
	Address    string // IP:port
	DataCentre string
	Draining   bool
	Role       Role // RoleNone for plain services
	Slots      int
	Orders     uint64 // orders accepted since Started
	Started    int64  // start of the process, Unix milliseconds; 0 if it is not known
}
