package telemetry

import (
	"context"
	"encoding/binary"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/daisygate/daisygate/internal/result"
)

// spanVersion is the property that names a fleet version.
const spanVersion = "daisygate.version"

// Commit begins the span of a manifest's commit, within that of the operator's
// request. The returned function ends it; with the fleet version that holds the
// manifest, it links the request to the trace of that change. A nil Traces
// records nothing.
func (t *Traces) Commit(ctx context.Context) (context.Context, func(code result.Code, version uint64)) {
	if t == nil {
		return ctx, func(result.Code, uint64) {}
	}
	ctx, s := t.tracer.Start(ctx, "commit")
	return ctx, func(code result.Code, version uint64) {
		if version > 0 {
			s.SetAttributes(attribute.Int64(spanVersion, int64(version)))
			s.AddLink(trace.Link{SpanContext: changeContext(version)})
		}
		span{s}.End(code)
	}
}

// Install records that a fleet version came into force here. The spans of all
// daemons for one version are in one trace, whose id follows from the version:
// no trace context travels with versions.
func (t *Traces) Install(version uint64) {
	if t == nil {
		return
	}
	ctx := trace.ContextWithRemoteSpanContext(context.Background(), changeContext(version))
	_, s := t.tracer.Start(ctx, "install")
	s.SetAttributes(attribute.Int64(spanVersion, int64(version)))
	s.End()
}

// changePrefix is the first half of the trace id of each change.
const changePrefix = 0xda15_9a7e_0000_0000

// changeContext is the root of the trace of a fleet version. It is sampled:
// changes are few.
func changeContext(version uint64) trace.SpanContext {
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], changePrefix)
	binary.BigEndian.PutUint64(id[8:], version)
	var root trace.SpanID
	binary.BigEndian.PutUint64(root[:], changePrefix|version&0xffff_ffff)
	return trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: root, TraceFlags: trace.FlagsSampled, Remote: true})
}
