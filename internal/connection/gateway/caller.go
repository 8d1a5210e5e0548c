package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/daisygate/daisygate/internal/connection/graceful"
	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/request/lineage"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// exchange is one request of a caller and its response.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	observation *callObservation
	dir         *directory.Directory
	route       *snapshot.Route
	// target is the service to which the request is routed.
	target  *snapshot.Service
	request *Request
	caller  CallerMetadata
	// organisation is the organisation whose API key the caller sent, or nil.
	organisation *snapshot.Organisation
	// allowanceUsed is set while the request counts against the limit of organisation.
	allowanceUsed bool
	// fixedDeadline is set if the caller specified the deadline, so that body transfer
	// does not extend it.
	fixedDeadline bool
	// origin is the service of the instance where the request originated.
	origin string
	// inheritedRetry is the probability that this request was made by a retried run.
	inheritedRetry float64
	// draw is the request's random number in [0, 1) for admission levels; 0 for a call of a run.
	draw float64
	// fromCaller is set if no backend server can have sent the request.
	fromCaller bool
	// elapsed is how long before this request its caller is estimated to have sent its first attempt.
	elapsed time.Duration
	// sender is who sent the request, as known when it arrived.
	sender callStatement
	// parent is the run that made the request, if it is a call of a known run.
	parent *lineage.Parent
	// attempts counts the attempts started so far.
	attempts int
	// respondingServer is the server whose response is relayed. serverTook is the time
	// that the server of the last attempt took, or 0 if unknown.
	respondingServer *directory.Candidate
	serverTook       time.Duration
	// releaseResponse releases the memory reserved for the response. It may be called repeatedly.
	releaseResponse func()
	// claimed is set once Claims has allowed the request to run; Settle must follow.
	claimed bool
	// claimKnown is set once the claim table has returned what it knows about the key.
	claimKnown bool

	deadline time.Time
	timer    *inactivityTimer
	body     *requestBody
	call     *lockedCall
}

// ServeCaller handles the requests of the caller listener.
func (g *Gateway) ServeCaller(w http.ResponseWriter, r *http.Request) {
	r, observation := g.observeCall(r)
	defer observation.finish()
	x := &exchange{g: g, w: w, r: r, observation: observation}
	g.setConnectionClose(w.Header())
	if refused := x.matchRoute(); refused != nil {
		x.refuseUnread(refused)
		return
	}
	x.identifySender()
	if !g.acquireShare(x.route.Mesh) {
		x.refuseUnread(&refusal{Error: result.Errorf(result.Overloaded, "mesh %s has reached its share of this daemon's concurrent calls", x.route.Mesh), retryAfter: retryAfterOverload})
		return
	}
	defer g.releaseShare(x.route.Mesh)
	if refused := x.admitOrganisation(); refused != nil {
		x.refuseUnread(refused)
		return
	}
	if refused := x.admitEntry(); refused != nil {
		x.refuseUnread(refused)
		return
	}
	x.request = &Request{
		Mesh: x.route.Mesh, Service: x.target.Name, Origin: x.origin, Organisation: x.organisationName(),
		Repeatable: x.route.Repeatable, HTTP: x.r,
	}
	x.run()
}

// refuse writes the final response to a request that was refused.
func (x *exchange) refuse(r *refusal) {
	x.observation.result.Code = r.Code
	outcome := x.outcome(r.Code)
	if outcome == result.NotRun {
		x.refundAllowance()
		x.recordReturn()
	}
	x.logRefusal(r, outcome)
	x.g.cfg.Dialect.Refuse(x.w, Refusal{Error: r.Error, Outcome: outcome, RetryAfter: r.retryAfter})
}

// refuseUnread refuses a request before its body is prepared.
func (x *exchange) refuseUnread(r *refusal) {
	x.refuse(r)
	if isStreamed(x.r) {
		discardBody(x.w, x.r.Body)
	}
}

// matchRoute finds the route, the organisation, the target service and the deadline of the
// request.
func (x *exchange) matchRoute() *refusal {
	x.caller = x.g.cfg.Dialect.Caller(x.r)
	if !x.g.awaitReady(x.r.Context(), x.caller.Left, x.g.cfg.Ready) {
		return &refusal{Error: result.Errorf(result.NotReady, "no confirmed version yet"), retryAfter: x.g.readyRetryAfter(x.caller.Left)}
	}
	if x.r.Method == http.MethodConnect {
		return newRefusal(result.BadRequest, "CONNECT is not supported")
	}
	x.dir = x.g.cfg.Directory()
	route, err := x.dir.Snapshot.Match(x.r.Method, x.r.Host, x.r.URL.EscapedPath())
	if err != nil {
		return newRefusal(result.BadRequest, err.Error())
	}
	if route == nil {
		return newRefusal(result.NoRoute, x.r.Method+" "+x.r.Host+x.r.URL.Path)
	}
	x.route = route
	x.observation.setRoute(route.Mesh, route.Name)
	if refused := x.authenticate(); refused != nil {
		return refused
	}
	if maxBytes := route.Limits.BodyBytes; maxBytes > 0 {
		if x.r.ContentLength > maxBytes {
			return newRefusal(result.BodyTooLarge, strconv.FormatInt(x.r.ContentLength, 10)+" bytes")
		}
		// A copy, because net/http waits for a caller that still sends before it closes a
		// connection only if the request has its original body.
		x.r = x.r.WithContext(x.r.Context())
		x.r.Body = http.MaxBytesReader(x.w, x.r.Body, maxBytes)
	}
	x.target = route.Pick(rand.Uint64())
	if x.caller.Depth >= maxDepth {
		return newRefusal(result.BadRequest, "the call is nested too deeply, possibly in a loop")
	}
	x.origin = x.g.cfg.Origin()
	timeout := route.Timeout
	if x.caller.Left > 0 {
		x.fixedDeadline = x.caller.ID != ""
		timeout = min(timeout, x.caller.Left)
	}
	x.deadline = x.observation.start.Add(timeout)
	return nil
}

// run processes the request up to its single final response.
func (x *exchange) run() {
	settlement := Settlement{Code: result.AnswerLost}
	defer func() { x.settleClaim(settlement) }()
	parent := x.r.Context()
	if x.hasIdempotencyKey() {
		parent = context.WithoutCancel(parent)
	}
	ctx, timer, cancel := withInactivityTimeout(parent, time.Until(x.deadline))
	defer cancel()
	x.timer = timer
	stallTimeout := x.route.Timeout
	if x.fixedDeadline {
		stallTimeout = 0
	}
	body, err := newRequestBody(x.w, x.r, timer, stallTimeout)
	if err != nil {
		x.refuse(newRefusal(result.BadRequest, "the request body is incomplete: "+err.Error()))
		return
	}
	x.body = body
	pin, refused := x.screen()
	if refused != nil {
		x.refusePrepared(refused)
		return
	}
	leave, refused := x.reserve()
	if refused != nil {
		x.refusePrepared(refused)
		return
	}
	defer leave()
	if !x.claim() {
		body.discardRest()
		return
	}
	resp, refused := x.dispatch(ctx, pin)
	x.recordCall(resp, refused)
	if refused != nil {
		settlement.Code = refused.Code
		x.refusePrepared(refused)
		return
	}
	timer.stop()
	if isBuffered(resp) {
		x.releaseResponse()
	}
	settlement = x.relayResponse(resp)
	body.discardRest()
}

// refusePrepared refuses a request whose body was prepared and may not have been read to its end.
func (x *exchange) refusePrepared(refused *refusal) {
	x.body.closeIfUnread(x.w.Header())
	x.refuse(refused)
	x.body.discardRest()
}

// reserve reserves what the transfers of the request take up, or returns why it is refused. The
// returned function must be called at the end of the request.
func (x *exchange) reserve() (release func(), refused *refusal) {
	leaveUpload, refused := x.enterUpload()
	if refused != nil {
		return nil, refused
	}
	x.releaseResponse, refused = x.reserveResponse()
	if refused != nil {
		leaveUpload()
		return nil, refused
	}
	return func() { leaveUpload(); x.releaseResponse() }, nil
}

func (x *exchange) settleClaim(s Settlement) {
	if x.claimed {
		x.g.cfg.Claims.Settle(x.request, s)
	}
}

// relayResponse passes a backend server's response on. A truncated response is also
// truncated for the caller.
func (x *exchange) relayResponse(resp *http.Response) Settlement {
	var captured *bodyCapture
	if x.claimed {
		captured = &bodyCapture{}
	}
	x.body.closeIfUnread(x.w.Header())
	x.g.link.responseLengths.Note(x.route.Name, resp.ContentLength)
	complete := x.relayToCaller(resp, captured)
	x.call.relayed(complete)
	x.recordResponse(resp.StatusCode, complete)
	if !complete {
		if !x.r.ProtoAtLeast(1, 1) {
			graceful.ResetConnection(x.r.Context())
		}
		x.settleClaim(Settlement{Code: result.AnswerLost})
		x.claimed = false
		x.body.abort()
	}
	x.observation.result.Code = result.OK
	s := Settlement{Code: result.OK}
	if captured != nil && !captured.overflowed {
		s.Response = &StoredResponse{Status: resp.StatusCode, Header: http.Header{}, Body: captured.body}
		copyHeader(s.Response.Header, resp.Header)
	}
	return s
}

func (x *exchange) relayToCaller(resp *http.Response, captured *bodyCapture) (complete bool) {
	defer x.g.disconnectSlowReaders(resp)()
	return relay(x.r.Context(), x.w, resp, captured, nil)
}

// dispatch executes the actions of the flow until there is a response to relay or the
// caller has to be refused.
func (x *exchange) dispatch(ctx context.Context, pin uint64) (*http.Response, *refusal) {
	target := x.target
	x.inheritedRetry = x.inheritedRetryProbability()
	request := flow.Request{
		Deadline: x.deadline, Repeatable: x.route.Repeatable, Retries: x.route.Retries, Target: x.route.Target, Kind: x.route.Name, Pin: pin, Bytes: x.g.link.largeBodyLength(x.body), Answer: x.g.link.expectedLargeResponse(x.route.Name), RepeatProbability: x.inheritedRetry,
	}
	request.Cross = x.g.crossing(x.dir, target.Key, request.Bytes == 0 && request.Answer == 0)
	if request.Cross != nil {
		request.Crossed = x.g.crossed(target.Key)
	}
	call, action := x.g.beginCall(x.g.service(target.Key), x.dir, target, x.route.Name, request)
	x.call = call
	var last *refusal
	for number := 0; action.Kind == flow.Try; number++ {
		start := time.Now()
		x.attempts, x.serverTook = number+1, 0
		resp, refused := x.attempt(ctx, action)
		took := time.Since(start)
		x.reportAttempt(action.Candidate, number, refused, took)
		if refused == nil {
			call.answered()
			x.respondingServer = action.Candidate
			x.logAnswered(action.Candidate, resp.StatusCode)
			return resp, nil
		}
		x.logAttempt(action.Candidate, number, refused, took)
		x.recordRefusal(action.Candidate, refused, took)
		last = refused
		retryable := x.isolate(refused, action.Candidate.Node.Name) && !x.body.readStarted.Load() && !x.noRoom(refused)
		action = call.failed(refused, !retryable)
	}
	if action.Code == result.NoBackendServer && time.Since(x.g.started) < learningPeriod {
		return nil, &refusal{Error: result.Errorf(result.NotReady, "this daemon has just started and has not discovered a server of %s yet", target.Key), retryAfter: x.g.readyRetryAfter(time.Until(x.deadline))}
	}
	if last == nil {
		last = newRefusal(result.NoBackendServer, "service "+target.Key.String())
	}
	if action.Kind == flow.Answer && action.Code != last.Code {
		last = newRefusal(action.Code, action.Code.Meaning())
	}
	last.retryAfter = action.RetryAfter
	if last.Code == result.BackendCrashed {
		last.retryAfter = retryAfterCrash
	}
	return nil, last
}

func (x *exchange) reportAttempt(to *directory.Candidate, number int, refused *refusal, took time.Duration) {
	x.g.cfg.Observer.Attempt(Attempt{
		Mesh: x.route.Mesh, Route: x.route.Name, Node: to.Node.Name, Server: to.Server.Addr,
		Number: number, Code: codeOf(refused), Duration: took,
	})
}
