// Package telemetry sets up logs, traces and metrics of a process.
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

// Telemetry is what a process reports through.
type Telemetry struct {
	Log   *zap.Logger
	Meter metric.Meter
	// Metrics serves the Prometheus page.
	Metrics http.Handler

	level  zap.AtomicLevel
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

// SetLevel sets the least level logged: debug, info, warn or error.
func (t *Telemetry) SetLevel(name string) error {
	level, err := zapcore.ParseLevel(name)
	if err != nil {
		return oops.In("telemetry").Wrapf(err, "log level")
	}
	t.level.SetLevel(level)
	return nil
}

func newLogger(o Options, level zap.AtomicLevel) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	return zap.New(newCore(encoding, newWriter(os.Stdout), level)).With(zap.String("instance", o.Instance))
}

// Of the lines with one message in a second, the first ones are kept and then one
// in so many, which bounds the volume under load.
const (
	keptLines = 200
	keptOneIn = 50
)

// newCore returns a core that samples lines below warnings; errors and warnings
// keep their place.
func newCore(encoding zapcore.EncoderConfig, to zapcore.WriteSyncer, level zapcore.LevelEnabler) zapcore.Core {
	encoder := zapcore.NewJSONEncoder(encoding)
	urgent := zapcore.NewCore(encoder, to, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l >= zapcore.WarnLevel }))
	usual := zapcore.NewCore(encoder, to, zap.LevelEnablerFunc(func(l zapcore.Level) bool { return level.Enabled(l) && l < zapcore.WarnLevel }))
	return zapcore.NewTee(urgent, zapcore.NewSamplerWithOptions(usual, time.Second, keptLines, keptOneIn))
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

// closeTimeout bounds the writing of what is buffered at the end of a process.
const closeTimeout = 3 * time.Second

// Close is Stop at the end of a process.
func (t *Telemetry) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	t.Stop(ctx)
}
