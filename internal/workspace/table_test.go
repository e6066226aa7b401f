package workspace_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/fighollow/fighollow/internal/workspace"
	"github.com/fighollow/fighollow/pkg/fighollow"
)

func priority(p int) *int { return &p }

// Guards against a credential that is taken for a key although it is not exactly one value that is one.
func TestCredentials(t *testing.T) {
	table, problems := workspace.New(&fighollow.Routing{Workspaces: []fighollow.KeyedWorkspace{
		{Name: "a", Keys: []string{"k1", "k2", "k2"}}, {Name: "b", Keys: []string{"k3"}}, {Name: "none"},
	}})
	qt.Assert(t, problems, qt.HasLen, 0)
	qt.Assert(t, table.Keys(), qt.Equals, 3)
	for _, c := range []struct {
		credentials []string
		workspace   string
		reason      workspace.Reason
	}{
		{nil, "", workspace.ReasonMissing},
		{[]string{"k1"}, "a", workspace.ReasonNone},
		{[]string{"k2"}, "a", workspace.ReasonNone},
		{[]string{"k3"}, "b", workspace.ReasonNone},
		{[]string{"k1", "k1"}, "", workspace.ReasonRepeated},
		{[]string{"k1", ""}, "", workspace.ReasonRepeated},
		{[]string{""}, "", workspace.ReasonEmpty},
		{[]string{" "}, "", workspace.ReasonEmpty},
		{[]string{"k1,k3"}, "", workspace.ReasonMalformed},
		{[]string{"k1, k1"}, "", workspace.ReasonMalformed},
		{[]string{"Bearer k1"}, "", workspace.ReasonMalformed},
		{[]string{"k1 "}, "", workspace.ReasonMalformed},
		{[]string{"K1"}, "", workspace.ReasonUnknown},
		{[]string{"k"}, "", workspace.ReasonUnknown},
		{[]string{"a"}, "", workspace.ReasonUnknown},
	} {
		name, reason := table.Find(c.credentials)
		qt.Check(t, name, qt.Equals, c.workspace, qt.Commentf("%q", c.credentials))
		qt.Check(t, reason, qt.Equals, c.reason, qt.Commentf("%q", c.credentials))
	}
}

// Guards against a mistake in one workspace that changes what the others may do, or that is not reported.
func TestProblemsLeaveTheRest(t *testing.T) {
	long := strings.Repeat("n", 513)
	table, problems := workspace.New(&fighollow.Routing{Workspaces: []fighollow.KeyedWorkspace{
		{Name: "a", Keys: []string{"", "ka", "all", "ab"}},
		{Name: "b", Keys: []string{"kb", "all", "ab"}, Priority: priority(2)},
		{Name: "", Keys: []string{"k0"}},
		{Name: "line\nbreak", Keys: []string{"k1"}},
		{Name: " space", Keys: []string{"ka"}},
		{Name: long, Keys: []string{"k2"}},
		{Name: "b", Keys: []string{"kb", "kb2"}, Priority: priority(1)},
		{Name: "c é", Keys: []string{"all", "x\r\n", "kc"}},
	}})
	for key, want := range map[string]string{
		"ka": "a", "kb": "b", "kb2": "b", "kc": "c é", "all": "", "ab": "", "k0": "", "k1": "", "k2": "", "x\r\n": "",
	} {
		name, _ := table.Find([]string{key})
		qt.Check(t, name, qt.Equals, want, qt.Commentf("%q", key))
	}
	qt.Assert(t, problems, qt.DeepEquals, []workspace.Problem{
		{Kind: workspace.ProblemEmptyKey, Index: 0, Workspaces: []string{"a"}, Key: 0},
		{Kind: workspace.ProblemEmptyName, Index: 2, Key: -1},
		{Kind: workspace.ProblemUnsendableName, Index: 3, Workspaces: []string{"line\nbreak"}, Key: -1},
		{Kind: workspace.ProblemUnsendableName, Index: 4, Workspaces: []string{" space"}, Key: -1},
		{Kind: workspace.ProblemUnsendableName, Index: 5, Workspaces: []string{long}, Key: -1},
		{Kind: workspace.ProblemDuplicateName, Index: 6, Workspaces: []string{"b"}, Key: -1},
		{Kind: workspace.ProblemUnsendableKey, Index: 7, Workspaces: []string{"c é"}, Key: 1},
		{Kind: workspace.ProblemSharedKey, Index: -1, Workspaces: []string{"a", "b"}, Key: -1},
		{Kind: workspace.ProblemSharedKey, Index: -1, Workspaces: []string{"a", "b", "c é"}, Key: -1},
	})
}

// Guards against ranks that are in another order than the pairs of priorities, more than five of them, or fewer than could be told apart.
func TestRanksKeepTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &fighollow.Routing{}
		least, workspaces := -1, rapid.SliceOfN(rapid.IntRange(-1, 9), 1, 12).Draw(t, "workspaces") // -1: no priority
		for i, p := range workspaces {
			w := fighollow.KeyedWorkspace{Name: fmt.Sprint("w", i)}
			if p >= 0 {
				w.Priority = priority(p)
			}
			least = max(least, p)
			r.Workspaces = append(r.Workspaces, w)
		}
		routes := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 8).Draw(t, "routes")
		for _, p := range routes {
			r.Routes = append(r.Routes, fighollow.Route{Priority: p})
		}
		table, _ := workspace.New(r)
		ranks := make(map[[2]int]int)
		used := make(map[int]bool)
		for i, p := range workspaces {
			for _, route := range routes {
				rank := table.Rank(fmt.Sprint("w", i), route)
				if least < 0 {
					if rank != route {
						t.Fatalf("rank %d for priority %d without workspaces' priorities", rank, route)
					}
					continue
				}
				if p < 0 {
					p = least
				}
				ranks[[2]int{p, route}] = rank
				used[rank] = true
				if rank < 0 || rank >= workspace.Ranks {
					t.Fatalf("rank %d", rank)
				}
			}
		}
		for _, route := range routes {
			want := route
			if least >= 0 {
				want = ranks[[2]int{least, route}]
			}
			if got := table.Rank("", route); got != want {
				t.Fatalf("rank %d without a workspace, not %d", got, want)
			}
		}
		if len(used) != min(len(ranks), workspace.Ranks) {
			t.Fatalf("%d ranks for %d pairs", len(used), len(ranks))
		}
		for a, ra := range ranks {
			for b, rb := range ranks {
				if (a[0] < b[0] || a[0] == b[0] && a[1] < b[1]) && ra > rb {
					t.Fatalf("%v has %d, %v has %d", a, ra, b, rb)
				}
			}
		}
	})
}

func TestRanksByNumberOfPriorities(t *testing.T) {
	for _, c := range []struct {
		workspaces, routes []int
		want               [][]int // by workspace and route
	}{
		{[]int{0, 1}, []int{0, 3}, [][]int{{0, 1}, {2, 3}}},
		{[]int{7}, []int{0, 1, 2, 3, 4}, [][]int{{0, 1, 2, 3, 4}}},
		{[]int{0, 1}, []int{0, 1, 2}, [][]int{{0, 1, 2}, {3, 3, 4}}},
		{[]int{0, 1, 2}, []int{0, 1}, [][]int{{0, 1}, {2, 3}, {4, 4}}},
		{[]int{1, 2, 3, 4, 5, 6}, []int{0, 9}, [][]int{{0, 0}, {0, 0}, {1, 1}, {2, 2}, {3, 3}, {4, 4}}},
	} {
		r := &fighollow.Routing{}
		for _, p := range c.workspaces {
			r.Workspaces = append(r.Workspaces, fighollow.KeyedWorkspace{Name: fmt.Sprint(p), Priority: priority(p)})
		}
		for _, p := range c.routes {
			r.Routes = append(r.Routes, fighollow.Route{Priority: p})
		}
		table, _ := workspace.New(r)
		for i, w := range c.workspaces {
			for j, route := range c.routes {
				qt.Check(t, table.Rank(fmt.Sprint(w), route), qt.Equals, c.want[i][j], qt.Commentf("%v %v: %d, %d", c.workspaces, c.routes, w, route))
			}
		}
	}
}

// Guards against keys that are used longer than allowed where revocation is strict, and against an outage of the store that ends service
// where it is not.
func TestRevocation(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		strict    bool
		confirmed time.Time
		want      bool
	}{
		{false, time.Time{}, true},
		{false, now.Add(-time.Hour), true},
		{true, time.Time{}, false},
		{true, now, true},
		{true, now.Add(-5 * time.Second), true},
		{true, now.Add(-5*time.Second - time.Millisecond), false},
	} {
		r := workspace.Revocation{Strict: c.strict, Within: 5 * time.Second}
		qt.Check(t, r.MayUseKeys(now, c.confirmed), qt.Equals, c.want, qt.Commentf("%+v", c))
		qt.Check(t, r.Interval(), qt.Equals, 1250*time.Millisecond)
	}
}

// Guards against fingerprints that do not tell keys apart or can be computed without the process's secret.
func TestFingerprints(t *testing.T) {
	f := workspace.NewFingerprinter()
	a := f.Fingerprint([]string{"key-a"})
	qt.Assert(t, a, qt.Matches, "[0-9a-f]{8}")
	qt.Assert(t, f.Fingerprint([]string{"key-a"}), qt.Equals, a)
	qt.Assert(t, f.Fingerprint([]string{"key-b"}), qt.Not(qt.Equals), a)
	qt.Assert(t, workspace.NewFingerprinter().Fingerprint([]string{"key-a"}), qt.Not(qt.Equals), a)
	qt.Assert(t, f.Fingerprint(nil), qt.Equals, "")
}

// targetRouting returns a configuration of the target size: 300 workspaces, 20,000 keys and 1,400 routes.
func targetRouting() *fighollow.Routing {
	r := &fighollow.Routing{KeysRequired: true}
	for i := range 1400 {
		r.Routes = append(r.Routes, fighollow.Route{Name: fmt.Sprint("route", i), Priority: i % 4})
	}
	for i := range 300 {
		r.Workspaces = append(r.Workspaces, fighollow.KeyedWorkspace{Name: fmt.Sprint("workspace", i), Priority: priority(i % 3)})
	}
	for i := range 20_000 {
		w := &r.Workspaces[i%300]
		w.Keys = append(w.Keys, fmt.Sprintf("%032x", i*7919))
	}
	return r
}

// credentials returns what the callers of all keys send, each as a copy of the key.
func credentials(r *fighollow.Routing) [][]string {
	var out [][]string
	for _, w := range r.Workspaces {
		for _, key := range w.Keys {
			out = append(out, []string{strings.Clone(key)})
		}
	}
	return out
}

// The credentials are read in order, as that of a request is in the processor's cache when it is looked up; the table is not.
func BenchmarkFind(b *testing.B) {
	r := targetRouting()
	table, _ := workspace.New(r)
	sent := credentials(r)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Find(sent[i%len(sent)])
	}
}

func BenchmarkRank(b *testing.B) {
	r := targetRouting()
	table, _ := workspace.New(r)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Rank(r.Workspaces[i*31%len(r.Workspaces)].Name, i%4)
	}
}

func BenchmarkBuild(b *testing.B) {
	r := targetRouting()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table, _ := workspace.New(r)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		workspace.New(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heldB")
	runtime.KeepAlive(table)
}
