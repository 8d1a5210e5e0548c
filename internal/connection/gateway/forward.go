package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/daisygate/daisygate/internal/request/flow"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// attempt sends the request to one candidate: directly to a server on this instance,
// otherwise to the daemon on the server's instance.
func (x *exchange) attempt(ctx context.Context, action flow.Action) (*http.Response, *refusal) {
	if refused := x.checkKeysCurrent(); refused != nil {
		return nil, refused
	}
	to := action.Candidate
	if to.Node.Name != x.g.cfg.Self {
		return x.forward(ctx, to, action.Repeat)
	}
	req := &backendRequest{
		request: x.request, body: x.body, addr: to.Server.Addr, priority: x.priority(),
		depth: x.caller.Depth, deadline: x.deadline, nonRepeatable: !x.route.Repeatable,
		id: x.caller.ID, usefulUntil: x.usefulUntil(), route: x.route.Name, retryProbability: parseRetryProbability(x.retryHeader(action.Repeat)),
		known: x.call.statementOf(to), draw: x.draw, callStatement: x.callStatement(),
	}
	req.kindTime = x.call.usualTime(x.route.Name)
	resp, refused := x.g.serve(ctx, req)
	x.recordLocalSpeed(to, req)
	x.serverTook = req.serverTime
	if s, known := x.g.statementFor(req); known {
		x.call.recordStatement(to, s)
	}
	return resp, refused
}

// usefulUntil returns when the response loses most of its value; zero means unknown. The target counts
// from the first attempt of the caller. The response of a call loses its value when that of its run does.
func (x *exchange) usefulUntil() time.Time {
	if x.parent != nil && !x.parent.Useful.IsZero() {
		return x.parent.Useful
	}
	if x.route.Target == 0 {
		return time.Time{}
	}
	return x.observation.start.Add(x.route.Target - x.elapsed)
}

const (
	// responseMarginDivisor sets the part of the remaining time, one in
	// responseMarginDivisor, that is reserved for the way back, so that a refusal for lack
	// of time arrives before the deadline. maxResponseMargin caps it at a few times the
	// latency between regions.
	responseMarginDivisor = 16
	maxResponseMargin     = 20 * time.Millisecond
)

func (x *exchange) forward(ctx context.Context, to *directory.Candidate, retry bool) (_ *http.Response, refused *refusal) {
	out := x.body.outgoing(x.r)
	left := time.Until(x.deadline)
	out.ExtraHeader = http.Header{
		HeaderTimeout:  {formatMicroseconds(left - min(left/responseMarginDivisor, maxResponseMargin))},
		HeaderDepth:    {strconv.Itoa(x.caller.Depth)},
		headerStall:    {formatMicroseconds(x.route.Timeout)},
		headerServer:   {to.Server.Addr},
		headerMesh:     {x.route.Mesh},
		headerService:  {x.target.Name},
		headerPriority: {strconv.Itoa(x.priority())},
		headerRoute:    {x.route.Name},
	}
	if name := x.organisationName(); name != "" {
		out.ExtraHeader[HeaderOrganisation] = []string{name}
	}
	if !x.route.Repeatable {
		out.ExtraHeader[headerFresh] = []string{"1"}
	}
	if x.request.Isolated {
		out.ExtraHeader[headerAlone] = []string{"1"}
	}
	if x.route.Target > 0 {
		out.ExtraHeader[headerUseful] = []string{strconv.FormatInt(time.Until(x.usefulUntil()).Microseconds(), 10)}
	}
	if x.origin != "" {
		out.ExtraHeader[headerOrigin] = []string{x.origin}
	}
	if p := x.retryHeader(retry); p != "" {
		out.ExtraHeader[headerRepeat] = []string{p}
	}
	x.writeCall(out.ExtraHeader)
	if x.fixedDeadline {
		out.ExtraHeader[headerFixed] = []string{"1"}
	}
	x.writeDraw(out.ExtraHeader)
	x.writeKindTime(out.ExtraHeader)
	known := x.call.statementOf(to)
	if known.RateLimit > 0 {
		out.ExtraHeader[headerStatement] = []string{formatStatement(known)}
	}
	x.prepareCrossing(out.ExtraHeader, to, x.body.contentLength())
	x.addNews(to, out.ExtraHeader)
	out.Expect, out.MaxIdleAge = x.body.streamed, peerIdleTimeout
	x.g.link.outbound.recordSmallMessage(int64(len(out.SmallBody)))
	span := x.g.cfg.Tracer.Send(ctx, HopForward, out.ExtraHeader)
	span.Set(SpanNode, to.Node.Name)
	defer func() { span.End(codeOf(refused)) }()
	resp, failure := x.g.peerPools.pool(to.Node.Addr, to.Node.Domain).RoundTrip(ctx, out)
	if failure != nil {
		return nil, classifyFailure(ctx, failure, result.DaemonRefused)
	}
	x.readLoad(to, resp.Header)
	x.readLevels(to, resp.Header)
	x.readVerdict(resp.Header)
	x.g.readRooms(resp.Header)
	x.readNews(resp.Header)
	if s, ok := parseStatement(resp.Header); ok {
		x.call.recordStatement(to, s)
	}
	x.serverTook, _ = parseDurationHeader(resp.Header, headerTook)
	if code := resp.Header.Get(result.HeaderResult); code != "0" {
		return nil, readRefusal(resp, code)
	}
	if err := x.g.responseBuffer.bufferResponse(resp); err != nil {
		return nil, lostResponse(ctx, err)
	}
	return resp, nil
}

// maxRefusalBody bounds how much of a refusal's body is read.
const maxRefusalBody = 4 << 10

// readRefusal parses the refusal of another daemon. Without a readable code the outcome
// is unknown.
func readRefusal(resp *http.Response, text string) *refusal {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRefusalBody))
	_ = resp.Body.Close()
	number, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return newRefusal(result.AnswerLost, "the daemon sent an unreadable result code")
	}
	code := result.Code(number)
	r := newRefusal(code, code.Meaning())
	r.retryAfter, _ = parseDurationHeader(resp.Header, headerBack)
	return r
}
