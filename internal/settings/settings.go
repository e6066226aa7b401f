// Package settings reads the JSON settings files of the processes. Reading is strict: an unknown field, a wrong type,
// a number out of range, an invalid address or a duplicate is an error that names the file and the field.
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

// ErrInvalid is wrapped by the errors of all settings files that are read but not valid.
var ErrInvalid = errors.New("settings: invalid")

// Process holds the settings that all processes share.
type Process struct {
	// ID is unique in the fleet and does not change when the process restarts. The ID of a sidecar is that of its upstream.
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Region     string `json:"region"`
	// Link is the IP:port on which the process accepts links and at which others connect to it.
	Link string `json:"link"`
	// Admin is the IP:port of the admin server: /healthz, /readyz, /metrics and /status.
	Admin string `json:"admin"`
	// ObjectAPI is the IP:port of the platform's object API.
	ObjectAPI string `json:"objectApi"`
	// Peers are link addresses of processes in the same data centre through which this process joins the membership.
	Peers []string `json:"peers,omitempty"`
	// RemotePeers are, by data centre, link addresses of processes in other data centres. The process gets the configuration
	// from them if only its own data centre loses the object API.
	RemotePeers map[string][]string `json:"remotePeers,omitempty"`
	TLS         *TLS                `json:"tls,omitempty"`
	// MaxFrameBytes is the maximum size of a frame on a link, 64 KiB to 64 MiB; default 4 MiB.
	MaxFrameBytes int `json:"maxFrameBytes,omitempty"`
	// LogLevel is debug, info, warn or error; default info.
	LogLevel string `json:"logLevel,omitempty"`
}

// TLS names PEM files. If it is set, all links of the process use mutual TLS.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Process
	// HTTP is the IP:port of the callers' API.
	HTTP string `json:"http"`
	// MaxBodyBytes is the maximum size of a request body, at least 4 KiB below MaxFrameBytes; default 3 MiB.
	MaxBodyBytes int `json:"maxBodyBytes,omitempty"`
	// MaxOpenRequests is the maximum number of open requests of this entry; default 2,000.
	MaxOpenRequests int `json:"maxOpenRequests,omitempty"`
	// KeyHorizonMs is how far into the future the ledger's last epoch extends, 10,000 to 3,600,000; default 900,000 (15 min).
	KeyHorizonMs int64 `json:"keyHorizonMs,omitempty"`
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Process
	Upstream Upstream `json:"upstream"`
	// QueueLength is the maximum number of requests that wait for a slot; default 32, which 0 selects too.
	QueueLength int `json:"queueLength,omitempty"`
	// ResumeWindowMs is how long an attempt whose link broke can be resumed; default 5,000.
	ResumeWindowMs int64 `json:"resumeWindowMs,omitempty"`
}

// Upstream describes the engine or plain service of a sidecar.
type Upstream struct {
	// Kind is engine or service.
	Kind string `json:"kind"`
	// Address is the IP:port of the upstream.
	Address string `json:"address"`
	// Service is the name of the plain service. It is required for kind service and not allowed for kind engine.
	Service string `json:"service,omitempty"`
	// Slots is the number of calls that a plain service runs concurrently; default 16. Engines report their own number.
	Slots int `json:"slots,omitempty"`
	// ChecksFence is set if the engine refuses orders with an outdated fencing token.
	ChecksFence bool `json:"checksFence,omitempty"`
	// OrderSettleMs is how long a new sidecar waits before its first order to an engine that does not check fencing tokens;
	// default 2,000. During this time, an order that a killed sidecar left in the engine's socket takes effect.
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

// ReadEntry reads the settings file of an entry, validates it and sets defaults.
func ReadEntry(file string) (Entry, error) {
	var e Entry
	if err := decodeFile(file, &e); err != nil {
		return Entry{}, err
	}
	c := &validator{file: file}
	c.process(&e.Process)
	c.addrPort("http", e.HTTP)
	c.intInRange("maxBodyBytes", &e.MaxBodyBytes, DefaultMaxBodyBytes, 1, e.MaxFrameBytes-4096)
	c.intInRange("maxOpenRequests", &e.MaxOpenRequests, DefaultMaxOpenRequests, 1, 1_000_000)
	c.int64InRange("keyHorizonMs", &e.KeyHorizonMs, DefaultKeyHorizonMs, minKeyHorizonMs, maxKeyHorizonMs)
	c.distinctAddrs(map[string]string{"http": e.HTTP, "link": e.Link, "admin": e.Admin})
	return e, c.err
}

// ReadSidecar reads the settings file of a sidecar, validates it and sets defaults.
func ReadSidecar(file string) (Sidecar, error) {
	var s Sidecar
	if err := decodeFile(file, &s); err != nil {
		return Sidecar{}, err
	}
	c := &validator{file: file}
	c.process(&s.Process)
	c.oneOf("upstream.kind", s.Upstream.Kind, "engine", "service")
	c.dialAddr("upstream.address", s.Upstream.Address)
	if s.Upstream.Kind == "service" {
		c.notEmpty("upstream.service", s.Upstream.Service)
		c.intInRange("upstream.slots", &s.Upstream.Slots, DefaultServiceSlots, 1, 100_000)
	} else if s.Upstream.Service != "" {
		c.fail("upstream.service", "only for kind service")
	}
	c.int64InRange("upstream.orderSettleMs", &s.Upstream.OrderSettleMs, DefaultOrderSettleMs, 0, 60_000)
	c.intInRange("queueLength", &s.QueueLength, DefaultQueueLength, 1, 100_000)
	c.int64InRange("resumeWindowMs", &s.ResumeWindowMs, DefaultResumeWindowMs, 1, 600_000)
	c.distinctAddrs(map[string]string{"link": s.Link, "admin": s.Admin, "upstream.address": s.Upstream.Address})
	return s, c.err
}

// Decode decodes data as one JSON value into v and refuses unknown fields. Its errors wrap ErrInvalid and contain name and,
// where known, the field or the offset.
func Decode(name string, data []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%w: %s: %s", ErrInvalid, name, describeDecodeError(err))
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %s: data after the JSON value", ErrInvalid, name)
	}
	return nil
}

func decodeFile(file string, v any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return Decode(file, data, v)
}

func describeDecodeError(err error) string {
	var te *json.UnmarshalTypeError
	if errors.As(err, &te) {
		return fmt.Sprintf("field %s: %s where %s is expected", te.Field, te.Value, te.Type)
	}
	var se *json.SyntaxError
	if errors.As(err, &se) {
		return fmt.Sprintf("at byte %d: %s", se.Offset, se.Error())
	}
	return err.Error()
}

// validator checks the fields of a settings file and keeps the first error.
type validator struct {
	file string
	err  error
}

func (c *validator) fail(field, format string, args ...any) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s: field %s: %s", ErrInvalid, c.file, field, fmt.Sprintf(format, args...))
	}
}

func (c *validator) process(p *Process) {
	c.notEmpty("id", p.ID)
	c.notEmpty("dataCentre", p.DataCentre)
	c.notEmpty("region", p.Region)
	c.dialAddr("link", p.Link)
	c.addrPort("admin", p.Admin)
	c.dialAddr("objectApi", p.ObjectAPI)
	seen := make(map[string]bool)
	for i, a := range p.Peers {
		field := fmt.Sprintf("peers[%d]", i)
		c.dialAddr(field, a)
		if seen[a] {
			c.fail(field, "%s is listed twice", a)
		}
		seen[a] = true
	}
	for dc, addrs := range p.RemotePeers {
		for i, a := range addrs {
			c.dialAddr(fmt.Sprintf("remotePeers.%s[%d]", dc, i), a)
		}
	}
	if p.TLS != nil {
		c.notEmpty("tls.certificate", p.TLS.Certificate)
		c.notEmpty("tls.key", p.TLS.Key)
		c.notEmpty("tls.authority", p.TLS.Authority)
	}
	c.intInRange("maxFrameBytes", &p.MaxFrameBytes, DefaultMaxFrameBytes, minFrameBytes, maxFrameBytes)
	if p.LogLevel == "" {
		p.LogLevel = "info"
	}
	c.oneOf("logLevel", p.LogLevel, "debug", "info", "warn", "error")
}

func (c *validator) notEmpty(field, v string) {
	if v == "" {
		c.fail(field, "is missing or empty")
	}
}

func (c *validator) addrPort(field, v string) {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 {
		c.fail(field, "%q is not an IP address with a port, such as 127.0.0.1:7000", v)
	}
}

// dialAddr checks an address that processes connect to, which must not be the unspecified address.
func (c *validator) dialAddr(field, v string) {
	c.addrPort(field, v)
	if a, err := netip.ParseAddrPort(v); err == nil && a.Addr().IsUnspecified() {
		c.fail(field, "%s is the unspecified address, which cannot be dialled", v)
	}
}

func (c *validator) oneOf(field, v string, allowed ...string) {
	for _, a := range allowed {
		if v == a {
			return
		}
	}
	c.fail(field, "%q is not one of %v", v, allowed)
}

func (c *validator) intInRange(field string, v *int, def, low, high int) {
	n := int64(*v)
	c.int64InRange(field, &n, int64(def), int64(low), int64(high))
	*v = int(n)
}

func (c *validator) int64InRange(field string, v *int64, def, low, high int64) {
	if *v == 0 {
		*v = def
	}
	if *v < low || *v > high {
		c.fail(field, "%d is not between %d and %d", *v, low, high)
	}
}

// distinctAddrs checks that no two fields have the same address.
func (c *validator) distinctAddrs(fields map[string]string) {
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
