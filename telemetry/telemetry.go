// Package telemetry sets up logs, traces and metrics of a process.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Telemetry is what a process reports through.
type Telemetry struct {
	Log   *zap.Logger
	Meter metric.Meter
	// Metrics serves the Prometheus page.
	Metrics http.Handler

	tracer *sdktrace.TracerProvider
	file   io.Closer
}

// Options tell what to set up.
type Options struct {
	Service   string
	Instance  string
	LogLevel  string // debug, info, warn or error
	TraceFile string // appended to; empty for no traces
}

// Start sets up telemetry and the global tracer. Stop must be called at the end.
func Start(o Options) (*Telemetry, error) {
	log, err := newLogger(o)
	if err != nil {
		return nil, err
	}
	t := &Telemetry{Log: log}
	if err := t.startMetrics(o); err != nil {
		return nil, err
	}
	if err := t.startTraces(o); err != nil {
		return nil, err
	}
	return t, nil
}

func newLogger(o Options) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(o.LogLevel)
	if err != nil {
		return nil, oops.In("telemetry").Wrapf(err, "log level")
	}
	config := zap.NewProductionConfig()
	config.OutputPaths = []string{"stdout"}
	config.Level = zap.NewAtomicLevelAt(level)
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true
	config.DisableCaller = true
	log, err := config.Build(zap.Fields(zap.String("instance", o.Instance)))
	if err != nil {
		return nil, oops.In("telemetry").Wrapf(err, "build logger")
	}
	return log, nil
}

func (t *Telemetry) startMetrics(o Options) error {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "metrics")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithResource(identity(o)))
	t.Meter = provider.Meter("github.com/pomelocross/pomelocross")
	t.Metrics = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	return nil
}

func (t *Telemetry) startTraces(o Options) error {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	if o.TraceFile == "" {
		return nil
	}
	file, err := os.OpenFile(o.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "open trace file")
	}
	spans, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "traces")
	}
	t.file = file
	t.tracer = sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans), sdktrace.WithResource(identity(o)))
	otel.SetTracerProvider(t.tracer)
	return nil
}

func identity(o Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", o.Service),
		attribute.String("service.instance.id", o.Instance),
	)
}

// Stop writes out what is buffered.
func (t *Telemetry) Stop(ctx context.Context) {
	if t.tracer != nil {
		_ = t.tracer.Shutdown(ctx) // spans are hints; the process ends anyway
		_ = t.file.Close()
	}
	_ = t.Log.Sync()
}
