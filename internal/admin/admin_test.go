package admin_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"github.com/fighollow/fighollow/internal/admin"
)

// Guards against metrics that a Prometheus scraper cannot parse, and against quantiles that do not include every value.
func TestMetricsFormat(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.NewRegisteredCounter("refusals.notRun.overloaded", r).Inc(3)
	metrics.NewRegisteredFunctionalGauge("openRequests", r, func() int64 { return 7 })
	l := admin.NewLatency("firstPartMicros", r)
	for i := range 1000 {
		l.Record(time.Duration(i+1) * time.Millisecond)
	}
	h := admin.Handler(admin.Options{Registry: r, Ready: func() (bool, string) { return true, "ok" }})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	goldie.New(t).Assert(t, "metrics", w.Body.Bytes())
}

// Guards against a /readyz that does not follow the state of the process, so that a load balancer would send requests to a
// process that accepts none.
func TestReadyFollowsTheProcess(t *testing.T) {
	accepting := false
	h := admin.Handler(admin.Options{Registry: metrics.NewRegistry(), Ready: func() (bool, string) { return accepting, "state" }})
	for _, status := range []int{503, 200} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		qt.Assert(t, w.Code, qt.Equals, status)
		qt.Assert(t, w.Body.String(), qt.Equals, "state\n")
		accepting = true
	}
}
