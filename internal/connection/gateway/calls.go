package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/callgraph"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// isCall reports whether the requests on a route are calls that backend servers make while they
// run a request. It is false in a mesh that does not share load.
func (g *Gateway) isCall(snap *snapshot.Snapshot, route *snapshot.Route) bool {
	return snap.SharesLoad(route.Mesh) && snap.HasOrganisations(route.Mesh) && route.Keyless
}

// The flags of a callStatement in headerCall.
const (
	callInRun = 1 << iota
	callConfigured
	callOfParent
)

// callStatement is what the first daemon states about who sent a request. The zero value, which an
// older release sends, states nothing.
type callStatement struct {
	callgraph.Statement
	// services is the fingerprint of the services of the request's route; 0 if unknown.
	services uint32
	// inRun is set if the request came from the first daemon's instance while a backend server of it
	// was running a request.
	inRun bool
	// configured is set if the configuration makes the request a call.
	configured bool
	// ofParent is set if the request is as urgent and as long useful as the run that made it.
	ofParent bool
}

// isCall reports whether a backend server sent the request while it ran another one.
func (s callStatement) isCall() bool {
	return s.configured || s.inRun && s.Verdict == callgraph.Internal
}

// mayBeCall reports whether the request is a call, or one that can't be told from a call yet.
func (s callStatement) mayBeCall() bool {
	return s.configured || s.inRun && s.Verdict != callgraph.External
}

// callTracker is a callgraph.Graph with a lock.
type callTracker struct {
	mu    sync.Mutex
	graph callgraph.Graph
	// logged is the verdict that was last logged for a route.
	logged map[callgraph.Route]callgraph.Verdict
}

// verdict returns the verdict on a route.
func (t *callTracker) verdict(route callgraph.Route, dir *directory.Directory) callgraph.Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.graph.Verdict(time.Now(), route, func() map[string]int { return dir.Servers(route.Mesh) })
}

// learn records another daemon's verdict on a route.
func (t *callTracker) learn(route callgraph.Route, s callgraph.Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.graph.Learn(time.Now(), route, s)
}

// note records a request that came to a backend server of this instance.
func (t *callTracker) note(route callgraph.Route, origin string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.graph.Note(time.Now(), route, origin)
}

// logChange logs the verdict on a route that a server of this instance answers, if it is another than
// before.
func (t *callTracker) logChange(log logr.Logger, route callgraph.Route, v callgraph.Verdict) {
	t.mu.Lock()
	changed := t.logged[route] != v
	if changed {
		if t.logged == nil || len(t.logged) >= maxVerdicts {
			t.logged = map[callgraph.Route]callgraph.Verdict{}
		}
		t.logged[route] = v
	}
	t.mu.Unlock()
	if changed {
		log.Info("requests on the route are considered", "mesh", route.Mesh, "route", route.Name, "verdict", v.String())
	}
}

// RouteVerdicts returns the number of routes, among those recently used here, that are considered to
// be called by backend servers only, and by callers.
func (g *Gateway) RouteVerdicts() (internal, external int) {
	g.calls.mu.Lock()
	defer g.calls.mu.Unlock()
	return g.calls.graph.Counts(time.Now())
}

// callRoute returns a route in the form that package callgraph uses.
func callRoute(route *snapshot.Route) callgraph.Route {
	return callgraph.Route{Mesh: route.Mesh, Name: route.Name, Services: route.TargetsHash}
}

// callStatement returns what this daemon states about who sent the request in an attempt.
func (x *exchange) callStatement() callStatement {
	snap := x.dir.Snapshot
	switch {
	case !snap.SharesLoad(x.route.Mesh):
		return callStatement{}
	case x.organisation == nil && x.g.isCall(snap, x.route):
		return callStatement{configured: true}
	case snap.HasOrganisations(x.route.Mesh):
		return callStatement{}
	}
	route := callRoute(x.route)
	return callStatement{Statement: x.g.calls.verdict(route, x.dir), services: route.Services, inRun: x.g.mayBeFromRun(x.r)}
}

// mayBeFromRun reports whether a request can be a call of a run: it comes from this instance, and a
// backend server of it runs a request.
func (g *Gateway) mayBeFromRun(r *http.Request) bool { return sameInstance(r) && g.runsRequest() }

// runsRequest reports whether a backend server of this instance runs a request.
func (g *Gateway) runsRequest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.backends {
		if b.gate.Running() > 0 {
			return true
		}
	}
	return false
}

// findParent finds the run that made the request, if it is a call. A call has the priority of that run,
// so that it does not displace callers who are more urgent than the run's own.
func (x *exchange) findParent() {
	if !x.sender.isCall() {
		return
	}
	if parent, known := x.g.retryTracker.parentOfCall(); known {
		x.parent = &parent
	}
}

// priority returns the priority of the request: that of the run that made it, if that is known, else
// that of its caller.
func (x *exchange) priority() int {
	if x.parent != nil {
		return x.parent.Priority
	}
	return x.organisation.PriorityOn(x.route)
}

// writeCall adds the statement to a forwarded request.
func (x *exchange) writeCall(h http.Header) {
	s := x.callStatement()
	flags := 0
	if s.inRun {
		flags |= callInRun
	}
	if s.configured {
		flags |= callConfigured
	}
	if x.parent != nil && !x.parent.Useful.IsZero() {
		flags |= callOfParent
	}
	if s.services != 0 || flags != 0 {
		h.Set(headerCall, formatVerdict(s.Statement, s.services)+","+strconv.Itoa(flags))
	}
}

// readVerdict records the verdict in a response.
func (x *exchange) readVerdict(h http.Header) {
	if !x.dir.Snapshot.SharesLoad(x.route.Mesh) {
		return
	}
	s := parseCall(h)
	if route := callRoute(x.route); s.services == route.Services {
		x.g.calls.learn(route, s.Statement)
	}
}

func formatVerdict(s callgraph.Statement, services uint32) string {
	text := make([]byte, 0, len("1,5000000,4294967295"))
	text = strconv.AppendUint(text, uint64(s.Verdict), 10)
	text = strconv.AppendInt(append(text, ','), s.Age.Microseconds(), 10)
	text = strconv.AppendUint(append(text, ','), uint64(services), 10)
	return string(text)
}

// parseCall parses headerCall; the zero value means unknown. The flags may be missing.
func parseCall(h http.Header) callStatement {
	text := h.Get(headerCall)
	if text == "" {
		return callStatement{}
	}
	verdictText, rest, _ := strings.Cut(text, ",")
	ageText, rest, _ := strings.Cut(rest, ",")
	servicesText, flagsText, hasFlags := strings.Cut(rest, ",")
	verdict, errVerdict := strconv.ParseUint(verdictText, 10, 8)
	micros, errAge := strconv.ParseInt(ageText, 10, 64)
	services, errServices := strconv.ParseUint(servicesText, 10, 32)
	if errVerdict != nil || errAge != nil || errServices != nil {
		return callStatement{}
	}
	s := callStatement{services: uint32(services)}
	if micros >= 0 && micros <= callgraph.Lifetime.Microseconds() {
		s.Statement = callgraph.Statement{Verdict: callgraph.Verdict(verdict), Age: time.Duration(micros) * time.Microsecond}
	}
	if hasFlags {
		flags, err := strconv.Atoi(flagsText)
		if err == nil {
			s.inRun, s.configured, s.ofParent = flags&callInRun != 0, flags&callConfigured != 0, flags&callOfParent != 0
		}
	}
	return s
}

// markCall decides whether a request for a backend server of this instance is a call of another
// backend server, and records where it entered.
func (g *Gateway) markCall(req *backendRequest) {
	dir, mesh := g.cfg.Directory(), req.request.Mesh
	if dir.Snapshot == nil || !dir.Snapshot.SharesLoad(mesh) || req.request.Organisation != "" {
		return
	}
	if dir.Snapshot.HasOrganisations(mesh) {
		req.isCall = req.callStatement.configured
		return
	}
	if req.callStatement.services == 0 {
		return
	}
	route := callgraph.Route{Mesh: mesh, Name: req.route, Services: req.callStatement.services}
	g.calls.learn(route, req.callStatement.Statement)
	g.calls.note(route, req.request.Origin)
	req.verdict, req.verdictAt = g.calls.verdict(route, dir), time.Now()
	g.calls.logChange(g.log, route, req.verdict.Verdict)
	req.isCall = req.verdict.Verdict == callgraph.Internal && req.callStatement.inRun
}

// writeVerdict adds the verdict on the request's route to a response. It has aged while the request
// waited and ran.
func (g *Gateway) writeVerdict(h http.Header, req *backendRequest) {
	s := req.verdict
	s.Age += time.Since(req.verdictAt)
	if s.Verdict != callgraph.Unknown && s.Age < callgraph.Lifetime {
		h.Set(headerCall, formatVerdict(s, req.callStatement.services))
	}
}

// release frees the slot of a ticket. kind and took are those of Release.
func (g *gate) release(t *admit.Ticket, kind string, took time.Duration) {
	if !t.Call {
		g.Release(kind, took)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.apply(now, g.core.FinishCall(now, kind, took))
}

// sharesLoad reports whether the daemons share the load of a mesh's backend servers.
func (g *Gateway) sharesLoad(mesh string) bool {
	snap := g.cfg.Directory().Snapshot
	return snap != nil && snap.SharesLoad(mesh)
}
