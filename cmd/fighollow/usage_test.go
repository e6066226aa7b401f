package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

// usageAPI records the reports that it accepts.
type usageAPI struct {
	mu      sync.Mutex
	windows []int64
	holders []string
}

func (a *usageAPI) receive(report standin.UsageReport, err error) int {
	if err != nil {
		return http.StatusBadRequest
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.windows = append(a.windows, report.Window)
	if !slices.Contains(a.holders, report.Holder) {
		a.holders = append(a.holders, report.Holder)
	}
	return http.StatusOK
}

func (a *usageAPI) holder(n int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holders) > n
}

// Guards against a process that reports no usage although the settings require it, and against a planned stop of the holder that leaves the
// reports undone until its lease has expired.
func TestUsageIsReportedAcrossAPlannedStop(t *testing.T) {
	store, api := standin.NewStore(), &usageAPI{}
	server, apiServer := httptest.NewServer(store), httptest.NewServer(standin.UsageHandler(api.receive))
	defer apiServer.Close()
	defer server.CloseClientConnections()
	store.Put("config", "main", map[string]any{"version": 1})
	process := func(name string) (context.CancelFunc, <-chan error) {
		cfg := testSettings(t, strings.TrimPrefix(server.URL, "http://"))
		cfg.Node, cfg.Bounds.Lease, cfg.Bounds.ReportWindow = name, 3*time.Second, 200*time.Millisecond
		cfg.UsageAPI = platform.UsageAPISettings{Address: strings.TrimPrefix(apiServer.URL, "http://"), Required: true, CallsPS: 50}
		ctx, cancel := context.WithCancel(context.Background())
		return cancel, startProcess(ctx, cfg, 0)
	}
	stop, stopped := process("n1")
	defer stop()
	await(t, "the first process reports", func() bool { return api.holder(0) })
	stopNext, _ := process("n2")
	defer stopNext()
	time.Sleep(6 * time.Second) // until the second process may take over what is released
	stop()
	await(t, "the second process reports, before the lease expires after 5.5 s", func() bool { return api.holder(1) })
	qt.Assert(t, <-stopped, qt.IsNil)
	api.mu.Lock()
	defer api.mu.Unlock()
	qt.Assert(t, api.holders, qt.DeepEquals, []string{"n1", "n2"})
	all := slices.Compact(slices.Sorted(slices.Values(api.windows)))
	qt.Assert(t, int(all[len(all)-1]-all[0]), qt.Equals, len(all)-1, qt.Commentf("a window is missing: %v", all))
}
