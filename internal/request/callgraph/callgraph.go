// Package callgraph tells the calls that backend servers make while they run a request from the
// requests of callers, by the instances at which they enter the mesh.
//
// Callers use the instances of all services. A backend server uses the daemon on its own instance. So
// a route whose requests enter at the instances of some services only, while others would be expected,
// is internal: its requests are calls. The daemons on the instances of the called servers see where the
// requests on a route enter and decide; verdicts travel with forwarded requests and their responses, with
// their age, so that a daemon that has just started knows them after its first messages.
//
// A wrong verdict "internal" gives callers' requests the treatment of calls, so that external evidence
// prevails, and a verdict lapses within Lifetime unless it is confirmed.
//
// The package does no I/O and reads no clock.
package callgraph

import (
	"math"
	"time"
)

// Verdict states who sends the requests on a route.
type Verdict uint8

const (
	// Unknown: there is not enough evidence.
	Unknown Verdict = iota
	// Internal: only backend servers do.
	Internal
	// External: callers do, perhaps among others.
	External
)

// String returns the text for logs and metrics.
func (v Verdict) String() string {
	switch v {
	case Internal:
		return "internal"
	case External:
		return "external"
	}
	return "unknown"
}

const (
	// Lifetime is how long a verdict is valid without confirmation.
	Lifetime = 5 * time.Second
	// evidenceDecay is the time in which requests lose two thirds of their weight.
	evidenceDecay = 15 * time.Second
	// minRequests is the minimum number of recent requests needed to decide.
	minRequests = 30
	// minExpected is the minimum number of requests that would have entered at the instances of the
	// services without calls if callers used all instances alike.
	minExpected = 10
	// absentShare is the ratio to the requests per instance of the most frequent service below which
	// a service counts as not using a route.
	absentShare = 0.02
	// maxUnattributed is the share of requests from instances without a service up to which a
	// route can be internal.
	maxUnattributed = 0.05
	// forgottenCount is the count below which an origin is forgotten, a minute after one request.
	forgottenCount = 0.018
	// hopAge is added to the age of a verdict for each daemon that it passes. It is more than a message
	// usually takes, so that daemons cannot keep a verdict alive by telling it to each other.
	hopAge = 100 * time.Millisecond
	// evaluationInterval is how often the evidence for a route is evaluated.
	evaluationInterval = 250 * time.Millisecond
	// maxRoutes and maxOrigins bound the memory.
	maxRoutes  = 4096
	maxOrigins = 64
)

// Route identifies a route of a mesh and the services that it leads to. Evidence is not used once
// these have changed.
type Route struct {
	Mesh, Name string
	// Services is a fingerprint of the services.
	Services uint32
}

// Statement is a verdict as daemons tell it to each other.
type Statement struct {
	Verdict Verdict
	// Age is the time since the verdict was last confirmed by a request.
	Age time.Duration
}

// Graph holds the verdicts on routes, and the evidence of this daemon. The zero value is empty. It is
// not safe for concurrent use.
type Graph struct {
	routes map[Route]*evidence
	// swept is when routes without recent use were last removed.
	swept time.Time
}

// evidence is what is known of one route.
type evidence struct {
	// origins counts recent requests by the service of the instance where they entered; "" for
	// instances without one.
	origins map[string]count
	// notedAt is when a request last came to a backend server of this daemon.
	notedAt time.Time
	// usedAt is when the route was last used or told about here.
	usedAt time.Time
	// internalAt and externalAt are when a verdict was last confirmed, here or elsewhere; the zero
	// value if never.
	internalAt, externalAt time.Time
	// evaluatedAt is when the own evidence was last evaluated.
	evaluatedAt time.Time
}

// count is an exponentially decaying count, with its value n at updatedAt.
type count struct {
	n         float64
	updatedAt time.Time
}

func (c count) valueAt(now time.Time) float64 {
	return c.n * math.Exp(-max(0, now.Sub(c.updatedAt).Seconds())/evidenceDecay.Seconds())
}

// Note records a request that has come to a backend server of this daemon, and the service at whose
// instance it entered the mesh, "" if that has none.
func (g *Graph) Note(now time.Time, route Route, origin string) {
	e := g.at(now, route)
	if e.isOutsider(now, origin) {
		e.externalAt = now
	}
	e.notedAt = now
	c, known := e.origins[origin]
	if !known && len(e.origins) >= maxOrigins {
		e.forget(now)
		if len(e.origins) >= maxOrigins {
			return
		}
	}
	e.origins[origin] = count{c.valueAt(now) + 1, now}
}

// isOutsider reports whether a request is the first from the instances of a service, on a route with an
// established pattern.
func (e *evidence) isOutsider(now time.Time, origin string) bool {
	return origin != "" && e.origins[origin].valueAt(now) < forgottenCount && e.total(now) >= minRequests
}

// total returns the number of recent requests whose origin is known.
func (e *evidence) total(now time.Time) float64 {
	total := 0.0
	for origin, c := range e.origins {
		if origin != "" {
			total += c.valueAt(now)
		}
	}
	return total
}

func (e *evidence) forget(now time.Time) {
	for origin, c := range e.origins {
		if c.valueAt(now) < forgottenCount {
			delete(e.origins, origin)
		}
	}
}

// Learn records the verdict of another daemon. Verdicts that have lapsed, and nonsense, are ignored.
func (g *Graph) Learn(now time.Time, route Route, s Statement) {
	if s.Age < 0 || s.Age >= Lifetime || s.Verdict != Internal && s.Verdict != External {
		return
	}
	e, confirmed := g.at(now, route), now.Add(-s.Age-hopAge)
	switch {
	case s.Verdict == External && confirmed.After(e.externalAt):
		e.externalAt = confirmed
	case s.Verdict == Internal && confirmed.After(e.internalAt):
		e.internalAt = confirmed
	}
}

// Verdict returns the verdict on a route. instances returns the number of instances by service of the
// route's mesh; it is called only if there are enough requests to decide.
func (g *Graph) Verdict(now time.Time, route Route, instances func() map[string]int) Statement {
	e := g.routes[route]
	if e == nil {
		return Statement{}
	}
	if elapsed := now.Sub(e.evaluatedAt); elapsed >= evaluationInterval || elapsed < 0 {
		e.evaluatedAt = now
		switch e.evaluate(now, instances) {
		case Internal:
			e.internalAt = latest(e.internalAt, e.notedAt)
		case External:
			e.externalAt = latest(e.externalAt, e.notedAt)
		case Unknown:
		}
	}
	return e.statement(now)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (e *evidence) statement(now time.Time) Statement {
	if age := max(0, now.Sub(e.externalAt)); age < Lifetime {
		return Statement{External, age}
	}
	if age := max(0, now.Sub(e.internalAt)); age < Lifetime {
		return Statement{Internal, age}
	}
	return Statement{}
}

// evaluate decides from the requests that came to this daemon.
func (e *evidence) evaluate(now time.Time, instances func() map[string]int) Verdict {
	total := e.total(now)
	unattributed := e.origins[""].valueAt(now)
	switch {
	case total+unattributed < minRequests:
		return Unknown
	case unattributed > maxUnattributed*(total+unattributed):
		return Unknown // callers, or servers that their daemons do not know yet after a start
	}
	return e.compareOrigins(now, total, instances())
}

// compareOrigins decides from the services whose instances the requests, total of them, came from.
func (e *evidence) compareOrigins(now time.Time, total float64, instances map[string]int) Verdict {
	if len(instances) < 2 {
		return Unknown
	}
	most, all, absent := 0.0, 0, 0
	for service, n := range instances {
		most = max(most, e.origins[service].valueAt(now)/float64(max(n, 1)))
	}
	for service, n := range instances {
		all += n
		if e.origins[service].valueAt(now) < absentShare*most*float64(n) {
			absent += n
		}
	}
	switch {
	case most == 0:
		return Unknown
	case absent == 0:
		return External
	case total*float64(absent) < minExpected*float64(all):
		return Unknown
	}
	return Internal
}

// at returns the evidence for a route, and creates it.
func (g *Graph) at(now time.Time, route Route) *evidence {
	e := g.routes[route]
	if e == nil {
		if len(g.routes) >= maxRoutes {
			g.sweep(now)
		}
		if g.routes == nil || len(g.routes) >= maxRoutes {
			g.routes = map[Route]*evidence{}
		}
		e = &evidence{origins: map[string]count{}}
		g.routes[route] = e
	}
	e.usedAt = now
	return e
}

// sweep removes the routes that were not used recently, at most once per Lifetime.
func (g *Graph) sweep(now time.Time) {
	if now.Sub(g.swept) < Lifetime {
		return
	}
	g.swept = now
	for route, e := range g.routes {
		if now.Sub(e.usedAt) > evidenceDecay {
			delete(g.routes, route)
		}
	}
}

// Counts returns the number of routes with each verdict.
func (g *Graph) Counts(now time.Time) (internal, external int) {
	for _, e := range g.routes {
		switch e.statement(now).Verdict {
		case Internal:
			internal++
		case External:
			external++
		case Unknown:
		}
	}
	return internal, external
}
