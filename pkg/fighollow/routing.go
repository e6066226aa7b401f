package fighollow

import (
	"strconv"
	"time"
)

// Repeat specifies whether a request whose work may have run may be sent again.
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

// WeightedService is a service with its weight in a route. A request goes to the service with a probability of Weight
// over the sum of the weights of all services of the route.
type WeightedService struct {
	Service string
	Weight  int // above 0
}

// Route specifies which services get the requests for a host and path, and under which limits.
type Route struct {
	Name       string
	Host       string // matched exactly
	PathPrefix string // begins and ends with a slash; the longest matching prefix of a host is used
	Repeat     Repeat
	Stream     bool // the response is a stream of events
	Generates  bool // served by engines: the request has a model and a prompt
	Services   []WeightedService
	// MaxAttempts is the maximum number of upstreams that one request is sent to; at least 1. An accepted prefill does not
	// count.
	MaxAttempts int
	Timeout     time.Duration // from arrival to the end of the response; 0 for none
	// TargetLatency is the target for the time to the complete response, or to the first event of a stream.
	TargetLatency time.Duration
	// Patience is how long callers wait for the next event of a stream, or for the first one; 0 if that is not known.
	Patience time.Duration
	Priority int  // 0 is the most urgent
	Public   bool // needs no key where keys are required
}

// EngineTraits are the properties that all engines of a service have in common.
type EngineTraits struct {
	Slots            int           // maximum number of requests in a batch
	KVCapacityTokens int           // KV cache of running requests and cached prefixes, in tokens
	KVBytesPerToken  int64         // size of one token's KV cache
	TransferMbps     float64       // bandwidth for KV caches between engines, in megabits per second
	RoleSwitch       time.Duration // time for which a role change takes an engine out of service
}

// ServiceTraits describes a service that requests are routed to.
type ServiceTraits struct {
	Name   string
	Engine *EngineTraits // nil for a plain service
	// MaxConnections is the maximum number of connections that each upstream accepts from all entries together; 0 means
	// no limit.
	MaxConnections int
	// Scales reports that the configuration asks for a number of upstreams that follows the load. This is not supported.
	Scales bool
}

// IngressLimits bound the size and duration of callers' requests. For a zero field the process's own default applies.
type IngressLimits struct {
	HeaderTimeout  time.Duration // from a new connection until the header of a request has arrived
	IdleTimeout    time.Duration // between two requests on a connection
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// KeyedWorkspace is a workspace of a Routing whose callers present a key with each request.
type KeyedWorkspace struct {
	Name string
	Keys []string // secrets, which are never logged
	// Priority is 0 for the most urgent; nil if the configuration gives none.
	Priority *int
}

// Routing is one complete version of the routing configuration. It is immutable once decoded.
type Routing struct {
	Version  uint64
	Routes   []Route
	Services map[string]ServiceTraits
	Limits   IngressLimits
	// KeysRequired reports that requests for routes that are not public need the key of one of Workspaces, which may be empty.
	KeysRequired bool
	Workspaces   []KeyedWorkspace
	// Problems are the parts of the configuration that could not be decoded and are ignored, for the log. They hold no keys.
	Problems []string
}

// Upstream is an engine or an instance of a plain service to which requests are sent directly.
type Upstream struct {
	ID             string // of the instance, which may keep its id over a restart
	Service        string
	Address        string // IP:port
	DataCentre     string
	Draining       bool   // accepts no new requests
	Role           Role   // RoleNone for plain services
	Slots          int    // maximum number of requests at once
	AcceptedOrders uint64 // orders accepted since StartedMs
	StartedMs      int64  // start of the process, Unix milliseconds; 0 if unknown
	Version        string // of its software; only the same one can go on with a stream that it began; empty if unknown
}

// Incarnation identifies one run of the upstream's process, which may start again under its id.
func (u Upstream) Incarnation() string {
	if u.StartedMs == 0 {
		return u.ID
	}
	return u.ID + "/" + strconv.FormatInt(u.StartedMs, 10)
}
