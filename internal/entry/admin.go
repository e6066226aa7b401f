package entry

import (
	"net/http"

	"github.com/fighollow/fighollow/internal/admin"
)

// adminRoutes serves the health and the metrics of the process.
func (e *Entry) adminRoutes() http.Handler {
	return admin.Handler(admin.Options{
		Registry: e.metrics.registry,
		Ready: func() (bool, string) {
			switch {
			case e.isStopping():
				return false, "stopping"
			case !e.isReady():
				return false, "no preset in force known"
			}
			return true, "ok"
		},
	})
}
