package fighollow

import (
	"strconv"
	"strings"
	"time"
)

// HeaderRequestLimit is the header field in which an upstream of a sidecar names its request limit.
const HeaderRequestLimit = "Request-Limit"

// LimitObserver is told what each answer of an upstream says of its request limit, and when the request was sent.
type LimitObserver func(sent time.Time, l RequestLimit)

// LimitState is what an answer says of its upstream's request limit.
type LimitState int

// States of a RequestLimit.
const (
	LimitAbsent    LimitState = iota // the answer names no limit
	LimitNamed                       // the answer names a limit
	LimitMalformed                   // the answer names one that cannot be read, which changes nothing
)

// RequestLimit is what an answer says of the number of requests that its upstream takes from all entries together. It holds
// until an answer to a later request names another one or none.
type RequestLimit struct {
	State     LimitState
	PerSecond float64 // requests a second, 0 or more; set for LimitNamed
	Text      string  // as received; empty for LimitAbsent
}

// maxLimitDigits bounds the length of a request limit, in bytes.
const maxLimitDigits = 32

// ParseRequestLimit reads the values of a header field that names a request limit: one decimal number without a sign or an
// exponent.
func ParseRequestLimit(values []string) RequestLimit {
	if len(values) == 0 {
		return RequestLimit{}
	}
	text := strings.TrimSpace(strings.Join(values, ", "))
	malformed := RequestLimit{State: LimitMalformed, Text: text[:min(len(text), maxLimitDigits)]}
	if len(text) > maxLimitDigits || strings.Trim(text, "0123456789.") != "" {
		return malformed
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return malformed
	}
	return RequestLimit{State: LimitNamed, PerSecond: perSecond, Text: text}
}

// LimitClaim is what an entry publishes about one upstream's request limit, by which the entries divide it and learn of it.
type LimitClaim struct {
	// Told reports that the upstream's answers told this entry of the limit, or that there is none any more. Otherwise it knows
	// from other entries only.
	Told bool `json:"told,omitempty"`
	// PerSecond is the limit in requests a second, if Told is set; 0 if there is none.
	PerSecond float64 `json:"perSecond,omitempty"`
	// AgeMs is how many milliseconds before the publication the upstream last answered this entry.
	AgeMs int64 `json:"ageMs,omitempty"`
	// Demand is how many requests a second the entry would send to the upstream without the limit; 0 if it claims no share.
	Demand float64 `json:"demand,omitempty"`
	// Holds reports that the entry has a share of the limit.
	Holds bool `json:"holds,omitempty"`
}

// LimitShare is one entry's share of an upstream's request limit.
type LimitShare struct {
	PerSecond float64 // requests a second; 0 if other entries have the whole limit
	Burst     float64 // requests that the entry can save up
	// Demand is how many requests a second all entries with claims demand. DemandKnown reports that none that demands much is
	// missing; without it, Demand is a lower bound.
	Demand      float64
	DemandKnown bool
}

// LimitReport is what an upstream told another entry of its request limit.
type LimitReport struct {
	PerSecond float64   // requests a second; 0 if there is no limit any more
	ToldAt    time.Time // at the latest, by this process's clock
}

// LimitShares divides upstreams' request limits among the entries. Implementations are safe for concurrent use.
type LimitShares interface {
	// Share returns this entry's share of an upstream's limit in requests a second.
	Share(now time.Time, upstream string, limit float64) LimitShare
	// Reported returns what upstreams last told other entries, by upstream; nil if that is nothing. The map is read-only.
	Reported() map[string]LimitReport
}
