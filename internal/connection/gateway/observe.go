package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/request/retry"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Observer receives the progress of calls. Its methods are called on the goroutines of
// the requests, concurrently, and must not block.
type Observer interface {
	// Attempt is called when an attempt at a backend server has ended.
	Attempt(Attempt)
	// Refused is called when a backend server's gate has refused a request.
	Refused(Refused)
	// Done is called once for each request of a caller, with its final code.
	Done(Done)
}

// Attempt is one attempt at a backend server, up to the response header.
type Attempt struct {
	// Mesh and Route identify the request's route.
	Mesh, Route string
	// Node is the daemon on the instance of the backend server at Server.
	Node, Server string
	// Number is 0 for the first attempt and increases with each retry.
	Number int
	// Code is how the attempt ended.
	Code result.Code
	// Duration is the time from the choice of the server to the end of the attempt.
	Duration time.Duration
}

// Refused is a refusal by a backend server's gate.
type Refused struct {
	Server string
	Code   result.Code
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
}

// Done is the result of one request of a caller.
type Done struct {
	// Mesh and Route identify the route; both are "" if none matched.
	Mesh, Route string
	// Code is the result sent to the caller. A response that was truncated ends with
	// AnswerLost although its header said OK.
	Code result.Code
	// Duration is the time from the request header to the last byte of the response.
	Duration time.Duration
}

// Hop is one hop of a call and the name of its span.
type Hop string

// The hops of a call, in order.
const (
	// HopCaller is a caller's request arriving at a daemon.
	HopCaller Hop = "caller"
	// HopForward is that daemon's attempt at a server on another instance.
	HopForward Hop = "forward"
	// HopPeer is a forwarded request arriving at the daemon on the server's instance.
	HopPeer Hop = "peer"
	// HopBackend is the request being sent to the backend server.
	HopBackend Hop = "backend"
)

// Tracer starts the spans of a call's hops.
type Tracer interface {
	// Arrive starts the span of an incoming request. The parent span is taken from the
	// request's header; the returned request carries the new span.
	Arrive(r *http.Request, hop Hop) (*http.Request, Span)
	// Send starts the span of an outgoing request as a child of the span in ctx, and
	// writes its trace context into header.
	Send(ctx context.Context, hop Hop, header http.Header) Span
}

// Span is the span of one hop.
type Span interface {
	// Set sets an attribute, such as the name of the route.
	Set(key, value string)
	// End ends the span with the result code of the hop. It is called once.
	End(code result.Code)
}

// The span attribute keys.
const (
	SpanMesh   = "daisygate.mesh"
	SpanRoute  = "daisygate.route"
	SpanNode   = "daisygate.node"
	SpanServer = "daisygate.server"
)

// noop is an Observer, Tracer and Span that does nothing.
type noop struct{}

func (noop) Attempt(Attempt) {}
func (noop) Refused(Refused) {}
func (noop) Done(Done)       {}

func (noop) Arrive(r *http.Request, _ Hop) (*http.Request, Span) { return r, noop{} }

func (noop) Send(context.Context, Hop, http.Header) Span { return noop{} }

func (noop) Set(string, string) {}
func (noop) End(result.Code)    {}

// Occupancy is the load of one backend server of this instance.
type Occupancy struct {
	Server string
	// Load is the number of running and queued requests per slot.
	Load float64
	// Running is the number of slots in use, Queued the number of waiting requests, and
	// Slots the limit.
	Running, Queued, Slots int
	// Requests counts the requests sent to the server since this daemon started; Retries
	// counts those that had been sent to a server before.
	Requests, Retries uint64
	// LateStarts counts callers' requests that got a slot after their useful time.
	LateStarts uint64
	// CallSlots is the mean number of slots that calls of backend servers have used recently,
	// Reserved the number kept free of callers' requests for them, and Calls the number of them that
	// were sent to the server since this daemon started.
	CallSlots float64
	Reserved  int
	Calls     uint64
	// RateLimit is the rate limit that the server states, in requests per second; 0 if it
	// states none.
	RateLimit float64
	// Slowness and Contention are the estimates of package speed; 0 if unknown.
	Slowness, Contention float64
	// TrustsStatements is set if Contention is what the server states.
	TrustsStatements bool
}

// Occupancy returns the occupancy of the backend servers of this instance, in no
// particular order.
func (g *Gateway) Occupancy() []Occupancy {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Occupancy, 0, len(g.backends))
	for addr, b := range g.backends {
		if !b.removed {
			o := b.gate.occupancy(addr)
			o.Requests, o.Retries = b.requests.Load(), b.retries.Load()
			o.Calls = b.calls.Load()
			list = append(list, o)
		}
	}
	return list
}

// ServiceBudget is the retry budget of this daemon for one service and its use.
type ServiceBudget struct {
	Key snapshot.ServiceKey
	retry.Counts
	// Slack is this daemon's part of the fleet's slack.
	Slack float64
}

// Budgets returns the budgets of the services that this daemon has called, in no
// particular order.
func (g *Gateway) Budgets() []ServiceBudget {
	g.servicesMu.RLock()
	defer g.servicesMu.RUnlock()
	list := make([]ServiceBudget, 0, len(g.services))
	for key, s := range g.services {
		s.mu.Lock()
		budget := s.core.Budget()
		list = append(list, ServiceBudget{Key: key, Counts: budget.Counts(), Slack: budget.Limits().Slack})
		s.mu.Unlock()
	}
	return list
}

// callObservation reports one request of a caller to the observer.
type callObservation struct {
	observer Observer
	span     Span
	start    time.Time
	result   Done
}

// observeCall starts the observation of a caller's request. The function that starts it
// must set result.Code before each response and defer finish.
func (g *Gateway) observeCall(r *http.Request) (*http.Request, *callObservation) {
	r, span := g.cfg.Tracer.Arrive(r, HopCaller)
	// A request that ends with a panic because its response was truncated keeps this
	// code, unless a refusal was written.
	return r, &callObservation{observer: g.cfg.Observer, span: span, start: time.Now(), result: Done{Code: result.AnswerLost}}
}

func (o *callObservation) setRoute(mesh, route string) {
	o.result.Mesh, o.result.Route = mesh, route
	o.span.Set(SpanMesh, mesh)
	o.span.Set(SpanRoute, route)
}

func (o *callObservation) finish() {
	o.result.Duration = time.Since(o.start)
	o.observer.Done(o.result)
	o.span.End(o.result.Code)
}

// codeOf returns the result code of an attempt that ended with r.
func codeOf(r *refusal) result.Code {
	if r == nil {
		return result.OK
	}
	return r.Code
}

func (g *gate) occupancy(server string) Occupancy {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	o := Occupancy{
		Server: server, Load: g.core.Load(now), Running: g.core.Running(), CallSlots: g.core.CallSlots(now), Reserved: g.core.Room(now),
		Queued: g.core.Queued(), Slots: g.core.Slots(), RateLimit: g.core.RateLimit(),
		LateStarts: g.core.LateStarts(),
	}
	g.observeSpeed(&o)
	return o
}
