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

// The messages of the log of requests, at the first daemon and at the one beside
// the backend server. Package trail finds a request's path by them.
const (
	// LogRefused and LogFailed tell of a final answer that no backend server
	// gave: of a request that was not run, and of one that may have been.
	LogRefused = "request refused"
	LogFailed  = "request failed"
	// LogAttempt tells of an attempt without an answer.
	LogAttempt = "attempt failed"
	// LogAnswered tells of an answer that came late or not at the first attempt.
	LogAnswered = "request answered"
	// LogTurnedAway tells what the daemon beside a backend server did with a
	// request that got no answer there, LogServed of one that was answered late.
	LogTurnedAway = "request turned away at the server"
	LogServed     = "request served late"
)

// requestLog writes a line for each decision about a request that did not go
// well, or for those of a share of the requests where there are many.
type requestLog struct {
	log logr.Logger
	mu  sync.Mutex
	// sampler is guarded by mu.
	sampler *sample.Sampler
}

func newRequestLog(log logr.Logger, perSecond int) *requestLog {
	return &requestLog{log: log, sampler: sample.New(perSecond)}
}

// line returns where a line about a request is to be written, and whether it is.
func (l *requestLog) line(id string) (logr.Logger, bool) {
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

// logRefusal tells why a caller got an answer that no backend server gave.
func (x *exchange) logRefusal(r *refusal, outcome result.Outcome) {
	log, ok := x.g.requests.line(x.told.ID)
	if !ok {
		return
	}
	values := []any{
		"result", r.Code.String(), "outcome", outcome.String(),
		"detail", r.Detail, "back", r.back.String(), "took", time.Since(x.seen.start).String(),
	}
	if x.route != nil {
		values = append(values, "route", x.route.Name, "version", x.dir.Snapshot.Version, "attempts", x.attempts,
			"left", time.Until(x.deadline).String())
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

// logAttempt tells of an attempt without an answer.
func (x *exchange) logAttempt(to *directory.Candidate, number int, r *refusal, took time.Duration) {
	log, ok := x.g.requests.line(x.told.ID)
	if !ok {
		return
	}
	log.Info(LogAttempt,
		"attempt", number+1, "to", to.Node.Name, "server", to.Server.Addr, "result", r.Code.String(), "detail", r.Detail,
		"back", r.back.String(), "took", took.String(), "route", x.route.Name, "version", x.dir.Snapshot.Version)
}

// logAnswered tells of an answer that came late or not at the first attempt.
func (x *exchange) logAnswered(to *directory.Candidate, status int) {
	took := time.Since(x.seen.start)
	if x.attempts == 1 && (x.route.Target == 0 || took <= x.route.Target) {
		return
	}
	log, ok := x.g.requests.line(x.told.ID)
	if !ok {
		return
	}
	log.Info(LogAnswered,
		"status", status, "attempts", x.attempts, "to", to.Node.Name, "server", to.Server.Addr, "took", took.String(),
		"target", x.route.Target.String(), "route", x.route.Name, "version", x.dir.Snapshot.Version)
}

// logServed tells what the daemon beside a backend server did with a request
// that got no answer there, or a late one.
func (g *Gateway) logServed(ctx context.Context, k *work, resp *http.Response, r *refusal, entered time.Time) {
	if r == nil && (k.useful.IsZero() || time.Now().Before(k.useful)) {
		return
	}
	log, ok := g.requests.line(k.id)
	if !ok {
		return
	}
	values := []any{
		"from", k.hooked.HTTP.RemoteAddr, "server", k.addr, "boot", k.boot, "route", k.route,
		"waited", k.waited.String(), "took", time.Since(entered).String(), "left", time.Until(k.deadline).String(),
	}
	if b, _ := g.backendAt(k.addr); b != nil {
		o := b.gate.occupancy(k.addr)
		values = append(values, "running", o.Running, "queued", o.Queued, "slots", o.Slots, "usual", b.gate.Load().Service.String())
	}
	if r == nil {
		log.Info(LogServed, append(values, "status", resp.StatusCode)...)
		return
	}
	log.Info(LogTurnedAway, append(values, "result", r.Code.String(), "detail", r.Detail, "caller_left", ctx.Err() != nil)...)
}
