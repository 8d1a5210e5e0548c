package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// HeaderIdempotencyKey is the header that identifies a request, so that a resend of it is
// recognized.
const HeaderIdempotencyKey = "Idempotency-Key"

// Request describes a request to the hooks. HTTP is the request as received: on the first
// daemon with the caller's headers, on the daemon at the backend server with the internal
// headers as well. A hook must not modify it, read its body or retain it.
type Request struct {
	Mesh    string
	Service string
	// Origin is the service of the instance where the request originated, or "", and
	// Organisation the one whose API key the caller sent, or "".
	Origin, Organisation string
	// Repeatable is set on the first daemon only.
	Repeatable bool
	HTTP       *http.Request
	// Body is the complete body if it is small, otherwise nil.
	Body []byte
	// Isolated is set if the request runs with no other request on its backend server.
	Isolated bool
}

// Claims makes requests with an idempotency key run at most once. It is called on the
// first daemon only. Implementations must be safe for concurrent use.
type Claims interface {
	// Claim is called once for each incoming request with a key, before it is dispatched.
	Claim(ctx context.Context, r *Request) ClaimVerdict
	// Settle is called exactly once after each Claim that allowed the request to run,
	// when its result is known. A claimed request continues when its caller disconnects,
	// so that the response can be stored.
	Settle(r *Request, s Settlement)
}

// ClaimVerdict is the decision on a request with a key. If neither Response nor Refusal
// is set, the request runs and Settle follows.
type ClaimVerdict struct {
	// Response is the stored response of the first run. It is sent unchanged.
	Response *StoredResponse
	// Refusal rejects the request; RetryAfter is when to retry. With
	// result.ClaimsUnavailable nothing is known about earlier submissions, so the response
	// states that the outcome is unknown.
	Refusal    *result.Error
	RetryAfter time.Duration
}

// StoredResponse is a response that can be sent again.
type StoredResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// Settlement describes how a claimed request ended.
type Settlement struct {
	// Code is result.OK for a response of a backend server. The outcome of any other code
	// states whether the request ran.
	Code result.Code
	// Response is the complete response. It is nil if there was none, or if it was
	// truncated or larger than maxStoredBody.
	Response *StoredResponse
}

// CrashScreener keeps requests that crash backend servers away from them. Implementations
// must be safe for concurrent use.
type CrashScreener interface {
	// NeedsBody reports whether Screen can only decide with the whole body of r, the length of
	// which is not known.
	NeedsBody(r *Request) bool
	// Screen is called before a request is dispatched, and again on the backend server's
	// instance before it is served.
	Screen(r *Request) Screening
	// ReportCrash records that the server running r crashed, on this instance or another,
	// and screens r for the next attempt. node is the name of the daemon beside the server.
	ReportCrash(r *Request, node string) Screening
	// Begin records that a request is being sent to the backend server at addr. End is
	// called on the Run exactly once, when nothing of the request is in progress any
	// more; until then the Run may read r.
	Begin(addr string, r *Request) Run
}

// Screening is the decision on a request.
type Screening struct {
	// Refusal, if set, rejects the request.
	Refusal    *result.Error
	RetryAfter time.Duration
	// Isolated runs the request with no other request on the backend server.
	Isolated bool
	// Pin is set with Isolated. Requests with the same Pin are routed to the same server,
	// so that no two of them run at the same time.
	Pin uint64
}

// Run is one request running on a backend server of this instance.
type Run interface {
	// RecordBody records the whole of a small body, the length of which was not known when the run
	// began.
	RecordBody(body []byte)
	// End records how the run ended and reports whether the backend server crashed, possibly
	// because of the request.
	End(status RunStatus) (crashed bool)
}

// RunStatus is how a run ended.
type RunStatus uint8

// The values of RunStatus.
const (
	// Finished runs returned a complete response.
	Finished RunStatus = iota + 1
	// Cancelled runs were abandoned by the gateway: the caller disconnected or the
	// deadline passed.
	Cancelled
	// Unsent runs never reached the backend server; ConnectionRefused ones did not because it refused the
	// connection.
	Unsent
	ConnectionRefused
	// Crashed runs lost their connection before the response was complete, and the
	// backend server caused the loss.
	Crashed
	// Failed runs returned a response that reports an error of the server. It may have stopped early.
	Failed
	// TimedOut runs returned a response that reports that the server gave up at the time limit. Its
	// work may go on.
	TimedOut
	// Rejected runs returned a response that states that the server did not run the request.
	Rejected
)

// mayGoOn reports whether the backend server may still work on a run that ended so.
func (s RunStatus) mayGoOn() bool { return s == TimedOut || s == Cancelled }

// maxStoredBody is the size of the largest response body passed to Settle.
const maxStoredBody = 64 << 10

// noRun is the Run used without a CrashScreener.
type noRun struct{}

// RecordBody implements Run.
func (noRun) RecordBody([]byte) {}

// End implements Run.
func (noRun) End(RunStatus) bool { return false }

func (g *Gateway) screen(r *Request) Screening {
	if g.cfg.CrashScreener == nil {
		return Screening{}
	}
	return g.cfg.CrashScreener.Screen(r)
}

func (g *Gateway) beginRun(addr string, r *Request) Run {
	if g.cfg.CrashScreener == nil {
		return noRun{}
	}
	return g.cfg.CrashScreener.Begin(addr, r)
}

func (x *exchange) hasIdempotencyKey() bool {
	return x.g.cfg.Claims != nil && x.r.Header.Get(HeaderIdempotencyKey) != ""
}

// outcome returns what is known about the request after a refusal. The code describes
// this submission only: an earlier one with the same key may have run unless its claim
// has been looked up. A malformed request cannot have run before, but one whose body is
// incomplete may have.
func (x *exchange) outcome(code result.Code) result.Outcome {
	malformed := code == result.BadRequest && x.request == nil
	if code.Outcome() == result.NotRun && x.hasIdempotencyKey() && !x.claimKnown && !malformed {
		return result.Unknown
	}
	return code.Outcome()
}

// claim requests the claim of a request with a key. proceed is false if the caller has
// been answered already.
func (x *exchange) claim() (proceed bool) {
	if !x.hasIdempotencyKey() {
		return true
	}
	verdict := x.g.cfg.Claims.Claim(x.r.Context(), x.request)
	x.claimKnown = verdict.Refusal == nil || verdict.Refusal.Code != result.ClaimsUnavailable
	if verdict.Refusal == nil && verdict.Response == nil {
		x.claimed = true
		return true
	}
	x.body.closeIfUnread(x.w.Header())
	if verdict.Refusal != nil {
		x.refuse(&refusal{Error: verdict.Refusal, retryAfter: verdict.RetryAfter})
		return false
	}
	x.observation.result.Code = result.OK
	verdict.Response.write(x.w)
	return false
}

func (s *StoredResponse) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range s.Header {
		header[name] = values
	}
	result.SetHeaders(header, result.OK)
	w.WriteHeader(s.Status)
	_, _ = w.Write(s.Body)
}

// bodyCapture collects the body of a response to be stored, up to maxStoredBody.
type bodyCapture struct {
	body       []byte
	overflowed bool
}

func (c *bodyCapture) add(p []byte) {
	if c == nil || c.overflowed {
		return
	}
	if len(c.body)+len(p) > maxStoredBody {
		c.overflowed, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}
