package faults_test

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"
)

// binaries is the directory of the programs under test. runAll selects all cells; otherwise only the quick ones run.
var (
	binaries string
	runAll   = os.Getenv("FAULTS_ALL") != ""
	results  = table{rows: make(map[string]string)}
)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	code := m.Run()
	results.print()
	return code
}

// cell is one row of the fault table.
type cell struct {
	name  string
	quick bool // runs in CI
	run   func(t *testing.T, f *fleet)
}

// cellLimit bounds the time of a cell.
const cellLimit = 45 * time.Second

// runCells runs each cell on a fleet of its own and then checks the answers to callers and the records of the stand-ins.
func runCells(t *testing.T, cells []cell) {
	for _, c := range cells {
		t.Run(c.name, func(t *testing.T) {
			if !runAll && !c.quick {
				results.set(t.Name(), "not run")
				t.Skip("FAULTS_ALL is not set")
			}
			t.Parallel()
			results.set(t.Name(), "failed")
			f := newFleet(t)
			c.run(t, f)
			f.check(t)
			if !t.Failed() {
				results.set(t.Name(), "passed")
			}
		})
	}
}

// table holds the result of each cell by its test name.
type table struct {
	mu   sync.Mutex
	rows map[string]string
}

func (r *table) set(name, result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows[name] = result
}

// print writes the table to the file that FAULTS_TABLE names, because go test hides the output of packages that pass.
func (r *table) print() {
	var out io.Writer = os.Stdout
	if name := os.Getenv("FAULTS_TABLE"); name != "" {
		f, err := os.Create(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return
		}
		defer func() { _ = f.Close() }()
		out = f
	}
	names := make([]string, 0, len(r.rows))
	counts := make(map[string]int)
	for n, result := range r.rows {
		names = append(names, n)
		counts[result]++
	}
	sort.Strings(names)
	for _, n := range names {
		if runAll || r.rows[n] != "not run" {
			fmt.Fprintf(out, "%-8s %s\n", r.rows[n], strings.TrimPrefix(n, "Test"))
		}
	}
	fmt.Fprintf(out, "cells: %d passed, %d failed, %d not run\n", counts["passed"], counts["failed"], counts["not run"])
}
