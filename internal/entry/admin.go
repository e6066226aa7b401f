package entry

import (
	"net/http"

	"github.com/fighollow/fighollow/internal/admin"
)

// adminRoutes returns the handler for the health, the metrics and the status of the process.
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

// readiness reports whether the entry accepts new requests. state is "ok" or the reason against it.
func (e *Entry) readiness() (ok bool, state string) {
	switch {
	case e.isStopping():
		return false, "stopping"
	case !e.isReady():
		return false, "no preset in force known"
	}
	return true, "ok"
}
