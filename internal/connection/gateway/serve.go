package gateway

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/upstream"
	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/request/callgraph"
	"github.com/daisygate/daisygate/internal/result"
)

// backendRequest is a request for a backend server of this instance.
type backendRequest struct {
	request  *Request
	body     *requestBody
	addr     string
	priority int
	depth    int
	deadline time.Time
	// remote is set if the request came from another daemon over the link.
	remote bool
	// nonRepeatable is set if the request must not be sent twice.
	nonRepeatable bool
	// route is the route's name within its mesh. Requests on the same route take about
	// the same time.
	route string
	// usefulUntil is when the response loses most of its value; zero means unknown.
	usefulUntil time.Time
	// id is the caller's ID for the request, or "".
	id string
	// weight is the share of the server that the organisation is entitled to, relative to other
	// organisations; 0 if it is unknown.
	weight float64
	// retryProbability is the probability that the request is a retry.
	retryProbability float64
	// draw is the request's random number in [0, 1) for admission levels.
	draw float64
	// callStatement is what the first daemon states about who sent the request, verdict what this one
	// found at verdictAt, and isCall is set if a backend server did while it ran a request.
	callStatement callStatement
	verdict       callgraph.Statement
	verdictAt     time.Time
	isCall        bool
	// boot and started identify the start of the server for which the request was admitted;
	// boot may be "" and started 0.
	boot    string
	started int64
	// known is what the server has stated to the daemon where the request originated.
	known balance.ServerStatement
	// stated is what the server states since its response to this request; the zero value
	// without a response.
	stated balance.ServerStatement
	// releaseResponse tells the link that the response starts to be sent or will not be
	// sent. It may be called more than once.
	releaseResponse func()
	// queueing tells how the request waited in the queue, once it has a slot.
	queueing admit.Queueing
	// queueTime is the time spent in the queue. serverTime is the time the server took
	// until the response header arrived or was lost.
	queueTime, serverTime time.Duration
	// kindTime is the usual time of the requests on the route at all servers of the service, as
	// known to the daemon where the request originated; 0 if unknown. measuredTime is serverTime
	// if the server ran the request, else 0.
	kindTime, measuredTime time.Duration
}

// serve runs a request on a backend server of this instance. The slot is held until the
// server has finished with it. The caller must close the response body.
func (g *Gateway) serve(ctx context.Context, req *backendRequest) (*http.Response, *refusal) {
	entered := time.Now()
	resp, refused := g.admitAndSend(ctx, req)
	g.logServed(ctx, req, resp, refused, entered)
	return resp, refused
}

func (g *Gateway) admitAndSend(ctx context.Context, req *backendRequest) (*http.Response, *refusal) {
	b, server := g.backendAt(req.addr)
	g.adoptStatement(b, &server, req)
	if b == nil || g.shuttingDown.Load() || !req.matchesService(&server) {
		return nil, newRefusal(result.Draining, "requests for "+req.addr+" are not accepted by this daemon")
	}
	if !g.acceptsVersion(&server) {
		return nil, newRefusal(result.VersionRetired, "version "+server.Version+" of "+req.addr)
	}
	if refused := g.admitRetry(req); refused != nil {
		return nil, refused
	}
	req.setWeight(g.cfg.Directory().Snapshot)
	g.markCall(req)
	if refused := g.admitSuspect(req); refused != nil {
		return nil, refused
	}
	if refused := g.admitRun(b, req, server.Boot); refused != nil {
		return nil, refused
	}
	if refused := g.admitLargeBody(ctx, b.gate, req); refused != nil {
		return nil, refused
	}
	releaseResponse, refused := g.link.admitResponse(req, b.gate.typicalTime(req.route))
	if refused != nil {
		req.body.finish()
		return nil, refused
	}
	req.releaseResponse = releaseResponse
	entered := time.Now()
	ticket := req.ticket(entered, b.gate.typicalTime)
	req.queueing, refused = b.gate.Acquire(ctx, ticket)
	req.queueTime = time.Since(entered)
	if refused != nil {
		req.body.finish()
		g.cfg.Observer.Refused(Refused{Server: req.addr, Code: refused.Code, Waited: req.queueTime})
		return nil, refused
	}
	if refused := g.admitSuspect(req); refused != nil {
		b.gate.release(&ticket, req.route, 0)
		return nil, refused
	}
	req.boot, req.started = server.Boot, server.Started
	resp, refused := g.sendToBackend(ctx, b, req, &ticket)
	b.gate.RecordResult(resp, refused)
	g.recordRun(b, req, resp, refused)
	return resp, refused
}

// admitLargeBody waits until a large body may be received over the link. Requests that
// admission would refuse now are refused before the wait.
func (g *Gateway) admitLargeBody(ctx context.Context, gate *gate, req *backendRequest) *refusal {
	if !g.link.schedulesBody(req) {
		return nil
	}
	if refused := gate.WouldRefuse(req.ticket(time.Now(), gate.typicalTime)); refused != nil {
		return refused
	}
	return g.link.admitBody(ctx, req, gate.typicalTime(req.route))
}

// matchesService reports whether the server at the address still belongs to the request's
// service: the address may have been reused by another service.
func (req *backendRequest) matchesService(s *presence.Server) bool {
	return s.Mesh == req.request.Mesh && s.Service == req.request.Service
}

// sendToBackend sends a request that holds its slot to the backend server.
func (g *Gateway) sendToBackend(ctx context.Context, b *backend, req *backendRequest, ticket *admit.Ticket) (*http.Response, *refusal) {
	out := req.body.outgoing(req.request.HTTP)
	out.ExtraHeader = g.cfg.Dialect.Server(ServerMetadata{
		Left: time.Until(req.deadline), Depth: req.depth + 1, Boot: req.boot, Origin: req.request.Origin,
		Organisation: req.request.Organisation,
	})
	out.MaxIdleAge = backendIdleTimeout
	if req.nonRepeatable {
		out.MaxIdleAge = nonRepeatableIdleAge
	}
	span := g.cfg.Tracer.Send(ctx, HopBackend, out.ExtraHeader)
	span.Set(SpanServer, req.addr)
	b.countRequest(req.retryProbability, req.isCall)
	run := g.beginRun(req.addr, req.request)
	if req.body.streamed && req.body.contentLength() < 0 {
		req.body.onSmall = run.RecordBody
	}
	var took time.Duration
	endRun := g.retryTracker.beginRun(req)
	slot := &heldSlot{release: func() {
		endRun()
		b.gate.release(ticket, req.route, took)
	}}
	out.Done = slot.finished
	predicted := b.gate.beginMeasurement(req)
	start := time.Now()
	resp, failure := b.pool.Load().RoundTrip(ctx, out)
	req.serverTime = time.Since(start)
	if failure != nil {
		refused := classifyFailure(ctx, failure, result.BackendRefused)
		if errors.Is(failure, syscall.ECONNREFUSED) {
			g.cfg.OnConnectionRefused(req.addr)
		}
		status := runStatusOf(failure, refused.Code)
		crashed := run.End(status)
		slot.ended(req.request.Isolated, status)
		if crashed {
			refused = newRefusal(result.BackendCrashed, failure.Error())
			time.Sleep(crashReportDelay)
		}
		span.End(refused.Code)
		return nil, refused
	}
	took = req.serverTime
	metadata := g.cfg.Dialect.Answer(resp.StatusCode, resp.Header)
	failed := metadata.NotRun || metadata.Misdirected || resp.StatusCode >= http.StatusInternalServerError
	if !failed {
		req.measuredTime = took
		if b.gate.endMeasurement(req, predicted, metadata.Contention) {
			g.log.Info(logStatementsUntrusted, "server", req.addr, "boot", req.boot, "stated", metadata.Contention)
		}
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, ctx: ctx, run: run, slot: slot, isolated: req.request.Isolated, whole: runStatusOfResponse(resp.StatusCode, &metadata)}
	refused := g.checkResponse(ctx, b, req, resp, &metadata, start)
	span.End(codeOf(refused))
	if refused != nil {
		return nil, refused
	}
	return resp, nil
}

// checkResponse evaluates the response metadata of a backend server and buffers a small
// response. A response to another request was left on the connection by a server that
// answered twice or too late. sent is when the request was sent.
func (g *Gateway) checkResponse(ctx context.Context, b *backend, req *backendRequest, resp *http.Response, metadata *ResponseMetadata, sent time.Time) *refusal {
	switch {
	case metadata.ID != "" && metadata.ID != req.id:
		_ = resp.Body.Close()
		return newRefusal(result.AnswerLost, "the response belongs to another request")
	case metadata.Misdirected:
		_ = resp.Body.Close()
		g.cfg.OnMisdirected(req.addr, req.boot)
		return newRefusal(result.WrongServer, "the server at "+req.addr+" is not boot "+req.boot)
	}
	g.recordStatements(b, req, sent, metadata)
	if metadata.NotRun {
		_ = resp.Body.Close()
		return &refusal{Error: result.Errorf(result.ServerRefused, "status %d", resp.StatusCode)}
	}
	if err := g.responseBuffer.bufferResponse(resp); err != nil {
		return lostResponse(ctx, err)
	}
	return nil
}

// lostResponse returns the refusal for a request whose response was truncated.
func lostResponse(ctx context.Context, err error) *refusal {
	return classifyFailure(ctx, &upstream.Failure{Sent: true, Err: err}, result.AnswerLost)
}

// outgoing returns the request to send upstream, without the headers specific to its
// receiver.
func (b *requestBody) outgoing(r *http.Request) *upstream.Request {
	out := &upstream.Request{
		Method: r.Method, Target: requestTarget(r), Host: r.Host,
		Header: r.Header, SkipHeader: skipHeader(r.Header), SkipTrailer: skipTrailer, SmallBody: b.buffered, StallTimeout: maxStall,
	}
	if b.streamed {
		out.Body, out.Length, out.Trailer, out.DropBody = b, b.contentLength(), r.Trailer, b.drop
	}
	return out
}

// classifyFailure maps a failed attempt to the refusal that states what is known about
// the request.
func classifyFailure(ctx context.Context, f *upstream.Failure, unreachable result.Code) *refusal {
	expired := deadlinePassed(ctx)
	switch {
	case expired && !f.Sent:
		return newRefusal(result.DeadlineTooShort, f.Error())
	case expired:
		return newRefusal(result.DeadlineExceeded, f.Error())
	case ctx.Err() != nil || errors.Is(f, upstream.ErrRequestBody):
		return newRefusal(result.CallerLeft, f.Error())
	case !f.Sent:
		return newRefusal(unreachable, f.Error())
	}
	return newRefusal(result.AnswerLost, f.Error())
}

// runStatusOfResponse returns how a run ended whose response is complete.
func runStatusOfResponse(status int, metadata *ResponseMetadata) RunStatus {
	switch {
	case metadata.NotRun || metadata.Misdirected:
		return Rejected
	case status == http.StatusGatewayTimeout:
		return TimedOut
	case status >= http.StatusInternalServerError:
		return Failed
	}
	return Finished
}

// runStatusOf returns how a run ended that has no response.
func runStatusOf(f *upstream.Failure, c result.Code) RunStatus {
	switch {
	case errors.Is(f, syscall.ECONNREFUSED):
		return ConnectionRefused
	case !f.Sent:
		return Unsent
	case c == result.CallerLeft || c == result.DeadlineExceeded:
		return Cancelled
	}
	return Crashed
}
