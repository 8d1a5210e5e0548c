package daemon

import (
	"context"
	stdlog "log"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/process/telemetry"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// spanFlushTimeout is how long a stop waits until the last spans are written.
const spanFlushTimeout = 5 * time.Second

// hopOperator is the hop of the span of an operator request.
const hopOperator gateway.Hop = "operator"

// openTelemetry creates the metrics and opens the trace file.
func (d *Daemon) openTelemetry() error {
	start := time.Now()
	d.metrics = telemetry.NewMetrics(func() telemetry.State { return d.metricsState(time.Since(start)) })
	var err error
	d.traces, err = telemetry.OpenTraces(d.settings.Trace, d.settings.Node, d.settings.Domain, d.log.WithName("trace"))
	return err
}

// tracer returns nil if tracing is off, so that calls create no spans.
func (d *Daemon) tracer() gateway.Tracer {
	if d.traces == nil {
		return nil
	}
	return d.traces
}

// traceRequests creates a span for each operator request.
func (d *Daemon) traceRequests(next http.Handler) http.Handler {
	if d.traces == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r, span := d.traces.Arrive(r, hopOperator)
		span.Set("http.path", r.URL.Path)
		defer func() { span.End(telemetry.ResultCode(w.Header())) }()
		next.ServeHTTP(w, r)
	})
}

// tracedBackend is the operator.Backend of the daemon. It creates a span for each commit.
type tracedBackend struct{ *Daemon }

// Submit implements operator.Backend.
func (b tracedBackend) Submit(ctx context.Context, m *manifest.Manifest) (source.Answer, error) {
	ctx, end := b.traces.Commit(ctx)
	answer, err := b.Daemon.Submit(ctx, m)
	end(answer.Code, answer.Fleet)
	return answer, err
}

// logStart logs the build revision and the main settings at the start of the process.
func (d *Daemon) logStart() {
	s := &d.settings
	d.log.Info("serving",
		"revision", revision(), "region", s.Region, "domain", s.Domain, "source", s.IsSource(), "data_dir", s.DataDir,
		"caller", d.Addr("caller"), "announce", d.Addr("announce"), "peer", d.Addr("peer"), "operator", d.Addr("operator"),
		"token", d.token != "", "trace_file", s.Trace.File, "trace_ratio", s.Trace.SampleRatio)
}

// revision returns the commit that the binary was built from, or the module version if the
// commit is unknown.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// NotReady returns the reason why this daemon should get no requests, or "".
func (d *Daemon) NotReady() string {
	s := d.mesh.Status()
	switch {
	case d.leaving.Load():
		return "this daemon is stopping"
	case s.Version == 0:
		return "no version has reached this daemon yet"
	case !d.Ready():
		return "the version in force is not yet confirmed as the newest accepted version"
	default:
		return ""
	}
}

// metricsState returns the values of the daemon's metrics.
func (d *Daemon) metricsState(uptime time.Duration) telemetry.State {
	control := d.mesh.Status()
	state := telemetry.State{
		Uptime: uptime, Ready: d.NotReady() == "", Stale: control.Stale, Leaving: d.leaving.Load(),
		Version: control.Version, Committed: control.Heartbeat.Version,
		Depth: int(control.Depth), InForce: control.InForce.Count, Fleet: control.InForce.Total, Diverged: control.Diverged,
		Links: len(control.Links), Nodes: control.Nodes,
		ControlSent: d.traffic.Sent.Load(), ControlReceived: d.traffic.Received.Load(),
		Backends: d.gateway.Occupancy(), News: d.gateway.NewsCounts(), Budgets: d.gateway.Budgets(), EndToEnd: d.gateway.EndToEnd(), Rollouts: d.gateway.Rollouts(), Once: d.claims.metricsState(),
	}
	state.Servers = len(state.Backends)
	state.InternalRoutes, state.ExternalRoutes = d.gateway.RouteVerdicts()
	state.CallsSameDomain, state.CallsOtherDomain = d.gateway.PeerBytes()
	state.Plans = d.gateway.DomainPlans()
	state.CrossingFirst, state.CrossingFurther, state.CrossingAnswers = d.gateway.CrossingBytes()
	state.ControlSameDomain, state.ControlOtherDomain = d.controlSame.Bytes.Load(), d.controlOther.Bytes.Load()
	state.MethodsSameDomain, state.MethodsOtherDomain = d.controlSame.Methods.Snapshot(), d.controlOther.Methods.Snapshot()
	for name, l := range d.limits {
		state.Listeners = append(state.Listeners, telemetry.ListenerState{Name: name, Open: l.Open(), Limit: l.Limit(), Refused: l.Refused(), Evicted: l.Evicted()})
	}
	if d.source != nil {
		s := d.source.Status()
		state.Source = &telemetry.SourceState{
			Role: s.Role, Term: s.Term, Commit: s.Commit, Syncs: s.Syncs, LogBytes: s.LogBytes, Rejected: s.Rejected, Failed: s.Failure != "",
			Entries: s.Applied.Entries, EntryBytes: s.Applied.Bytes, ApplyTime: s.Applied.Time,
			Snapshots: s.Applied.Snapshots, SnapshotBytes: s.Applied.SnapshotBytes,
			StorageFailures: s.Applied.StorageFailures, FailedSnapshots: s.Applied.FailedSnapshots,
		}
	}
	return state
}

// controlCounters returns the counters for a control connection to a daemon. A daemon that is not
// known yet counts as one of another failure domain.
func (d *Daemon) controlCounters(addr string) *peer.Counters {
	for _, r := range d.mesh.Directory().Records {
		if r.Node.Addr == addr && r.Node.Domain == d.settings.Domain {
			return &d.controlSame
		}
	}
	return &d.controlOther
}

// serverLog returns the error log of an http.Server. It writes at verbosity 1, because anyone
// who can reach a listener can cause these messages.
func serverLog(log logr.Logger) *stdlog.Logger {
	return stdlog.New(logWriter{log}, "", 0)
}

type logWriter struct{ log logr.Logger }

// Write implements io.Writer.
func (w logWriter) Write(p []byte) (int, error) {
	w.log.V(1).Info("connection failed", "detail", strings.TrimSpace(string(p)))
	return len(p), nil
}
