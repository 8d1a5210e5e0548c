package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// ServePeer handles calls forwarded by other daemons.
func (g *Gateway) ServePeer(w http.ResponseWriter, r *http.Request) {
	req, timeout, stallTimeout, refused := parseForwarded(r)
	if refused != nil {
		writeRefusal(w, refused)
		return
	}
	news := g.receiveNews(r.Header, req)
	r, span := g.cfg.Tracer.Arrive(r, HopPeer)
	code := result.AnswerLost
	defer func() { span.End(code) }()
	req.id = g.cfg.Dialect.Caller(r).ID
	ctx, timer, cancel := withInactivityTimeout(r.Context(), timeout)
	defer cancel()
	body, err := newRequestBody(w, r, timer, stallTimeout)
	if err != nil {
		code = result.CallerLeft
		panic(http.ErrAbortHandler)
	}
	defer body.finish()
	req.request.HTTP, req.request.Body, req.body = r, body.buffered, body
	resp, refused := g.serve(ctx, req)
	defer func() { req.releaseResponse() }()
	g.setConnectionClose(w.Header())
	g.writeLoad(w.Header(), req)
	g.writeLevels(w.Header(), req)
	news.respond(w.Header())
	g.writeStatement(w.Header(), req)
	g.writeServerTime(w.Header(), req)
	g.writeVerdict(w.Header(), req)
	g.answerRooms(w.Header(), r.Header)
	g.writeSpeed(w.Header(), req)
	body.closeIfUnread(w.Header())
	if refused != nil {
		code = refused.Code
		writeRefusal(w, refused)
		body.discardRest()
		return
	}
	timer.stop()
	g.link.responseLengths.Note(req.route, resp.ContentLength)
	req.releaseResponse()
	if !relay(ctx, w, resp, nil, g.link.startTransfer(resp.ContentLength)) {
		body.abort()
	}
	code = result.OK
	body.discardRest()
}

// parseForwarded parses the internal headers of a forwarded request.
func parseForwarded(r *http.Request) (req *backendRequest, timeout, stallTimeout time.Duration, refused *refusal) {
	timeout, okTimeout := parseDurationHeader(r.Header, HeaderTimeout)
	stallTimeout, okStall := parseDurationHeader(r.Header, headerStall)
	priority, okPriority := parseIntHeader(r.Header, headerPriority)
	depth, okDepth := parseIntHeader(r.Header, HeaderDepth)
	req = &backendRequest{
		addr: r.Header.Get(headerServer), priority: priority, depth: depth,
		deadline: time.Now().Add(timeout), nonRepeatable: r.Header.Get(headerFresh) != "",
		remote: true, releaseResponse: func() {}, route: r.Header.Get(headerRoute),
		retryProbability: parseRetryProbability(r.Header.Get(headerRepeat)), draw: parseDraw(r.Header),
		request: &Request{
			Mesh: r.Header.Get(headerMesh), Service: r.Header.Get(headerService),
			Origin: r.Header.Get(headerOrigin), Organisation: r.Header.Get(HeaderOrganisation),
			Isolated: r.Header.Get(headerAlone) != "",
		},
	}
	if !okTimeout || !okStall || !okPriority || !okDepth || req.addr == "" {
		return nil, 0, 0, newRefusal(result.BadRequest, "the headers of a forwarded call are missing or invalid")
	}
	req.known, _ = parseStatement(r.Header)
	req.callStatement = parseCall(r.Header)
	req.kindTime, _ = parseDurationHeader(r.Header, headerKindTime)
	if micros, err := strconv.ParseInt(r.Header.Get(headerUseful), 10, 64); err == nil {
		req.usefulUntil = time.Now().Add(time.Duration(micros) * time.Microsecond)
	}
	if r.Header.Get(headerFixed) != "" {
		stallTimeout = 0
	}
	return req, timeout, stallTimeout, nil
}

// setConnectionClose asks the client to close its connection if this daemon is shutting
// down.
func (g *Gateway) setConnectionClose(h http.Header) {
	if g.shuttingDown.Load() {
		h.Set("Connection", "close")
	}
}
