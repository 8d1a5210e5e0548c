package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/request/sample"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// The messages of the request log, on the first daemon and on the backend server's
// instance. Package requestlog reconstructs a request's path from them.
const (
	// LogRefused and LogFailed report a final response that does not come from a backend
	// server: LogRefused for a request that was not run, LogFailed for one that may have
	// been.
	LogRefused = "request refused"
	LogFailed  = "request failed"
	// LogAttempt reports an attempt without a response.
	LogAttempt = "attempt failed"
	// LogAnswered reports a response that was late or needed more than one attempt.
	LogAnswered = "request answered"
	// LogRejectedAtServer and LogServed are logged by the daemon on the backend server's
	// instance: LogRejectedAtServer for a request without a response, LogServed for a late
	// response.
	LogRejectedAtServer = "request rejected at the server"
	LogServed           = "request served late"
)

// requestLog logs the decisions about requests that failed or were slow. If there are too
// many, it logs them for a sample of the requests.
type requestLog struct {
	log logr.Logger
	mu  sync.Mutex
	// sampler is guarded by mu.
	sampler *sample.Sampler
}

func newRequestLog(log logr.Logger, perSecond int) *requestLog {
	return &requestLog{log: log, sampler: sample.New(perSecond)}
}

// sampledLogger returns the logger for a line about a request, and whether the line is to
// be written.
func (l *requestLog) sampledLogger(id string) (logr.Logger, bool) {
	l.mu.Lock()
	heldBack, keep := l.sampler.Keep(time.Now(), id)
	l.mu.Unlock()
	if !keep {
		return logr.Logger{}, false
	}
	log := l.log.WithValues("id", id)
	if heldBack > 0 {
		log = log.WithValues("held_back", heldBack)
	}
	return log, true
}

// logRefusal logs why a caller got a response that does not come from a backend server.
func (x *exchange) logRefusal(r *refusal, outcome result.Outcome) {
	log, ok := x.g.requestLog.sampledLogger(x.caller.ID)
	if !ok {
		return
	}
	values := []any{
		"result", r.Code.String(), "outcome", outcome.String(),
		"detail", r.Detail, "back", r.retryAfter.String(), "took", time.Since(x.observation.start).String(),
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "version", x.dir.Snapshot.Version, "attempts", x.attempts,
			"left", time.Until(x.deadline).String(), "since_first", x.elapsed.String())
	}
	if x.organisation != nil {
		values = append(values, "organisation", x.organisation.Name)
	}
	if x.target != nil {
		values = append(values, "service", x.target.Name, "servers", len(x.dir.Candidates(x.target.Key)))
	}
	message := LogFailed
	if outcome == result.NotRun {
		message = LogRefused
	}
	log.Info(message, values...)
}

// logAttempt logs an attempt without a response.
func (x *exchange) logAttempt(to *directory.Candidate, number int, r *refusal, took time.Duration) {
	log, ok := x.g.requestLog.sampledLogger(x.caller.ID)
	if !ok {
		return
	}
	log.Info(LogAttempt,
		"attempt", number+1, "to", to.Node.Name, "server", to.Server.Addr, "result", r.Code.String(), "detail", r.Detail,
		"back", r.retryAfter.String(), "took", took.String(), "route", x.route.Name, "version", x.dir.Snapshot.Version)
}

// logAnswered logs a response that was late or needed more than one attempt.
func (x *exchange) logAnswered(to *directory.Candidate, status int) {
	took := time.Since(x.observation.start)
	if x.attempts == 1 && (x.route.Target == 0 || took <= x.route.Target) {
		return
	}
	log, ok := x.g.requestLog.sampledLogger(x.caller.ID)
	if !ok {
		return
	}
	log.Info(LogAnswered,
		"status", status, "attempts", x.attempts, "to", to.Node.Name, "server", to.Server.Addr, "took", took.String(),
		"target", x.route.Target.String(), "route", x.route.Name, "version", x.dir.Snapshot.Version)
}

// logServed logs a request on the backend server's instance that got no response or a
// late one.
func (g *Gateway) logServed(ctx context.Context, req *backendRequest, resp *http.Response, r *refusal, entered time.Time) {
	if r == nil && (req.usefulUntil.IsZero() || time.Now().Before(req.usefulUntil)) {
		return
	}
	log, ok := g.requestLog.sampledLogger(req.id)
	if !ok {
		return
	}
	values := []any{
		"from", req.request.HTTP.RemoteAddr, "server", req.addr, "boot", req.boot, "route", req.route,
		"waited", req.queueTime.String(), "took", time.Since(entered).String(), "left", time.Until(req.deadline).String(),
	}
	if req.isCall {
		values = append(values, "call", true)
	}
	if b, _ := g.backendAt(req.addr); b != nil {
		o := b.gate.occupancy(req.addr)
		values = append(values, "running", o.Running, "queued", o.Queued, "slots", o.Slots, "usual", b.gate.Load().Service.String())
	}
	if r == nil {
		log.Info(LogServed, append(values, "expected_wait", req.queueing.Expected.String(), "overtaken", req.queueing.Overtaken,
			"priority", req.priority, "status", resp.StatusCode)...)
		return
	}
	log.Info(LogRejectedAtServer, append(values, "result", r.Code.String(), "detail", r.Detail, "caller_left", ctx.Err() != nil)...)
}
