package fighollow

// Workspace is a customer of the platform: its key, limits and the worth of its requests.
type Workspace struct {
	Name string `json:"name"`
	// Key is the secret that the workspace's callers send; it is never logged.
	Key string `json:"key"`
	// Region is the region whose ledger vouches for the workspace's idempotency keys. Empty means the region of the entry
	// that got the request, which is right only for workspaces whose callers use one region.
	Region string `json:"region,omitempty"`
	// RequestsPerSecond bounds admitted requests at one entry; 0 means no bound. Burst is the bucket's size; 0 means
	// twice the rate.
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	Burst             int     `json:"burst"`
	// MaxConcurrent bounds open requests at one entry; 0 means no bound.
	MaxConcurrent int `json:"maxConcurrent"`
	// Worth is the value of a completed answer, relative to 1; 0 means 1.
	Worth float64 `json:"worth"`
	// Priority orders requests within engines; higher goes first.
	Priority int `json:"priority"`
	// DeadlineMs applies when the caller names none; 0 means 60,000.
	DeadlineMs int64 `json:"deadlineMs"`
}

// Model is a language model that the fleet can serve.
type Model struct {
	Name string `json:"name"`
	// NonIdempotent says that a completion must not run twice.
	NonIdempotent bool `json:"nonIdempotent"`
	// BytesPerToken estimates prompt tokens from bytes; 0 means 4.
	BytesPerToken float64 `json:"bytesPerToken"`
	// MaxOutputTokens bounds a request's output; 0 means 4,096.
	MaxOutputTokens int `json:"maxOutputTokens"`
	// PrefillTokensPerSecond and DecodeTokensPerSecond are one engine's rates, used for planning and expected waits.
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	DecodeTokensPerSecond  float64 `json:"decodeTokensPerSecond"`
	// LoadMs is how long loading the model or changing role idles an engine.
	LoadMs int64 `json:"loadMs"`
}

// Service is a plain service that the system routes to.
type Service struct {
	Name string `json:"name"`
	// NonIdempotentMethods lists HTTP methods whose calls must not be repeated; empty means POST and PATCH.
	NonIdempotentMethods []string `json:"nonIdempotentMethods"`
	// DeadlineMs applies when the caller names none; 0 means 30,000.
	DeadlineMs int64 `json:"deadlineMs"`
}

// UpstreamKind tells engines from plain services and entries in lists of instances.
type UpstreamKind string

// Kinds of instances.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
	InstanceEntry   UpstreamKind = "entry"
)

// Instance is the platform's word about one instance. The list lags: it can show one that has left and lack a new one.
type Instance struct {
	ID         string       `json:"id"`
	Kind       UpstreamKind `json:"kind"`
	DataCentre string       `json:"dataCentre"`
	Region     string       `json:"region"`
	// Link is the address (IP:port) on which the instance's fighollow process listens for links.
	Link string `json:"link"`
	// Service is the plain service's name; empty for other kinds.
	Service string `json:"service,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}
