package entry

import (
	"net/http"

	"github.com/go-chi/chi/v5"
)

// adminRoutes serves the health of the process: /healthz while it runs, /readyz while it takes new requests.
func (e *Entry) adminRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		switch {
		case e.isStopping():
			http.Error(w, "stopping", http.StatusServiceUnavailable)
		case !e.isReady():
			http.Error(w, "no preset in force known", http.StatusServiceUnavailable)
		default:
			w.Write([]byte("ok\n"))
		}
	})
	r.Get("/metrics", e.serveMetrics)
	return r
}
