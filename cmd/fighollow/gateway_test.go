package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/fighollow/fighollow/internal/logging"
	"github.com/fighollow/fighollow/platform"
	"github.com/fighollow/fighollow/platform/standin"
)

// freeAddress returns a loopback address with a port that is free now.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func testSettings(t *testing.T, store string) platform.Settings {
	return platform.Settings{
		Node: "n1", Address: "127.0.0.1", DataCentre: "a", Ingress: freeAddress(t), Readiness: freeAddress(t), StoreAddress: store,
		Bounds: platform.Bounds{
			Drain: 2 * time.Second, Grace: 2 * time.Second, Stable: 3 * time.Second, Lease: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 50,
		},
	}
}

func startProcess(ctx context.Context, cfg platform.Settings, metricsPort int) <-chan error {
	sink := logging.New(io.Discard, logging.Options{})
	p := newGatewayProcess(gatewayFlags{settingsFile: "/nonexistent", metricsPort: metricsPort}, cfg, sink, zerolog.New(sink))
	done := make(chan error, 1)
	go func() { done <- p.run(ctx) }()
	return done
}

// status returns the status of a readiness check; 0 without an answer.
func status(cfg platform.Settings) int {
	resp, err := http.Get("http://" + cfg.Readiness + platform.ReadinessPath)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 5 s: %s", what)
}

// Guards against a process that is ready without a configuration, exits on SIGHUP, or is ready while it stops.
func TestLifeOfAProcess(t *testing.T) {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	defer server.CloseClientConnections()
	cfg := testSettings(t, strings.TrimPrefix(server.URL, "http://"))
	ctx, cancel := context.WithCancel(context.Background())
	done := startProcess(ctx, cfg, 0)
	await(t, "the process answers", func() bool { return status(cfg) == http.StatusServiceUnavailable })
	store.Put("config", "main", map[string]any{"version": 1})
	await(t, "the process is ready", func() bool { return status(cfg) == http.StatusOK })
	qt.Assert(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil)
	time.Sleep(50 * time.Millisecond)
	qt.Assert(t, status(cfg), qt.Equals, http.StatusOK)
	cancel()
	await(t, "the process is not ready", func() bool { return status(cfg) == http.StatusServiceUnavailable })
	select {
	case err := <-done:
		qt.Assert(t, err, qt.IsNil)
	case <-time.After(5 * time.Second):
		t.Fatal("the process does not end")
	}
}

// Guards against a process that keeps running, or hangs, when one of its addresses is in use.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	port := l.Addr().(*net.TCPAddr).Port
	for _, change := range []func(cfg *platform.Settings) int{
		func(cfg *platform.Settings) int { cfg.Ingress = fmt.Sprintf("127.0.0.1:%d", port); return 0 },
		func(cfg *platform.Settings) int { cfg.Readiness = fmt.Sprintf("127.0.0.1:%d", port); return 0 },
		func(*platform.Settings) int { return port },
	} {
		cfg := testSettings(t, "127.0.0.1:1")
		metricsPort := change(&cfg)
		select {
		case err := <-startProcess(context.Background(), cfg, metricsPort):
			qt.Assert(t, err, qt.IsNotNil)
		case <-time.After(5 * time.Second):
			t.Fatal("the process does not end")
		}
	}
}
