package main

import (
	"fmt"
	stdlog "log"
	"net/http"
	"time"

	"github.com/fighollow/fighollow/internal/callerconn"
	"github.com/fighollow/fighollow/platform"
)

const (
	// probeTimeout bounds each request to the readiness and the metrics server, and the writing of its answer.
	probeTimeout = 10 * time.Second
	// probeHeaderBytes bounds the header of such a request.
	probeHeaderBytes = 8 << 10
	// probeShare divides the connections of callers: the readiness server and the metrics server have one part more each.
	probeShare = 16
	// minProbeConns is the least number of connections of these servers.
	minProbeConns = 8
)

// listenForCallers returns the server for callers and its listener.
func (p *gatewayProcess) listenForCallers() (*http.Server, *callerconn.Listener, error) {
	conns := callerconn.MaxConns(p.cfg.MemoryMB, p.cfg.Descriptors)
	l, err := callerconn.Listen(p.cfg.Ingress, conns)
	if err != nil {
		return nil, nil, fmt.Errorf("listen for callers: %w", err)
	}
	callers := callerconn.NewListener(l, callerconn.Options{
		Limits: p.callerLimits, MaxConns: conns, Held: p.held,
	}, p.log)
	return &http.Server{
		Handler:           callerconn.ResetAborted(platform.NewIngress(p.gateway, p.held, p.stopping.Load)),
		ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: stdlog.New(p.log, "", 0),
		ConnState: callers.ConnState, ConnContext: callerconn.Context, DisableGeneralOptionsHandler: true,
	}, callers, nil
}

// listenForProbes returns a server for requests without a body, such as readiness checks, and its listener.
func (p *gatewayProcess) listenForProbes(address string, h http.Handler) (*http.Server, *callerconn.Listener, error) {
	conns := callerconn.MaxConns(p.cfg.MemoryMB, p.cfg.Descriptors)
	if conns > 0 {
		conns = max(minProbeConns, conns/probeShare)
	}
	l, err := callerconn.Listen(address, conns)
	if err != nil {
		return nil, nil, err
	}
	probes := callerconn.NewListener(l, callerconn.Options{
		Limits: func() callerconn.Limits {
			return callerconn.Limits{Header: callerHeaderTimeout, Idle: callerIdleTimeout, HeaderBytes: probeHeaderBytes}
		},
		MaxConns: conns, Held: p.held,
	}, p.log)
	return &http.Server{
		Handler: callerconn.RefuseBodies(h), ReadTimeout: probeTimeout, WriteTimeout: probeTimeout, IdleTimeout: callerIdleTimeout,
		ErrorLog: stdlog.New(p.log, "", 0), ConnState: probes.ConnState, ConnContext: callerconn.Context,
		DisableGeneralOptionsHandler: true,
	}, probes, nil
}
