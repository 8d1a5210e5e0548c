package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/result"
)

// maxSeries bounds the number of label sets of one metric. Versions add and remove routes
// and meshes, and memory use must not grow with every one that ever existed.
const maxSeries = 4096

// otherLabel is the mesh and route label of all routes beyond maxSeries.
const otherLabel = "other"

// durationBuckets are the upper bounds of the histogram buckets, in seconds.
var durationBuckets = []float64{
	0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.025, 0.05,
	0.1, 0.25, 0.5, 1, 2.5, 5, 10, 60, 600, 3600,
}

// Metrics holds the metrics of one daemon. If a process runs several daemons, each has
// its own Metrics. It implements gateway.Observer.
type Metrics struct {
	set           *metrics.Set
	state         func() State
	calls         metricCache[callKey, *metrics.Counter]
	callDurations metricCache[routeKey, *metrics.PrometheusHistogram]
	// attempts and refused count by result code, retries by route.
	attempts         metricCache[result.Code, *metrics.Counter]
	retries          metricCache[routeKey, *metrics.Counter]
	refused          metricCache[result.Code, *metrics.Counter]
	attemptDurations *metrics.PrometheusHistogram
	// orders and reads count operator requests by the result code of the response.
	orders metricCache[result.Code, *metrics.Counter]
	reads  metricCache[result.Code, *metrics.Counter]
	// announcements counts the announcements of backend servers by verdict.
	announcements metricCache[string, *metrics.Counter]
	// deregistrations counts the deregistrations by whether the boot was registered.
	deregistrations metricCache[bool, *metrics.Counter]
	// leaves counts the leaves of backend servers by whether the sources retain them.
	leaves metricCache[bool, *metrics.Counter]
	// allowances counts the requests of organisations with a limit.
	allowances metricCache[allowanceKey, *metrics.Counter]
}

type allowanceKey struct {
	mesh, organisation string
	admitted           bool
}

type routeKey struct{ mesh, route string }

type callKey struct {
	routeKey
	code result.Code
}

// NewMetrics returns the metrics of one daemon. Metrics that are not counted from events
// are read from state at each scrape.
func NewMetrics(state func() State) *Metrics {
	set := metrics.NewSet()
	m := &Metrics{
		set: set, state: state,
		attemptDurations: set.NewPrometheusHistogramExt("daisygate_attempt_duration_seconds", durationBuckets),
	}
	m.calls.make = func(k callKey) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_calls_total{%s,code=%q}", k.labels(), codeLabel(k.code)))
	}
	m.callDurations.make = func(k routeKey) *metrics.PrometheusHistogram {
		return set.GetOrCreatePrometheusHistogramExt(fmt.Sprintf("daisygate_call_duration_seconds{%s}", k.labels()), durationBuckets)
	}
	m.retries.make = func(k routeKey) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_retries_total{%s}", k.labels()))
	}
	m.attempts.make = codeCounter(set, "daisygate_attempts_total")
	m.refused.make = codeCounter(set, "daisygate_gate_refusals_total")
	m.orders.make = codeCounter(set, "daisygate_orders_total")
	m.reads.make = codeCounter(set, "daisygate_reads_total")
	m.announcements.make = func(verdict string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_announcements_total{verdict=%q}", verdict))
	}
	m.deregistrations.make = func(registered bool) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_deregistrations_total{registered=\"%t\"}", registered))
	}
	m.leaves.make = func(retained bool) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_leaves_total{retained=\"%t\"}", retained))
	}
	m.allowances.make = func(k allowanceKey) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("daisygate_allowance_requests_total{mesh=%q,organisation=%q,admitted=\"%t\"}", k.mesh, k.organisation, k.admitted))
	}
	set.RegisterMetricsWriter(func(w io.Writer) { m.state().write(w) })
	return m
}

func codeCounter(set *metrics.Set, name string) func(result.Code) *metrics.Counter {
	return func(code result.Code) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("%s{code=%q}", name, codeLabel(code)))
	}
}

func (k routeKey) labels() string { return fmt.Sprintf("mesh=%q,route=%q", k.mesh, k.route) }

// codeLabel returns a code as a decimal number of at least three digits.
func codeLabel(c result.Code) string {
	text := strconv.Itoa(int(c))
	return "000"[:max(3-len(text), 0)] + text
}

// Attempt implements gateway.Observer.
func (m *Metrics) Attempt(a gateway.Attempt) {
	m.attempts.get(a.Code, a.Code).Inc()
	m.attemptDurations.Update(a.Duration.Seconds())
	if a.Number > 0 {
		m.retries.get(routeKey{a.Mesh, a.Route}, routeKey{otherLabel, otherLabel}).Inc()
	}
}

// Refused implements gateway.Observer.
func (m *Metrics) Refused(r gateway.Refused) { m.refused.get(r.Code, r.Code).Inc() }

// CountOrder counts a write request of an operator by the result code of the response.
func (m *Metrics) CountOrder(code result.Code) { m.orders.get(code, code).Inc() }

// CountRead counts a read request of an operator by the result code of the response.
func (m *Metrics) CountRead(code result.Code) { m.reads.get(code, code).Inc() }

// CountAnnouncement counts an announcement of a backend server by its verdict.
func (m *Metrics) CountAnnouncement(verdict string) { m.announcements.get(verdict, verdict).Inc() }

// CountDeregistration counts the deregistration of a boot of a backend server.
func (m *Metrics) CountDeregistration(registered bool) {
	m.deregistrations.get(registered, registered).Inc()
}

// CountLeave counts the attempt to retain the leave of a backend server at the sources.
func (m *Metrics) CountLeave(retained bool) { m.leaves.get(retained, retained).Inc() }

// CountAllowance counts a request of an organisation with a limit.
func (m *Metrics) CountAllowance(mesh, organisation string, admitted bool) {
	other := allowanceKey{mesh: otherLabel, organisation: otherLabel, admitted: admitted}
	m.allowances.get(allowanceKey{mesh: mesh, organisation: organisation, admitted: admitted}, other).Inc()
}

// Done implements gateway.Observer.
func (m *Metrics) Done(d gateway.Done) {
	route, other := routeKey{d.Mesh, d.Route}, routeKey{otherLabel, otherLabel}
	m.calls.get(callKey{route, d.Code}, callKey{other, d.Code}).Inc()
	m.callDurations.get(route, other).Update(d.Duration.Seconds())
}

// ServeHTTP writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// metricCache caches the metrics of one name by label set, so that the full metric name is
// formatted only once per label set.
type metricCache[K comparable, M any] struct {
	make     func(K) M
	byLabels sync.Map
	size     atomic.Int64
}

// get returns the metric of k. Once there are maxSeries metrics, it returns that of other
// for each k that is not cached yet.
func (c *metricCache[K, M]) get(k, other K) M {
	if found, ok := c.byLabels.Load(k); ok {
		return found.(M)
	}
	if c.size.Load() >= maxSeries {
		k = other
	}
	found, loaded := c.byLabels.LoadOrStore(k, c.make(k))
	if !loaded {
		c.size.Add(1)
	}
	return found.(M)
}
