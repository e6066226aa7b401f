// Package admin implements the HTTP server for the health, the metrics and the status of a process.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
)

// Options configures the admin server of a process.
type Options struct {
	// Ready returns whether the process accepts new work, and a description of its state for people.
	Ready func() (ok bool, state string)
	// Registry holds the metrics of the process.
	Registry metrics.Registry
	// Status returns the process's current view of the fleet.
	Status func() Status
}

// MetricsHandler serves the metrics of a registry in the Prometheus text format.
func MetricsHandler(registry metrics.Registry) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		WriteMetrics(w, registry)
	}
}

// Handler serves /healthz (200 while the process runs), /readyz (200 while it accepts new work, otherwise 503), /metrics
// (the Prometheus text format) and /status (Status as JSON).
func Handler(opts Options) http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, state := opts.Ready()
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		w.Write([]byte(state + "\n"))
	})
	r.Get("/metrics", MetricsHandler(opts.Registry))
	r.Get("/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(opts.Status()) // an error means that the client has disconnected
	})
	return r
}
