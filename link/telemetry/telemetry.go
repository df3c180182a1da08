package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// NewLogger returns a logger that writes one line of key=value pairs per event.
// The level is trace, debug, info, warn or error.
func NewLogger(name, level string, output io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{
		Name:       name,
		Level:      hclog.LevelFromString(level),
		Output:     output,
		TimeFormat: "2006-01-02T15:04:05.000Z0700",
	})
}

// DefaultReportInterval is how often the exposed metrics are updated.
const DefaultReportInterval = time.Second

// NewMetrics returns a scope, the HTTP handler that exposes its metrics to Prometheus,
// and a closer that stops reporting.
func NewMetrics(prefix string) (tally.Scope, http.Handler, io.Closer) {
	reporter := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          prefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, DefaultReportInterval)
	return scope, reporter.HTTPHandler(), closer
}
