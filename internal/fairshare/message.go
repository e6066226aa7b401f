package fairshare

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fighollow/fighollow/internal/peers"
)

const (
	// maxServices bounds the services that are measured.
	maxServices = 64
	// maxWorkspaces bounds the workspaces of a service in a collector's summary, and maxReported in a report, which collectors keep.
	maxWorkspaces = 4096
	maxReported   = 512
	// maxNameBytes bounds the name of a service or workspace. Longer ones are not measured.
	maxNameBytes = 128
	// maxParts bounds the datagrams of a summary, and maxReportParts those of a report.
	maxParts       = 256
	maxReportParts = 32
	// maxTenths bounds a stated rate: 1,000 s of engine time a second.
	maxTenths = 10_000_000
	// Upper bounds of the encoded parts of a message, in bytes.
	messageBytes   = 24
	serviceBytes   = 36 // and the name
	workspaceBytes = 22 // and the name
)

// errMessage is the error of a message that is not used.
var errMessage = errors.New("fairshare: unusable message")

// messageKind is what a message is.
type messageKind uint8

const (
	kindReport  messageKind = iota + 1 // from each entry to the collectors: its rates
	kindSummary                        // from a collector to all entries
)

// serviceState is what a collector says of a service.
type serviceState uint8

const (
	stateNone     serviceState = iota // in reports
	stateAsked                        // too few entries have reported
	stateAbundant                     // measured, and not scarce
	stateScarce
)

// message is a datagram. What an entry states may have several parts.
type message struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Kind        messageKind
	Round       uint32 // number of the statement
	Part, Parts int
	Services    []serviceMessage
}

// serviceMessage is a part of what is stated of a service. Rates are in tenths of a millisecond of engine time a second.
type serviceMessage struct {
	_msgpack   struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name       string
	State      serviceState
	Fair       uint32  // fair rate
	Floor      float32 // least probability of admission
	Late       uint32  // rate of late requests
	Crowded    uint32  // offered rate weighted by waits; in reports
	Workspaces []workspaceMessage
}

// workspaceMessage is what is stated of a workspace.
type workspaceMessage struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack
	Name     string
	Offered  uint32
	Admitted uint32 // in reports
	Ranks    []byte // of 255, the share of each rank in Offered
}

// encode returns the message as sent.
func (m *message) encode() []byte {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseCompactInts(true)
	if err := e.Encode(m); err != nil {
		panic(err) // numbers and strings always encode
	}
	return b.Bytes()
}

// decodeMessage returns the message that data holds.
func decodeMessage(data []byte) (*message, error) {
	if len(data) > peers.MaxData {
		return nil, fmt.Errorf("%w: %d bytes", errMessage, len(data))
	}
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%w: %w", errMessage, err)
	}
	switch {
	case m.Kind != kindReport && m.Kind != kindSummary:
		return nil, fmt.Errorf("%w: kind %d", errMessage, m.Kind)
	case m.Part < 0 || m.Part >= m.Parts || m.Parts > mostParts(m.Kind):
		return nil, fmt.Errorf("%w: part %d of %d", errMessage, m.Part, m.Parts)
	case len(m.Services) > maxServices:
		return nil, fmt.Errorf("%w: %d services", errMessage, len(m.Services))
	}
	for i := range m.Services {
		s := &m.Services[i]
		if s.Name == "" || len(s.Name) > maxNameBytes || s.State > stateScarce || (s.State == stateNone) != (m.Kind == kindReport) ||
			s.Fair > maxTenths || s.Late > maxTenths || s.Crowded > maxTenths || !isRate(float64(s.Floor)) || s.Floor > 1 {
			return nil, fmt.Errorf("%w: state %d of a service with a name of %d bytes", errMessage, s.State, len(s.Name))
		}
		for _, w := range s.Workspaces {
			if w.Name == "" || len(w.Name) > maxNameBytes || w.Offered > maxTenths || w.Admitted > w.Offered || len(w.Ranks) > maxRanks {
				return nil, fmt.Errorf("%w: rate %d of a workspace with a name of %d bytes", errMessage, w.Offered, len(w.Name))
			}
		}
	}
	return &m, nil
}

// mostParts returns the largest number of datagrams of a statement.
func mostParts(kind messageKind) int {
	if kind == kindReport {
		return maxReportParts
	}
	return maxParts
}

// tenths returns a rate as sent. A rate above 0 remains so.
func tenths(rate float64) uint32 { return uint32(min(math.Ceil(10*rate), maxTenths)) }

// rateOf returns a rate as received.
func rateOf(tenths uint32) float64 { return float64(tenths) / 10 }

// encodeRanks returns shares as sent.
func encodeRanks(s rankShares) []byte {
	out := make([]byte, 0, maxRanks)
	for i, f := range s {
		if f > 0 {
			for len(out) < i {
				out = append(out, 0)
			}
			out = append(out, byte(math.Round(255*min(f, 1))))
		}
	}
	return out
}

// decodeRanks returns shares as received.
func decodeRanks(data []byte) rankShares {
	var s rankShares
	for i, b := range data {
		s[i] = float64(b)
	}
	return s.normalized()
}

// workspaceMessages returns the rates of workspaces as sent, in order of their names.
func workspaceMessages(measured map[string]rates) []workspaceMessage {
	var out []workspaceMessage
	for _, name := range slices.Sorted(maps.Keys(measured)) {
		r := measured[name]
		offered := tenths(r.offered)
		out = append(out, workspaceMessage{Name: name, Offered: offered, Admitted: min(tenths(r.admitted), offered), Ranks: encodeRanks(r.ranks)})
	}
	return out
}

// split distributes a statement over messages that each fit into a datagram. If there is not room for all workspaces, those with the lowest
// rates are left out.
func split(kind messageKind, round uint32, services []serviceMessage) []message {
	parts := []message{{Kind: kind, Round: round}}
	size, most := messageBytes, maxWorkspaces
	if kind == kindReport {
		most = maxReported
	}
	for _, s := range services[:min(len(services), maxServices)] {
		all := s.Workspaces
		if len(all) > most {
			all = slices.Clone(all)
			slices.SortFunc(all, func(a, b workspaceMessage) int { return cmp.Compare(b.Offered, a.Offered) })
			all = all[:most]
		}
		s.Workspaces = nil
		open := false // the last message has the service
		add := func(need int) {
			if open && size+need <= peers.MaxData {
				size += need
				return
			}
			need += serviceBytes + len(s.Name)
			if size+need > peers.MaxData {
				parts, size = append(parts, message{Kind: kind, Round: round}), messageBytes
			}
			last := &parts[len(parts)-1]
			last.Services, open = append(last.Services, s), true
			size += need
		}
		add(0)
		for _, w := range all {
			add(workspaceBytes + len(w.Name))
			last := &parts[len(parts)-1]
			into := &last.Services[len(last.Services)-1]
			into.Workspaces = append(into.Workspaces, w)
		}
	}
	parts = parts[:min(len(parts), mostParts(kind))]
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts
}
