package gateway

import (
	"strconv"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/lineage"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

const (
	// reportLifetime is how long another daemon's report that callers of all services use
	// a route remains valid.
	reportLifetime = 2 * time.Second
	// verdictLifetime is how often the origins of a route's requests are evaluated.
	verdictLifetime = time.Second
	// maxVerdicts bounds the routes for which reports and verdicts are kept.
	maxVerdicts = 4096
	// minRetryProbability is the smallest retry probability that is passed on.
	minRetryProbability = 0.01
)

// retryTracker estimates which requests that originate at this instance were made by
// which runs, and by retried ones. It is package lineage with a lock.
type retryTracker struct {
	mu      sync.Mutex
	parents lineage.Parents
	runs    lineage.Runs
	calls   lineage.Calls
	origins lineage.Origins
	// reported is when another daemon last reported that callers of all services use a
	// route. verdicts holds this daemon's own findings.
	reported map[lineage.Route]time.Time
	verdicts map[lineage.Route]originVerdict
}

// originVerdict states whether callers of all services use a route, as of a point in
// time.
type originVerdict struct {
	fromAllServices bool
	computedAt      time.Time
}

func newRetryTracker() *retryTracker {
	return &retryTracker{reported: map[lineage.Route]time.Time{}, verdicts: map[lineage.Route]originVerdict{}}
}

// lineageRoute returns the request's route in the form that package lineage uses.
func (req *backendRequest) lineageRoute() lineage.Route {
	return lineage.Route{Mesh: req.request.Mesh, Name: req.route}
}

// beginRun counts a request that is sent to a backend server of this instance; the
// returned function removes it again.
func (t *retryTracker) beginRun(req *backendRequest) (endRun func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if req.request.Origin != "" {
		t.origins.Note(time.Now(), req.lineageRoute(), req.request.Origin)
	}
	kind, useful := req.route, req.usefulUntil
	t.parents.Begin(kind, req.priority, useful)
	if !req.nonRepeatable {
		t.runs.Begin(req.retryProbability)
		t.calls.Begin(time.Now(), req.retryProbability)
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		now := time.Now()
		t.parents.End(now, kind, useful)
		if !req.nonRepeatable {
			t.runs.End(req.retryProbability)
			t.calls.End(now, req.retryProbability)
		}
	}
}

// parentOfCall records a call and returns the run on this instance that most likely made it.
func (t *retryTracker) parentOfCall() (parent lineage.Parent, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.parents.Called(time.Now())
}

// fromAllServices reports whether callers on the instances of all services use a route,
// as seen by the servers of this instance.
func (t *retryTracker) fromAllServices(route lineage.Route, dir *directory.Directory) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	v, known := t.verdicts[route]
	if !known || now.Sub(v.computedAt) >= verdictLifetime {
		if len(t.verdicts) >= maxVerdicts {
			clear(t.verdicts)
		}
		v = originVerdict{fromAllServices: t.origins.IsExternal(now, route, dir.Servers(route.Mesh)), computedAt: now}
		t.verdicts[route] = v
	}
	return v.fromAllServices
}

// recordReport records another daemon's report that callers of all services use a route.
func (t *retryTracker) recordReport(route lineage.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.reported) >= maxVerdicts {
		clear(t.reported)
	}
	t.reported[route] = time.Now()
}

// hasRecentReport reports whether another daemon has reported the route recently.
func (t *retryTracker) hasRecentReport(route lineage.Route) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.reported[route]
	return known && time.Since(at) < reportLifetime
}

// recordCall records a call to a service that was made by a retried run on this instance with
// the given probability.
func (t *retryTracker) recordCall(service string, probability float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Called(time.Now(), service, probability)
}

// pendingCalls returns the expected number of calls to a service that the retried runs on this
// instance will still make.
func (t *retryTracker) pendingCalls(service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.Pending(time.Now(), service, t.runs.ExpectedRepeats())
}

// retryShare returns the probability that a call made by a run on this instance follows
// from a retry.
func (t *retryTracker) retryShare() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs.Share()
}

// inheritedRetryProbability returns the probability that a request originating here was
// made by a retried run on a local backend server. A request that may be a call of a
// backend server counts as one.
func (x *exchange) inheritedRetryProbability() float64 {
	if x.origin == "" && x.caller.Depth == 0 {
		return 0
	}
	t, route := x.g.retryTracker, lineage.Route{Mesh: x.route.Mesh, Name: x.route.Name}
	share := t.retryShare()
	if share > 0 && x.caller.Depth == 0 && (t.hasRecentReport(route) || t.fromAllServices(route, x.dir)) {
		return 0
	}
	if share > 0 {
		t.recordCall(x.target.Key.String(), share)
	}
	return share
}

// retryHeader returns the probability that an attempt is a retry, for the daemon on the
// server's instance; "" if it is not a retry.
func (x *exchange) retryHeader(retry bool) string {
	switch {
	case retry:
		return "1"
	case x.inheritedRetry >= minRetryProbability:
		return strconv.FormatFloat(x.inheritedRetry, 'f', 2, 64)
	}
	return ""
}

// parseRetryProbability parses the result of retryHeader.
func parseRetryProbability(text string) float64 {
	p, err := strconv.ParseFloat(text, 64)
	if err != nil || p < 0 || p > 1 {
		return 0
	}
	return p
}

// admitRetry refuses a retry while the calls that earlier retried runs made, and those that the
// running ones are still expected to make, overdraw this daemon's retry budget for a service
// that is called from here.
func (g *Gateway) admitRetry(req *backendRequest) *refusal {
	if req.retryProbability < 1 {
		return nil
	}
	g.servicesMu.RLock()
	defer g.servicesMu.RUnlock()
	for key, s := range g.services {
		if s.retryTokens() < g.retryTracker.pendingCalls(key.String()) {
			return newRefusal(result.RepeatDenied, "calls made by retried requests have exhausted the retry budget of "+key.String())
		}
	}
	return nil
}

// retryTokens returns the number of retries left in the budget; it is negative if the calls of
// retried runs have exceeded the budget.
func (s *service) retryTokens() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Budget().Tokens(time.Now())
}
