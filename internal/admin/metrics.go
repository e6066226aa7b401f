package admin

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"

	"github.com/rcrowley/go-metrics"
)

var quantiles = []float64{0.5, 0.95, 0.99}

// WriteMetrics writes all counters, gauges and histograms of a registry in the Prometheus text format, sorted by name. A
// name such as attempts.firstTokenMicros becomes fighollow_attempts_first_token_micros.
func WriteMetrics(w io.Writer, r metrics.Registry) {
	byName := make(map[string]any)
	var names []string
	r.Each(func(name string, m any) {
		byName[name] = m
		names = append(names, name)
	})
	slices.Sort(names)
	for _, name := range names {
		writeMetric(w, metricName(name), byName[name])
	}
}

func writeMetric(w io.Writer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "# TYPE %s_total counter\n%s_total %d\n", name, name, m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.Histogram:
		// The library can take snapshots only of its own sample types, so these values are not read atomically.
		fmt.Fprintf(w, "# TYPE %s summary\n", name)
		for i, v := range m.Percentiles(quantiles) {
			fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], v)
		}
		fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, m.Sum(), name, m.Count())
	}
}

// metricName converts a dotted camel-case name to snake case with the prefix fighollow_.
func metricName(name string) string {
	var b strings.Builder
	b.WriteString("fighollow_")
	for _, c := range name {
		switch {
		case unicode.IsUpper(c):
			b.WriteByte('_')
			b.WriteRune(unicode.ToLower(c))
		case c >= 'a' && c <= 'z', c >= '0' && c <= '9':
			b.WriteRune(c)
		default:
			b.WriteByte('_')
		}
	}
	return b.String()
}
