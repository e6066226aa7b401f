package fighollow

// Workspace is a customer of the platform: its key, limits and the worth of its requests.
type Workspace struct {
	Name string `json:"name"`
	// Key is the secret that the workspace's callers send for authentication; it is never logged.
	Key string `json:"key"`
	// Region is the region whose ledger decides on the workspace's idempotency keys. Empty means the region of the entry
	// that received the request, which is correct only for workspaces whose callers use one region.
	Region string `json:"region,omitempty"`
	// RequestsPerSecond is the rate limit of the workspace's requests at each entry; 0 means no limit. Burst is the size
	// of its token bucket in requests; 0 means twice the rate.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             int     `json:"burst"`
	// MaxConcurrent is the maximum number of open requests at each entry; 0 means no limit.
	MaxConcurrent int `json:"maxConcurrent"`
	// Worth is the value of a completed request, relative to 1; 0 means 1.
	Worth float64 `json:"worth"`
	// Priority orders requests within engines; a higher value is served first.
	Priority int `json:"priority"`
	// DeadlineMs is the deadline in milliseconds of requests that name none; 0 means 60,000.
	DeadlineMs int64 `json:"deadlineMs"`
}

// Model is a language model that the fleet can serve.
type Model struct {
	Name string `json:"name"`
	// NonIdempotent reports that a completion must not run twice.
	NonIdempotent bool `json:"nonIdempotent"`
	// BytesPerToken is the average used to estimate prompt tokens from bytes; 0 means 4.
	BytesPerToken float64 `json:"bytesPerToken"`
	// MaxOutputTokens is the maximum output of a request; 0 means 4,096.
	MaxOutputTokens int `json:"maxOutputTokens"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are the rates of one engine, used for planning and to estimate
	// waiting times.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// LoadMs is the time in milliseconds for which loading the model or changing the role takes an engine out of service.
	LoadMs int64 `json:"loadMs"`
}

// Service is a plain service that the system routes to.
type Service struct {
	Name string `json:"name"`
	// NonIdempotentMethods lists the HTTP methods whose requests must not run twice; empty means POST and PATCH.
	NonIdempotentMethods []string `json:"nonIdempotentMethods"`
	// DeadlineMs is the deadline in milliseconds of requests that name none; 0 means 30,000.
	DeadlineMs int64 `json:"deadlineMs"`
}

// InstanceKind is the kind of an instance: engine, plain service or entry.
type InstanceKind string

// Kinds of instances.
const (
	InstanceEngine  InstanceKind = "engine"
	InstanceService InstanceKind = "service"
	InstanceEntry   InstanceKind = "entry"
)

// Instance is the platform's record of one running instance, the value of an object of KindInstance. The records lag:
// they can include an instance that has left and lack a new one.
type Instance struct {
	ID         string       `json:"id"`
	Kind       InstanceKind `json:"kind"`
	DataCentre string       `json:"dataCentre"`
	Region     string       `json:"region"`
	// Link is the address (IP:port) on which the instance's fighollow process accepts links from other processes.
	Link string `json:"link"`
	// Service is the name of the plain service; empty for other kinds.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"` // shutting down
}
