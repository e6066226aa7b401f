package faults_test

import (
	"context"
	"errors"
	"net"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// Guards against a process that hangs, or exits with status 0, when it cannot bind one of its addresses.
func TestAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	f := &fleet{t: t, dir: t.TempDir(), apiAddr: freeAddr(t)}
	for _, kind := range []string{"entry", "sidecar"} {
		t.Run(kind, func(t *testing.T) {
			s := f.baseSettings("p", "hall-a", l.Addr().String(), freeAddr(t))
			if kind == "entry" {
				s["http"] = freeAddr(t)
			} else {
				s["upstream"] = object{"kind": "engine", "address": freeAddr(t)}
			}
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			out, err := exec.CommandContext(ctx, filepath.Join(binaries, "fighollow"), kind, "--settings", f.writeJSON(kind+".json", s)).CombinedOutput()
			var exit *exec.ExitError
			if ctx.Err() != nil || !errors.As(err, &exit) {
				t.Fatalf("ended with %v (time limit: %v): %s", err, ctx.Err(), out)
			}
		})
	}
}
