package telemetry

import (
	"context"
	"encoding/binary"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/daisygate/daisygate/internal/result"
)

// versionAttribute is the span attribute that holds a fleet version.
const versionAttribute = "daisygate.version"

// Commit starts the span of the commit of a manifest, as a child of the span of the
// operator's request. The returned function ends the span; if version is not 0, it also
// links the span to the trace of that fleet version. A nil Traces records nothing.
func (t *Traces) Commit(ctx context.Context) (context.Context, func(code result.Code, version uint64)) {
	if t == nil {
		return ctx, func(result.Code, uint64) {}
	}
	ctx, s := t.tracer.Start(ctx, "commit")
	return ctx, func(code result.Code, version uint64) {
		if version > 0 {
			s.SetAttributes(attribute.Int64(versionAttribute, int64(version)))
			s.AddLink(trace.Link{SpanContext: changeContext(version)})
		}
		span{s}.End(code)
	}
}

// Install records that this daemon put a fleet version in force. The spans of all daemons
// for one version belong to the same trace, whose ID is derived from the version, so that
// no trace context needs to be sent with versions. A nil Traces records nothing.
func (t *Traces) Install(version uint64) {
	if t == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), changeContext(version))
	_, s := t.tracer.Start(ctx, "install")
	s.SetAttributes(attribute.Int64(versionAttribute, int64(version)))
	s.End()
}

// changePrefix is the first half of the trace ID of each fleet version.
const changePrefix = 0xda15_9a7e_0000_0000

// changeContext returns the root span context of the trace of a fleet version. It is
// always sampled because changes are rare.
func changeContext(version uint64) trace.SpanContext {
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], changePrefix)
	binary.BigEndian.PutUint64(id[8:], version)
	var root trace.SpanID
	binary.BigEndian.PutUint64(root[:], changePrefix|version&0xffff_ffff)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: root, TraceFlags: trace.FlagsSampled, Remote: true})
}
