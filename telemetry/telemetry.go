// Package telemetry sets up the logs, traces and metrics of a process.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

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

// Telemetry holds the logger, the meter and the tracer of a process.
type Telemetry struct {
	Log   *zap.Logger
	Meter metric.Meter
	// Metrics serves the metrics in Prometheus format.
	Metrics http.Handler

	level     zap.AtomicLevel
	tracer    *sdktrace.TracerProvider
	traceFile io.Closer
}

// Options configures the telemetry of a process.
type Options struct {
	Service   string
	Instance  string
	LogLevel  string // debug, info, warn or error
	TraceFile string // file to which traces are appended; empty disables tracing
}

// Start sets up telemetry and the global tracer. The caller must call Stop or Close
// before the process ends.
func Start(o Options) (*Telemetry, error) {
	t := &Telemetry{level: zap.NewAtomicLevel()}
	if err := t.SetLevel(o.LogLevel); err != nil {
		return nil, err
	}
	t.Log = newLogger(o, t.level)
	if err := t.startMetrics(o); err != nil {
		return nil, err
	}
	if err := t.startTraces(o); err != nil {
		return nil, err
	}
	return t, nil
}

// SetLevel sets the minimum level that is logged: debug, info, warn or error.
func (t *Telemetry) SetLevel(name string) error {
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "invalid log level")
	}
	t.level.SetLevel(level)
	return nil
}

func newLogger(o Options, level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(newCore(encoding, newWriter(os.Stdout), level)).With(zap.String("instance", o.Instance))
}

// Sampling of lines with the same message, which bounds the log volume under load: in
// each second the first sampleFirst lines are written, then one of every
// sampleThereafter.
const (
	sampleFirst      = 200
	sampleThereafter = 50
)

// newCore returns a core that samples lines below the warning level. Warnings and
// errors are not sampled.
func newCore(encoding zapcore.EncoderConfig, out zapcore.WriteSyncer, level zapcore.LevelEnabler) zapcore.Core {
	encoder := zapcore.NewJSONEncoder(encoding)
	unsampled := zapcore.NewCore(encoder, out, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l >= zapcore.WarnLevel }))
	sampled := zapcore.NewCore(encoder, out, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l < zapcore.WarnLevel }))
	return zapcore.NewTee(unsampled, zapcore.NewSamplerWithOptions(sampled, time.Second, sampleFirst, sampleThereafter))
}

func (t *Telemetry) startMetrics(o Options) error {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry))
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "create metrics exporter")
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithResource(newResource(o)))
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
		return oops.In("telemetry").Wrapf(err, "create trace exporter")
	}
	t.traceFile = file
	t.tracer = sdktrace.NewTracerProvider(sdktrace.WithBatcher(spans), sdktrace.WithResource(newResource(o)))
	otel.SetTracerProvider(t.tracer)
	return nil
}

// newResource returns the OpenTelemetry resource that identifies the process.
func newResource(o Options) *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", o.Service),
		attribute.String("service.instance.id", o.Instance),
	)
}

// Stop flushes buffered spans and log lines. It stops flushing spans when ctx ends.
func (t *Telemetry) Stop(ctx context.Context) {
	if t.tracer != nil {
		_ = t.tracer.Shutdown(ctx) // lost spans are acceptable, and the process ends anyway
		_ = t.traceFile.Close()
	}
	_ = t.Log.Sync()
}

// closeTimeout bounds the flush at the end of a process.
const closeTimeout = 3 * time.Second

// Close calls Stop with a timeout of closeTimeout.
func (t *Telemetry) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	t.Stop(ctx)
}
