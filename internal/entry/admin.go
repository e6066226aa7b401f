package entry

import (
	"net/http"

	"github.com/fighollow/fighollow/internal/admin"
)

// adminRoutes serves the health, the metrics and the view of the process.
func (e *Entry) adminRoutes() http.Handler {
	return admin.Handler(admin.Options{
		Registry: e.metrics.registry,
		Ready:    e.readiness,
		Status: func() admin.Status {
			_, state := e.readiness()
			return admin.NewStatus(e.cfg.Process, state, e.cat, e.node.Members())
		},
	})
}

// readiness reports whether the entry takes new requests, and why not.
func (e *Entry) readiness() (ok bool, state string) {
	switch {
	case e.isStopping():
		return false, "stopping"
	case !e.isReady():
		return false, "no preset in force known"
	}
	return true, "ok"
}
