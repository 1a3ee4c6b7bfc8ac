// Package telemetry sets up a VM's logs, metrics and traces.
package telemetry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/jasminecove/jasminecove/internal/node/settings"
)

// reportInterval is the interval at which metrics are reported to Prometheus.
const reportInterval = time.Second

// tracerName is the instrumentation name of the traces.
const tracerName = "jasminecove"

// Telemetry is a VM's logs, metrics and traces.
type Telemetry struct {
	Log     hclog.Logger
	Metrics tally.Scope
	Tracer  trace.Tracer
	// Propagator extracts and injects the W3C trace context.
	Propagator propagation.TextMapPropagator
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler

	closers []func() error
}

// New sets up logs, metrics and traces. Logs are written to out.
func New(s settings.Settings, out io.Writer) (*Telemetry, error) {
	t := &Telemetry{
		Log: hclog.New(&hclog.LoggerOptions{
			Name: s.VM, Level: hclog.LevelFromString(s.Telemetry.LogLevel), JSONFormat: s.Telemetry.LogJSON, Output: out,
		}),
		Tracer:     noop.NewTracerProvider().Tracer(tracerName),
		Propagator: propagation.TraceContext{},
	}
	t.metrics(s)
	if err := t.traces(s); err != nil {
		return nil, err
	}
	return t, nil
}

// Close flushes buffered metrics and traces, and closes the outputs.
func (t *Telemetry) Close() {
	for _, c := range t.closers {
		if err := c(); err != nil {
			t.Log.Warn("failed to close telemetry", "error", err)
		}
	}
}

// metrics sets up the metrics of the VM.
func (t *Telemetry) metrics(s settings.Settings) {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "jasminecove", Tags: map[string]string{"vm": s.VM},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	t.Metrics = scope
	t.Handler = reporter.HTTPHandler()
	t.closers = append(t.closers, closer.Close)
}

// traces sets up the export of traces, if the settings ask for it.
func (t *Telemetry) traces(s settings.Settings) error {
	exporter, err := t.exporter(s.Telemetry)
	if err != nil || exporter == nil {
		return err
	}
	ratio := s.Telemetry.TraceRatio
	if ratio == 0 {
		ratio = 1
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "jasminecove"),
			attribute.String("vm", s.VM), attribute.String("dataCentre", s.DataCentre))),
	)
	t.Tracer = provider.Tracer(tracerName)
	t.closers = append([]func() error{func() error { return provider.Shutdown(context.Background()) }}, t.closers...)
	return nil
}

// exporter returns the trace exporter of the settings, or nil if traces are not exported.
func (t *Telemetry) exporter(s settings.Telemetry) (sdktrace.SpanExporter, error) {
	if s.TraceOTLP != "" {
		e, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.TraceOTLP), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, fmt.Errorf("create trace exporter: %w", err)
		}
		return e, nil
	}
	if s.TraceFile == "" {
		return nil, nil
	}
	const mode = 0o600
	f, err := os.OpenFile(s.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, mode)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", err)
	}
	t.closers = append(t.closers, f.Close)
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, fmt.Errorf("create trace exporter: %w", err)
	}
	return e, nil
}
