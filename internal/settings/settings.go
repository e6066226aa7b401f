// Package settings reads the JSON settings files of the processes. Reading is strict: an unknown field, a wrong type,
// a number out of its range, an impossible address or a duplicate id is an error that names the file and the field.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
)

// ErrInvalid is the error of every settings file that is not accepted.
var ErrInvalid = errors.New("settings: invalid")

// Process holds the settings that all processes share.
type Process struct {
	// ID is unique in the fleet and stays the same across restarts of the process. For a sidecar it is the id of its
	// upstream.
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Link is the IP:port on which the process accepts links.
	Link string `json:"link"`
	// Admin is the IP:port of /healthz, /readyz and /metrics.
	Admin string `json:"admin"`
	// ObjectAPI is the IP:port of the platform's object API.
	ObjectAPI string `json:"objectApi"`
	// Peers are link addresses of processes in the same data centre through which this one joins.
	Peers []string `json:"peers,omitempty"`
	// RemotePeers are link addresses of processes in other data centres, for following the configuration when this data
	// centre alone loses the object API, by data centre.
	RemotePeers map[string][]string `json:"remotePeers,omitempty"`
	TLS         *TLS                `json:"tls,omitempty"`
	// MaxFrameBytes bounds a frame on a link; default 4 MiB, 64 KiB to 64 MiB.
	MaxFrameBytes int `json:"maxFrameBytes,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"logLevel,omitempty"`
}

// TLS names PEM files. With it all links of the process use TLS with certificates on both sides.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Process
	// HTTP is the IP:port for callers.
	HTTP string `json:"http"`
	// MaxBodyBytes bounds a caller's body; default 3 MiB, and below MaxFrameBytes.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// MaxOpenRequests bounds open requests of this entry; default 2,000.
	MaxOpenRequests int `json:"maxOpenRequests,omitempty"`
	// KeyHorizonMs is how far ahead the ledger's last epoch reaches; default 900,000 (15 min), 10,000 to 3,600,000.
	KeyHorizonMs int64 `json:"keyHorizonMs,omitempty"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process
	Upstream Upstream `json:"upstream"`
	// QueueLength bounds requests that wait for a slot; default 32, 0 means the default.
	QueueLength int `json:"queueLength,omitempty"`
	// ResumeWindowMs is how long an attempt whose link broke is kept for a resume; default 5,000.
	ResumeWindowMs int64 `json:"resumeWindowMs,omitempty"`
}

// Upstream describes what stands beside a sidecar.
type Upstream struct {
	// Kind is engine or service.
	Kind string `json:"kind"`
	// Address is the IP:port of the upstream.
	Address string `json:"address"`
	// Service is the plain service's name; only for kind service.
	Service string `json:"service,omitempty"`
	// Slots is the number of calls that a plain service takes at once; default 16. Engines report their own.
	Slots int `json:"slots,omitempty"`
	// ChecksFence says that the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence,omitempty"`
	// OrderSettleMs is how long a new sidecar waits before its first order to an engine that does not check fencing
	// numbers; default 2,000. An order left in the engine's socket by a killed sidecar takes effect in that time.
	OrderSettleMs int64 `json:"orderSettleMs,omitempty"`
}

// Defaults of the settings.
const (
	DefaultMaxFrameBytes   = 4 << 20
	DefaultMaxBodyBytes    = 3 << 20
	DefaultMaxOpenRequests = 2000
	DefaultKeyHorizonMs    = 900_000
	DefaultQueueLength     = 32
	DefaultResumeWindowMs  = 5000
	DefaultServiceSlots    = 16
	DefaultOrderSettleMs   = 2000
)

const (
	minFrameBytes   = 64 << 10
	maxFrameBytes   = 64 << 20
	minKeyHorizonMs = 10_000
	maxKeyHorizonMs = 3_600_000
)

// ReadEntry reads and checks the settings file of an entry and fills in defaults.
func ReadEntry(file string) (Entry, error) {
	var e Entry
	if err := read(file, &e); err != nil {
		return Entry{}, err
	}
	c := &checker{file: file}
	c.process(&e.Process)
	c.address("http", e.HTTP)
	c.number("maxBodyBytes", &e.MaxBodyBytes, DefaultMaxBodyBytes, 1, e.MaxFrameBytes-4096)
	c.number("maxOpenRequests", &e.MaxOpenRequests, DefaultMaxOpenRequests, 1, 1_000_000)
	c.number64("keyHorizonMs", &e.KeyHorizonMs, DefaultKeyHorizonMs, minKeyHorizonMs, maxKeyHorizonMs)
	c.distinct(map[string]string{"http": e.HTTP, "link": e.Link, "admin": e.Admin})
	return e, c.err
}

// ReadSidecar reads and checks the settings file of a sidecar and fills in defaults.
func ReadSidecar(file string) (Sidecar, error) {
	var s Sidecar
	if err := read(file, &s); err != nil {
		return Sidecar{}, err
	}
	c := &checker{file: file}
	c.process(&s.Process)
	c.oneOf("upstream.kind", s.Upstream.Kind, "engine", "service")
	c.reachable("upstream.address", s.Upstream.Address)
	if s.Upstream.Kind == "service" {
		c.text("upstream.service", s.Upstream.Service)
		c.number("upstream.slots", &s.Upstream.Slots, DefaultServiceSlots, 1, 100_000)
	} else if s.Upstream.Service != "" {
		c.fail("upstream.service", "only for kind service")
	}
	c.number64("upstream.orderSettleMs", &s.Upstream.OrderSettleMs, DefaultOrderSettleMs, 0, 60_000)
	c.number("queueLength", &s.QueueLength, DefaultQueueLength, 1, 100_000)
	c.number64("resumeWindowMs", &s.ResumeWindowMs, DefaultResumeWindowMs, 1, 600_000)
	c.distinct(map[string]string{"link": s.Link, "admin": s.Admin, "upstream.address": s.Upstream.Address})
	return s, c.err
}

// Decode reads strict JSON into v; name is used in errors. Errors are ErrInvalid with the name and the field.
func Decode(name string, data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %s: %s", ErrInvalid, name, describe(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s: data after the JSON value", ErrInvalid, name)
	}
	return nil
}

func read(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Decode(file, data, v)
}

func describe(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Sprintf("field %s: %s where %s is wanted", te.Field, te.Value, te.Type)
	}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		return fmt.Sprintf("at byte %d: %s", se.Offset, se.Error())
	}
	return err.Error()
}

// checker collects the first fault of a settings file.
type checker struct {
	file string
	err  error
}

func (c *checker) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s: field %s: %s", ErrInvalid, c.file, field, fmt.Sprintf(format, args...))
	}
}

func (c *checker) process(p *Process) {
	c.text("id", p.ID)
	c.text("dataCentre", p.DataCentre)
	c.text("region", p.Region)
	c.reachable("link", p.Link)
	c.address("admin", p.Admin)
	c.reachable("objectApi", p.ObjectAPI)
	seen := make(map[string]bool)
	for i, a := range p.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.reachable(field, a)
		if seen[a] {
			c.fail(field, "%s is listed twice", a)
		}
		seen[a] = true
	}
	for dc, addrs := range p.RemotePeers {
		for i, a := range addrs {
			c.reachable(fmt.Sprintf("remotePeers.%s[%d]", dc, i), a)
		}
	}
	if p.TLS != nil {
		c.text("tls.certificate", p.TLS.Certificate)
		c.text("tls.key", p.TLS.Key)
		c.text("tls.authority", p.TLS.Authority)
	}
	c.number("maxFrameBytes", &p.MaxFrameBytes, DefaultMaxFrameBytes, minFrameBytes, maxFrameBytes)
	if p.LogLevel == "" {
		p.LogLevel = "info"
	}
	c.oneOf("logLevel", p.LogLevel, "debug", "info", "warn", "error")
}

func (c *checker) text(field, v string) {
	if v == "" {
		c.fail(field, "is missing or empty")
	}
}

func (c *checker) address(field, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.fail(field, "%q is not an IP address with a port, as 127.0.0.1:7000", v)
	}
}

// reachable checks an address that other processes connect to, which must not be the unspecified one.
func (c *checker) reachable(field, v string) {
	c.address(field, v)
	if a, err := netip.ParseAddrPort(v); err == nil && a.Addr().IsUnspecified() {
		c.fail(field, "%s cannot be connected to", v)
	}
}

func (c *checker) oneOf(field, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.fail(field, "%q is none of %v", v, allowed)
}

func (c *checker) number(field string, v *int, def, low, high int) {
	n := int64(*v)
	c.number64(field, &n, int64(def), int64(low), int64(high))
	*v = int(n)
}

func (c *checker) number64(field string, v *int64, def, low, high int64) {
	if *v == 0 {
		*v = def
	}
	if *v < low || *v > high {
		c.fail(field, "%d is not between %d and %d", *v, low, high)
	}
}

// distinct reports two fields with the same address.
func (c *checker) distinct(fields map[string]string) {
	seen := make(map[string]string)
	for field, addr := range fields {
		if other, ok := seen[addr]; ok && addr != "" {
			if other < field {
				field, other = other, field
			}
			c.fail(field, "same address as %s", other)
		}
		seen[addr] = field
	}
}
