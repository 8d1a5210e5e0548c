package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/result"
)

// tracerName is the instrumentation scope of each span.
const tracerName = "github.com/daisygate/daisygate"

// Traces writes a span for each hop to a file, one JSON object per line. It implements
// gateway.Tracer. The trace context is propagated between processes in the traceparent
// header (W3C Trace Context).
type Traces struct {
	provider *sdktrace.TracerProvider
	tracer   trace.Tracer
	context  propagation.TraceContext
	file     *os.File
}

// OpenTraces opens the file named by cfg for appending. If cfg names no file, it returns
// nil, and no spans are created.
func OpenTraces(cfg settings.Trace, node, domain string, log logr.Logger) (*Traces, error) {
	if cfg.File == "" {
		return nil, nil
	}
	file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o640)
	if err != nil {
		return nil, errors.Wrap(err, "trace.file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(&spanWriter{out: file, log: log}))
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "trace exporter"), file.Close())
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(loggingExporter{exporter, log}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.SampleRatio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "daisygate"),
			attribute.String("service.instance.id", node),
			attribute.String("daisygate.domain", domain),
		)),
	)
	return &Traces{provider: provider, tracer: provider.Tracer(tracerName), file: file}, nil
}

// Close flushes the remaining spans and closes the file. It is a no-op on a nil Traces.
func (t *Traces) Close(ctx context.Context) error {
	if t == nil {
		return nil
	}
	return errors.CombineErrors(t.provider.Shutdown(ctx), t.file.Close())
}

// Arrive implements gateway.Tracer.
func (t *Traces) Arrive(r *http.Request, hop gateway.Hop) (*http.Request, gateway.Span) {
	parent := t.context.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, s := t.tracer.Start(parent, string(hop), trace.WithSpanKind(trace.SpanKindServer))
	return r.WithContext(ctx), span{s}
}

// Send implements gateway.Tracer.
func (t *Traces) Send(ctx context.Context, hop gateway.Hop, header http.Header) gateway.Span {
	ctx, s := t.tracer.Start(ctx, string(hop), trace.WithSpanKind(trace.SpanKindClient))
	t.context.Inject(ctx, propagation.HeaderCarrier(header))
	return span{s}
}

// span adapts an OpenTelemetry span to gateway.Span.
type span struct{ trace.Span }

// Set implements gateway.Span.
func (s span) Set(key, value string) { s.SetAttributes(attribute.String(key, value)) }

// End implements gateway.Span.
func (s span) End(code result.Code) {
	s.SetAttributes(attribute.Int("daisygate.code", int(code)))
	if code.Outcome() != result.Run {
		s.SetStatus(codes.Error, code.String())
	}
	s.Span.End()
}

// spanWriter writes encoded spans, one Write each. It logs errors and does not return them: the
// encoder of the exporter never writes again after an error.
type spanWriter struct {
	out io.Writer
	log logr.Logger
	// torn is set if only a part of the latest span was written.
	torn bool
}

// Write implements io.Writer.
func (w *spanWriter) Write(span []byte) (int, error) {
	line := span
	if w.torn {
		line = append([]byte{'\n'}, span...)
	}
	n, err := w.out.Write(line)
	w.torn = w.torn && n == 0 || n > 0 && n < len(line)
	if err != nil {
		w.log.Error(err, "span not written", "bytes", len(span))
	}
	return len(span), nil
}

// loggingExporter logs failed exports. The SDK reports them only to an error handler that
// all daemons of a process share.
type loggingExporter struct {
	sdktrace.SpanExporter
	log logr.Logger
}

// ExportSpans implements sdktrace.SpanExporter.
func (e loggingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil {
		e.log.Error(err, "spans not exported", "spans", len(spans))
	}
	return nil
}

// ResultCode returns the result code in the header of a response. A response without a valid
// code counts as OK.
func ResultCode(h http.Header) result.Code {
	code, err := strconv.ParseUint(h.Get(result.HeaderResult), 10, 16)
	if err != nil {
		return result.OK
	}
	return result.Code(code)
}
