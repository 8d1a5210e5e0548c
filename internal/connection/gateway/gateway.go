// Package gateway serves calls. ServeCaller takes a request of a caller, picks
// a backend server and passes the request to the daemon beside it; ServePeer is
// that daemon's side, which alone talks to the backend server and counts its
// slots.
//
// Every answer says whether the request was run, was certainly not run, or may
// have been run (package result).
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// Config is fixed for the life of a Gateway.
type Config struct {
	// Self and Domain are this daemon's name and failure domain.
	Self   string
	Domain string
	// QueuePerSlot is the admission queue's length in multiples of the slots.
	QueuePerSlot int
	// Directory returns the newest directory.
	Directory func() *directory.Directory
	// Ready reports whether a confirmed version is in force.
	Ready func() bool
	// Observer and Tracer are told what becomes of calls; nil tells nobody.
	Observer Observer
	Tracer   Tracer
	// Claims and Suspects are optional.
	Claims   Claims
	Suspects Suspects
}

// Gateway serves calls. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	log     logr.Logger
	peers   *http.Transport
	servers *http.Transport
	loads   *loads

	mu    sync.Mutex
	gates map[string]*gate
}

const (
	backendDialTimeout = time.Second
	maxIdlePerHost     = 256
	retryAfterBusy     = time.Second
)

// New returns a Gateway.
func New(cfg Config, log logr.Logger) *Gateway {
	if cfg.Observer == nil {
		cfg.Observer = ignore{}
	}
	if cfg.Tracer == nil {
		cfg.Tracer = ignore{}
	}
	return &Gateway{
		cfg: cfg, log: log, peers: newTransport(), servers: newTransport(),
		loads: newLoads(), gates: map[string]*gate{},
	}
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:           (&net.Dialer{Timeout: backendDialTimeout}).DialContext,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   maxIdlePerHost,
		IdleConnTimeout:       time.Minute,
		DisableCompression:    true,
		ExpectContinueTimeout: time.Second,
	}
}

// SetServers tells of the backend servers beside this daemon.
func (g *Gateway) SetServers(servers []presence.Server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	present := map[string]bool{}
	for _, s := range servers {
		present[s.Addr] = true
		entry := g.gates[s.Addr]
		if entry == nil {
			entry = newGate(s.Slots, s.Slots*g.cfg.QueuePerSlot)
			g.gates[s.Addr] = entry
		}
		entry.Configure(s.Slots, s.State == presence.Draining)
	}
	for addr, gate := range g.gates {
		if !present[addr] {
			gate.Configure(0, true)
			delete(g.gates, addr)
		}
	}
}

func (g *Gateway) gateOf(addr string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gates[addr]
}

// call is one request of a caller, while it lasts.
type call struct {
	route    *snapshot.Route
	deadline time.Time
	tried    map[string]bool
	body     *trackedBody
}

// ServeCaller serves the caller listener.
func (g *Gateway) ServeCaller(w http.ResponseWriter, r *http.Request) {
	r, seen := g.watch(r)
	defer seen.end()
	if !g.cfg.Ready() {
		seen.done.Code = result.NotReady
		result.WriteHTTPRetry(w, result.Errorf(result.NotReady, "no confirmed version yet"), retryAfterBusy)
		return
	}
	dir := g.cfg.Directory()
	route, err := dir.Snapshot.Match(r.Method, r.Host, r.URL.EscapedPath())
	if err != nil {
		seen.done.Code = result.BadRequest
		result.WriteHTTP(w, result.Errorf(result.BadRequest, "%v", err))
		return
	}
	if route == nil {
		seen.done.Code = result.NoRoute
		result.WriteHTTP(w, result.Errorf(result.NoRoute, "%s %s%s", r.Method, r.Host, r.URL.Path))
		return
	}
	seen.route(route.Mesh, route.Name)
	c := &call{
		route: route, deadline: time.Now().Add(route.Timeout),
		tried: map[string]bool{}, body: &trackedBody{ReadCloser: r.Body},
	}
	hooked := &Request{Mesh: route.Mesh, Service: route.Service, Repeatable: route.Repeatable, HTTP: r}
	if s := g.screen(hooked); s.Refusal != nil {
		seen.done.Code = s.Refusal.Code
		result.WriteHTTPRetry(w, s.Refusal, s.RetryAfter)
		return
	}
	claimed, proceed := g.claim(r.Context(), w, hooked)
	if !proceed {
		seen.done.Code = result.InProgress
		return
	}
	parent := r.Context()
	if claimed {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, c.deadline)
	defer cancel()
	resp, refused := g.dispatch(ctx, dir, c, r)
	if refused != nil {
		if claimed {
			g.cfg.Claims.Settle(hooked, Settlement{Code: refused.Code})
		}
		seen.done.Code = refused.Code
		result.WriteHTTPRetry(w, refused, retryAfterBusy)
		return
	}
	if !claimed {
		g.copyAnswer(w, resp, nil)
		seen.done.Code = result.OK
		return
	}
	g.copyClaimed(w, resp, hooked)
	seen.done.Code = result.OK
}

// copyClaimed streams an answer and keeps a copy of it. A caller that left does
// not stop the reading.
func (g *Gateway) copyClaimed(w http.ResponseWriter, resp *http.Response, r *Request) {
	kept := &capture{}
	settlement := Settlement{Code: result.AnswerLost}
	defer func() { g.cfg.Claims.Settle(r, settlement) }()
	g.copyAnswer(w, resp, kept)
	settlement.Code = result.OK
	if !kept.over {
		settlement.Answer = &KeptAnswer{Status: resp.StatusCode, Header: cleanHeader(resp.Header), Body: kept.body}
	}
}

// dispatch tries servers until one ran the request or nothing is left to try.
func (g *Gateway) dispatch(ctx context.Context, dir *directory.Directory, c *call, r *http.Request) (*http.Response, *result.Error) {
	refused := result.Errorf(result.NoBackendServer, "service %s", c.route.Target.Key)
	for number := range c.route.Retries + 1 {
		candidate := balance.Pick(balance.Input{
			Candidates: dir.Candidates(c.route.Target.Key), Self: g.cfg.Self, Domain: g.cfg.Domain,
			Tried: c.tried, Load: g.loads, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		if candidate == nil {
			return nil, refused
		}
		c.tried[candidate.Server.Addr] = true
		start := time.Now()
		resp, err := g.attempt(ctx, candidate, c, r)
		g.cfg.Observer.Attempt(Attempt{
			Mesh: c.route.Mesh, Route: c.route.Name, Node: candidate.Node.Name, Server: candidate.Server.Addr,
			Number: number, Code: codeOf(err), Duration: time.Since(start),
		})
		if err == nil {
			return resp, nil
		}
		refused = err
		if !g.mayRetry(c, err) || ctx.Err() != nil {
			return nil, refused
		}
	}
	return nil, refused
}

// mayRetry allows a retry of what certainly was not run, or may be repeated,
// as long as its body was not begun.
func (g *Gateway) mayRetry(c *call, err *result.Error) bool {
	if c.body.begun() {
		return false
	}
	return err.Code.Outcome() == result.NotRun || c.route.Repeatable
}

func (g *Gateway) attempt(ctx context.Context, to *directory.Candidate, c *call, r *http.Request) (_ *http.Response, failed *result.Error) {
	if to.Node.Name == g.cfg.Self {
		return g.serve(ctx, to.Server.Addr, c.route.Priority, c.deadline, &Request{Mesh: c.route.Mesh, Service: c.route.Service, HTTP: r}, c.body)
	}
	out := outgoing(ctx, to.Node.Addr, r, c.body)
	out.Header.Set(headerServer, to.Server.Addr)
	out.Header.Set(headerMesh, c.route.Target.Key.Mesh)
	out.Header.Set(headerService, c.route.Target.Key.Name)
	out.Header.Set(headerPriority, strconv.Itoa(c.route.Priority))
	setTimeout(out.Header, time.Until(c.deadline))
	span := g.cfg.Tracer.Send(ctx, HopForward, out.Header)
	span.Set(SpanNode, to.Node.Name)
	defer func() { span.End(codeOf(failed)) }()
	resp, err := g.peers.RoundTrip(out)
	if err != nil {
		return nil, classify(ctx, err, result.DaemonRefused)
	}
	g.loads.note(to.Server.Addr, resp.Header.Get(headerLoad))
	if code := resp.Header.Get(result.HeaderResult); code != "" && code != "0" {
		return nil, readRefusal(resp, code)
	}
	return resp, nil
}

func readRefusal(resp *http.Response, text string) *result.Error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4<<10))
	_ = resp.Body.Close()
	code, err := strconv.Atoi(text)
	if err != nil {
		return result.Errorf(result.AnswerLost, "unreadable result %q", text)
	}
	c := result.Code(code)
	return result.Errorf(c, "%s", c.Meaning())
}

// classify turns a transport error into what it says about the request: only a
// failed dial is certain not to have run.
func classify(ctx context.Context, err error, refused result.Code) *result.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Errorf(refused, "%v", err)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Errorf(result.DeadlineExceeded, "%v", err)
	case ctx.Err() != nil:
		return result.Errorf(result.CallerLeft, "%v", err)
	}
	return result.Errorf(result.AnswerLost, "%v", err)
}

func outgoing(ctx context.Context, addr string, r *http.Request, body *trackedBody) *http.Request {
	out := r.Clone(ctx)
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = addr
	out.Header = cleanHeader(r.Header)
	out.Body = nil
	if r.ContentLength != 0 {
		out.Body = body
	}
	if _, ok := out.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil
	}
	return out
}

// ServePeer serves calls passed on by other daemons.
func (g *Gateway) ServePeer(w http.ResponseWriter, r *http.Request) {
	timeout, ok := timeoutOf(r.Header)
	server := r.Header.Get(headerServer)
	if !ok || server == "" {
		result.WriteHTTP(w, result.Errorf(result.BadRequest, "not a forwarded call"))
		return
	}
	priority, err := strconv.Atoi(r.Header.Get(headerPriority))
	if err != nil {
		result.WriteHTTP(w, result.Errorf(result.BadRequest, "priority: %v", err))
		return
	}
	deadline := time.Now().Add(timeout)
	r, span := g.cfg.Tracer.Arrive(r, HopPeer)
	code := result.AnswerLost
	defer func() { span.End(code) }()
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	hooked := &Request{Mesh: r.Header.Get(headerMesh), Service: r.Header.Get(headerService), HTTP: r}
	resp, refused := g.serve(ctx, server, priority, deadline, hooked, &trackedBody{ReadCloser: r.Body})
	if gate := g.gateOf(server); gate != nil {
		w.Header().Set(headerLoad, strconv.FormatFloat(gate.Load(), 'f', 3, 64))
	}
	if refused != nil {
		code = refused.Code
		result.WriteHTTPRetry(w, refused, retryAfterBusy)
		return
	}
	g.copyAnswer(w, resp, nil)
	code = result.OK
}

// serve runs a request on a backend server beside this daemon. The slot is held
// until the answer's body is closed.
func (g *Gateway) serve(ctx context.Context, server string, priority int, deadline time.Time, r *Request, body *trackedBody) (*http.Response, *result.Error) {
	gate := g.gateOf(server)
	if gate == nil {
		return nil, result.Errorf(result.Draining, "no backend server %s here", server)
	}
	if s := g.screen(r); s.Refusal != nil {
		return nil, s.Refusal
	}
	entered := time.Now()
	if refused := gate.Enter(ctx, priority, deadline); refused != nil {
		g.cfg.Observer.Refused(Refused{Server: server, Code: refused.Code, Waited: time.Since(entered)})
		return nil, refused
	}
	out := outgoing(ctx, server, r.HTTP, body)
	setTimeout(out.Header, time.Until(deadline))
	span := g.cfg.Tracer.Send(ctx, HopBackend, out.Header)
	span.Set(SpanServer, server)
	run := g.begin(server, r)
	resp, err := g.servers.RoundTrip(out)
	if err != nil {
		refused := classify(ctx, err, result.BackendRefused)
		gate.Leave()
		span.End(refused.Code)
		run.End(fateOf(refused.Code))
		return nil, refused
	}
	span.End(result.OK)
	resp.Body = &slotBody{ReadCloser: resp.Body, ctx: ctx, leave: func(f Fate) { gate.Leave(); run.End(f) }}
	return resp, nil
}

func fateOf(c result.Code) Fate {
	switch c {
	case result.BackendRefused:
		return Unsent
	case result.CallerLeft, result.DeadlineExceeded:
		return Cancelled
	}
	return Crashed
}

// copyAnswer streams a backend server's answer. One that is cut on the way is
// cut for the caller too, never ended as if it were whole.
func (g *Gateway) copyAnswer(w http.ResponseWriter, resp *http.Response, kept *capture) {
	defer func() { _ = resp.Body.Close() }()
	header := w.Header()
	for name, values := range cleanHeader(resp.Header) {
		header[name] = values
	}
	result.SetHeaders(header, result.OK)
	w.WriteHeader(resp.StatusCode)
	if err := stream(w, resp.Body, kept); err != nil {
		panic(http.ErrAbortHandler)
	}
}
