// Package soak runs the real programs with stand-ins as separate processes, injects faults from outside and judges what
// callers, upstreams and the store saw.
//
// The stand-ins append what they see to files of JSON lines. The oracle reads nothing else and shares no code with the
// programs.
package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// RecordKind is the kind of a Record.
type RecordKind string

// Kinds of records.
const (
	KindArrive RecordKind = "arrive" // a request reached an upstream
	KindRun    RecordKind = "run"    // an upstream began to run a request
	KindOrder  RecordKind = "order"  // an engine received an order
	KindSent   RecordKind = "sent"   // a caller sent a request
	KindGot    RecordKind = "got"    // a caller's request ended
	KindLimit  RecordKind = "limit"  // an upstream began to name a request limit, changed it or ended it
	KindCrash  RecordKind = "crash"  // a part of a prompt crashed an engine
	KindFault  RecordKind = "fault"  // the soak injected a fault, or ended one
	KindFinal  RecordKind = "final"  // state of an entry at the end of the run
	KindBegin  RecordKind = "begin"  // an upstream began the answer to a stream that has a workspace
	KindConfig RecordKind = "config" // the operator began to write a configuration with keys, or the store acknowledged it
	KindUsage  RecordKind = "usage"  // the usage API read a report
	KindLeak   RecordKind = "leak"   // a key was found where none may be
	KindClosed RecordKind = "closed" // the end of the run, until which reports are judged
)

// Record is one observation. Which fields are set depends on its kind.
type Record struct {
	AtMicros int64      `json:"atMicros"` // Unix time
	Kind     RecordKind `json:"kind"`
	Request  string     `json:"request,omitempty"`
	Route    string     `json:"route,omitempty"`
	Instance string     `json:"instance,omitempty"` // upstream or entry
	Entry    string     `json:"entry,omitempty"`    // got: the entry that the request was sent to
	Prefill  bool       `json:"prefill,omitempty"`
	Accepted bool       `json:"accepted,omitempty"` // arrive: a prefill that was computed
	Holder   string     `json:"holder,omitempty"`
	Fence    uint64     `json:"fence,omitempty"`
	Status   int        `json:"status,omitempty"`   // got: 0 without an answer
	Complete bool       `json:"complete,omitempty"` // got: the answer looks complete
	Whole    bool       `json:"whole,omitempty"`    // got: the body is the expected one
	NotSent  bool       `json:"notSent,omitempty"`  // got: no connection, or the request was cut by the caller
	Text     string     `json:"text,omitempty"`
	Part     string     `json:"part,omitempty"`   // sent, arrive, crash: the part of the prompt that can crash engines
	Fault    FaultKind  `json:"fault,omitempty"`  // fault: its kind; empty if the record is of no single fault
	Limit    float64    `json:"limit,omitempty"`  // limit: requests a second; 0 if it ended
	Number   int64      `json:"number,omitempty"` // final: resident memory in KiB; config: the version; usage: the window
	Files    int        `json:"files,omitempty"`  // final: open file descriptors
	// Key is the one usable key of a sent request. Of others, Text says how they lack one.
	Key       string `json:"key,omitempty"`
	Workspace string `json:"workspace,omitempty"` // arrive: the workspaces that the entry names, separated by commas
	// KeySeen reports a key in the header of a request that arrived.
	KeySeen         bool              `json:"keySeen,omitempty"`
	Keys            map[string]string `json:"keys,omitempty"`            // config: the workspace of each valid key; only in the record of the beginning
	WorkspaceCounts map[string]int64  `json:"workspaceCounts,omitempty"` // usage: by workspace; Number is the window
}

// At returns the time of the record.
func (r Record) At() time.Time { return time.UnixMicro(r.AtMicros) }

// Recorder appends records to a file. It is safe for concurrent use.
type Recorder struct {
	mu sync.Mutex
	f  *os.File
}

// NewRecorder opens a file for appending.
func NewRecorder(file string) (*Recorder, error) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	return &Recorder{f: f}, nil
}

// Add appends a record with the present time. Each is written at once, so that none is lost with the process.
func (r *Recorder) Add(rec Record) {
	rec.AtMicros = time.Now().UnixMicro()
	data, err := json.Marshal(rec)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.f.Write(append(data, '\n')); err != nil {
		fmt.Fprintln(os.Stderr, "soak: record lost:", err)
	}
}

// readRecords reads the records of a file.
func readRecords(file string) ([]Record, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	defer func() { _ = f.Close() }() // only read
	var out []Record
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var r Record
		if json.Unmarshal(sc.Bytes(), &r) == nil { // the last line of a killed process may be cut
			out = append(out, r)
		}
	}
	return out, nil
}
