package telemetry

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/connection/peer"
	"github.com/daisygate/daisygate/internal/request/loadnews"
)

// State is the state of a daemon at the time of a scrape.
type State struct {
	// Uptime is the time since the daemon started.
	Uptime time.Duration
	// Ready, Stale and Leaving have the same meaning as at /readyz.
	Ready, Stale, Leaving bool
	// Version is the fleet version in force on this daemon. Committed is the newest
	// version announced by the heartbeat of the sources.
	Version, Committed uint64
	// Depth is the number of hops to the leader. InForce is the number of daemons, out of
	// Fleet, that have the newest version, as far as this daemon knows. Diverged is the
	// number of daemons found with different content under the same version, which must
	// never happen.
	Depth, InForce, Fleet int
	Diverged              uint64
	// Links is the number of links to other daemons, Nodes the number of known daemons,
	// Servers the number of local backend servers.
	Links, Nodes, Servers int
	// ControlSent and ControlReceived are the bytes of control messages since the start.
	ControlSent, ControlReceived uint64
	// ControlSameDomain to CallsOtherDomain are the bytes, in both directions, on connections
	// that this daemon opened to daemons of the same failure domain and of others. In the sum
	// over all daemons each byte counts once.
	ControlSameDomain, ControlOtherDomain uint64
	CallsSameDomain, CallsOtherDomain     uint64
	// CrossingFirst and CrossingFurther are the bytes of requests sent to other failure domains, as
	// first and as further attempts; CrossingAnswers is the rest of CallsOtherDomain.
	CrossingFirst, CrossingFurther, CrossingAnswers uint64
	// Plans are the shares of requests that go to other failure domains.
	Plans []gateway.DomainPlan
	// MethodsSameDomain and MethodsOtherDomain are the control calls on these connections, by RPC
	// method.
	MethodsSameDomain, MethodsOtherDomain map[string]peer.MethodTraffic
	// Backends is the occupancy of the local backend servers.
	Backends []gateway.Occupancy
	// InternalRoutes and ExternalRoutes are the numbers of routes, among those recently used here,
	// that are considered to be called by backend servers only, and by callers.
	InternalRoutes, ExternalRoutes int
	// News counts the load reports that daemons pass on to each other.
	News gateway.NewsCounts
	// Budgets is the state of the retry budget of each service.
	Budgets []gateway.ServiceBudget
	// EndToEnd is the state of admission from end to end.
	EndToEnd gateway.EndToEnd
	// Listeners holds the connection counts of each listener.
	Listeners []ListenerState
	// Source is nil on a daemon that is not a source.
	Source *SourceState
	// Rollouts are the roll-outs in progress.
	Rollouts []gateway.ServiceTally
	// Once is the state of idempotency keys and suspects.
	Once IdempotencyState
}

// ListenerState holds the connection counts of one listener.
type ListenerState struct {
	Name        string
	Open, Limit int
	// Refused is the number of connections refused since the start, and Evicted that of
	// connections closed in favor of new ones.
	Refused, Evicted uint64
}

// SourceState is the state of the replicated log of a source.
type SourceState struct {
	Role         string
	Term, Commit uint64
	// Syncs is the number of disk syncs since the start.
	Syncs    uint64
	LogBytes int64
	// Entries and EntryBytes are the number and the bytes of the log entries applied since
	// the start, ApplyTime the time spent applying them. Snapshots is the number of
	// snapshots written since the start.
	Entries, EntryBytes uint64
	ApplyTime           time.Duration
	Snapshots           uint64
	// SnapshotBytes is the size of the newest snapshot.
	SnapshotBytes int
	// Rejected is the number of messages of other sources that were dropped because their
	// sender belongs to another group.
	Rejected uint64
	// Failed is true while the source takes no part in its group. StorageFailures is the
	// number of times that it stopped because of its disk, FailedSnapshots the number of
	// snapshots that the disk refused.
	Failed                           bool
	StorageFailures, FailedSnapshots uint64
}

// sourceRoles are the values of the role label.
var sourceRoles = []string{"follower", "pre-candidate", "candidate", "leader", "learner"}

func (s State) write(w io.Writer) {
	metrics.WriteGaugeFloat64(w, "daisygate_uptime_seconds", s.Uptime.Seconds())
	writeBool(w, "daisygate_ready", s.Ready)
	writeBool(w, "daisygate_stale", s.Stale)
	writeBool(w, "daisygate_leaving", s.Leaving)
	metrics.WriteGaugeUint64(w, "daisygate_version_in_force", s.Version)
	metrics.WriteGaugeUint64(w, "daisygate_version_committed", s.Committed)
	metrics.WriteGaugeUint64(w, "daisygate_hops_to_leader", uint64(s.Depth))
	metrics.WriteGaugeUint64(w, "daisygate_nodes_in_force", uint64(s.InForce))
	metrics.WriteGaugeUint64(w, "daisygate_nodes_total", uint64(s.Fleet))
	metrics.WriteCounterUint64(w, "daisygate_versions_diverged_total", s.Diverged)
	metrics.WriteGaugeUint64(w, "daisygate_links", uint64(s.Links))
	metrics.WriteGaugeUint64(w, "daisygate_nodes_known", uint64(s.Nodes))
	metrics.WriteGaugeUint64(w, "daisygate_backend_servers", uint64(s.Servers))
	metrics.WriteCounterUint64(w, `daisygate_control_bytes_total{direction="sent"}`, s.ControlSent)
	metrics.WriteCounterUint64(w, `daisygate_control_bytes_total{direction="received"}`, s.ControlReceived)
	writePeerBytes(w, "control", s.ControlSameDomain, s.ControlOtherDomain)
	writePeerBytes(w, "calls", s.CallsSameDomain, s.CallsOtherDomain)
	s.writeCrossings(w)
	writeMethods(w, "same", s.MethodsSameDomain)
	writeMethods(w, "other", s.MethodsOtherDomain)
	metrics.WriteGaugeUint64(w, `daisygate_routes_considered{verdict="internal"}`, uint64(s.InternalRoutes))
	metrics.WriteGaugeUint64(w, `daisygate_routes_considered{verdict="external"}`, uint64(s.ExternalRoutes))
	for _, b := range s.Backends {
		writeBackend(w, b)
	}
	writeNews(w, s.News)
	for _, b := range s.Budgets {
		writeBudget(w, b)
	}
	writeEndToEnd(w, s.EndToEnd)
	for _, l := range s.Listeners {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("daisygate_listener_connections{listener=%q}", l.Name), uint64(l.Open))
		metrics.WriteGaugeUint64(w, fmt.Sprintf("daisygate_listener_connections_limit{listener=%q}", l.Name), uint64(l.Limit))
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_listener_refused_total{listener=%q}", l.Name), l.Refused)
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_listener_evicted_total{listener=%q}", l.Name), l.Evicted)
	}
	for _, r := range s.Rollouts {
		writeRollout(w, r)
	}
	if s.Source != nil {
		s.Source.write(w)
	}
	s.Once.write(w)
}

func writePeerBytes(w io.Writer, traffic string, same, other uint64) {
	metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_peer_bytes_total{traffic=%q,domain=\"same\"}", traffic), same)
	metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_peer_bytes_total{traffic=%q,domain=\"other\"}", traffic), other)
}

func (s *State) writeCrossings(w io.Writer) {
	for _, b := range []struct {
		occasion string
		bytes    uint64
	}{{"first", s.CrossingFirst}, {"further", s.CrossingFurther}, {"answers", s.CrossingAnswers}, {"control", s.ControlOtherDomain}} {
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_crossing_bytes_total{occasion=%q}", b.occasion), b.bytes)
	}
	for _, p := range s.Plans {
		labels := fmt.Sprintf("mesh=%q,service=%q", p.Key.Mesh, p.Key.Name)
		writeBool(w, fmt.Sprintf("daisygate_crossing_plan_in_force{%s}", labels), p.InForce)
		for _, share := range p.Shares {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("daisygate_crossing_share{%s,domain=%q}", labels, share.Domain), share.Share)
		}
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_crossings_total{%s,decision=\"allowed\"}", labels), p.Allowed)
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_crossings_total{%s,decision=\"denied\"}", labels), p.Denied)
	}
}

func writeMethods(w io.Writer, domain string, methods map[string]peer.MethodTraffic) {
	for _, method := range slices.Sorted(maps.Keys(methods)) {
		labels := fmt.Sprintf("{method=%q,domain=%q}", method, domain)
		metrics.WriteCounterUint64(w, "daisygate_control_calls_total"+labels, methods[method].Calls)
		metrics.WriteCounterUint64(w, "daisygate_control_call_bytes_total"+labels, methods[method].Bytes)
	}
}

func writeBackend(w io.Writer, b gateway.Occupancy) {
	labels := fmt.Sprintf("{server=%q}", b.Server)
	metrics.WriteGaugeUint64(w, "daisygate_backend_slots_in_use"+labels, uint64(b.Running))
	metrics.WriteGaugeUint64(w, "daisygate_backend_slots_limit"+labels, uint64(b.Slots))
	metrics.WriteGaugeUint64(w, "daisygate_backend_queue_length"+labels, uint64(b.Queued))
	metrics.WriteGaugeFloat64(w, "daisygate_backend_load_per_slot"+labels, b.Load)
	metrics.WriteCounterUint64(w, "daisygate_backend_requests_total"+labels, b.Requests)
	metrics.WriteCounterUint64(w, "daisygate_backend_repeats_total"+labels, b.Retries)
	metrics.WriteCounterUint64(w, "daisygate_backend_late_starts_total"+labels, b.LateStarts)
	metrics.WriteGaugeFloat64(w, "daisygate_backend_rate_limit"+labels, b.RateLimit)
	metrics.WriteGaugeFloat64(w, "daisygate_backend_slowness"+labels, b.Slowness)
	metrics.WriteGaugeFloat64(w, "daisygate_backend_contention"+labels, b.Contention)
	writeBool(w, "daisygate_backend_contention_stated"+labels, b.TrustsStatements)
	metrics.WriteCounterUint64(w, "daisygate_backend_run_calls_total"+labels, b.Calls)
	metrics.WriteGaugeFloat64(w, "daisygate_backend_run_call_slots"+labels, b.CallSlots)
	metrics.WriteGaugeUint64(w, "daisygate_backend_reserved_slots"+labels, uint64(b.Reserved))
}

func writeNews(w io.Writer, n gateway.NewsCounts) {
	metrics.WriteCounterUint64(w, "daisygate_load_reports_sent_total", n.Sent)
	for v := loadnews.Used; v <= loadnews.Unknown; v++ {
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_load_reports_received_total{verdict=%q}", v), n.Received[v])
	}
	metrics.WriteCounterUint64(w, "daisygate_load_messages_invalid_total", n.Invalid)
	metrics.WriteCounterUint64(w, `daisygate_load_picks_total{load="known"}`, n.Picks)
	metrics.WriteCounterUint64(w, `daisygate_load_picks_total{load="unknown"}`, n.BlindPicks)
}

func writeBudget(w io.Writer, b gateway.ServiceBudget) {
	labels := fmt.Sprintf("{mesh=%q,service=%q}", b.Key.Mesh, b.Key.Name)
	metrics.WriteCounterUint64(w, "daisygate_repeats_allowed_total"+labels, b.Taken)
	metrics.WriteCounterUint64(w, "daisygate_repeats_denied_total"+labels, b.Denied)
	metrics.WriteGaugeFloat64(w, "daisygate_repeats_slack"+labels, b.Slack)
}

func writeEndToEnd(w io.Writer, e gateway.EndToEnd) {
	metrics.WriteCounterUint64(w, `daisygate_early_refusals_total{reason="calls"}`, e.Entry)
	metrics.WriteCounterUint64(w, `daisygate_early_refusals_total{reason="room"}`, e.NoRoom)
	for _, s := range e.Servers {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("daisygate_run_level{server=%q}", s.Server), s.Level)
		metrics.WriteCounterUint64(w, fmt.Sprintf("daisygate_run_refusals_total{server=%q}", s.Server), s.Refused)
		for _, service := range slices.Sorted(maps.Keys(s.CallFailures)) {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("daisygate_run_call_failures{server=%q,service=%q}", s.Server, service), s.CallFailures[service])
		}
	}
}

func (s *SourceState) write(w io.Writer) {
	for _, role := range sourceRoles {
		writeBool(w, fmt.Sprintf("daisygate_source_role{role=%q}", role), s.Role == role)
	}
	metrics.WriteGaugeUint64(w, "daisygate_source_term", s.Term)
	metrics.WriteGaugeUint64(w, "daisygate_source_commit_index", s.Commit)
	metrics.WriteCounterUint64(w, "daisygate_source_syncs_total", s.Syncs)
	metrics.WriteGaugeUint64(w, "daisygate_source_log_bytes", uint64(s.LogBytes))
	metrics.WriteCounterUint64(w, "daisygate_source_entries_applied_total", s.Entries)
	metrics.WriteCounterUint64(w, "daisygate_source_entry_bytes_total", s.EntryBytes)
	metrics.WriteCounterFloat64(w, "daisygate_source_apply_seconds_total", s.ApplyTime.Seconds())
	metrics.WriteCounterUint64(w, "daisygate_source_snapshots_total", s.Snapshots)
	metrics.WriteGaugeUint64(w, "daisygate_source_snapshot_bytes", uint64(s.SnapshotBytes))
	metrics.WriteCounterUint64(w, "daisygate_source_messages_rejected_total", s.Rejected)
	writeBool(w, "daisygate_source_failed", s.Failed)
	metrics.WriteCounterUint64(w, "daisygate_source_storage_failures_total", s.StorageFailures)
	metrics.WriteCounterUint64(w, "daisygate_source_snapshots_failed_total", s.FailedSnapshots)
}

func writeBool(w io.Writer, name string, v bool) {
	value := uint64(0)
	if v {
		value = 1
	}
	metrics.WriteGaugeUint64(w, name, value)
}
