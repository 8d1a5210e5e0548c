package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// HeaderIdempotencyKey names a request, so that a resend of it is known as such.
const HeaderIdempotencyKey = "Idempotency-Key"

// Request describes a request to the hooks. HTTP is the request as it came in,
// on the side of the first daemon with its caller's headers, on the side of the
// daemon beside the backend server with the internal headers too. A hook must
// not change it, read its body or keep it.
type Request struct {
	Mesh    string
	Service string
	// Repeatable is known to the first daemon only.
	Repeatable bool
	HTTP       *http.Request
	// Body is the whole body if it is small, else nil.
	Body []byte
	// Alone is set once the request runs with no other beside it.
	Alone bool
}

// Claims makes requests with an idempotency key run at most once. It is asked
// at the first daemon only. It must be safe for concurrent use.
type Claims interface {
	// Claim is called once for each arriving request that has a key, before it
	// is dispatched.
	Claim(ctx context.Context, r *Request) ClaimVerdict
	// Settle is called exactly once after each Claim that let the request run,
	// when its end is known. The work of a claimed request goes on when its
	// caller leaves, so that the answer can be kept.
	Settle(r *Request, s Settlement)
}

// ClaimVerdict is what becomes of a request with a key. With neither Answer nor
// Refusal it runs, and Settle follows.
type ClaimVerdict struct {
	// Answer is the kept answer of the first run, sent back as it is.
	Answer *KeptAnswer
	// Refusal ends the request here; RetryAfter says when to come back. With
	// result.ClaimsUnavailable nothing is known of earlier sendings: the caller
	// is told that the outcome is unknown.
	Refusal    *result.Error
	RetryAfter time.Duration
}

// KeptAnswer is an answer that can be sent again.
type KeptAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Settlement tells how a claimed request ended.
type Settlement struct {
	// Code is result.OK for an answer of a backend server; any other code's
	// outcome says whether the request ran.
	Code result.Code
	// Answer is the whole answer; nil without one, or when it was cut or
	// larger than keptBytes.
	Answer *KeptAnswer
}

// Suspects keeps requests away that crash backend servers. It must be safe for
// concurrent use.
type Suspects interface {
	// Screen is asked before a request is dispatched, and again before it is
	// served beside its backend server.
	Screen(r *Request) Screening
	// Told takes in that the server crashed that ran r, beside this daemon or
	// another, and screens r for the next attempt.
	Told(r *Request) Screening
	// Begin tells that a request is handed to the backend server at addr now.
	// End of the Run is called exactly once, when nothing of it is in progress
	// any more; until then the Run may read r.
	Begin(addr string, r *Request) Run
}

// Screening is the verdict on a request.
type Screening struct {
	// Refusal, if set, ends the request here.
	Refusal    *result.Error
	RetryAfter time.Duration
	// Alone runs the request with no other beside it on the backend server.
	Alone bool
	// Pin is set with Alone: requests with the same Pin go to the same server,
	// so that no two of them run at one time.
	Pin uint64
}

// Run is one request that a backend server beside this daemon runs.
type Run interface {
	// End reports whether the backend server crashed.
	End(f Fate) (crashed bool)
}

// Fate is how a run ended.
type Fate uint8

// The fates.
const (
	// Finished runs gave a whole answer.
	Finished Fate = iota + 1
	// Cancelled runs were given up by this side: the caller left or the
	// deadline passed.
	Cancelled
	// Unsent runs never reached the backend server.
	Unsent
	// Crashed runs lost their connection by the backend server's doing, before
	// the answer was whole.
	Crashed
)

// keptBytes is the largest answer body handed to Settle.
const keptBytes = 64 << 10

// noRun stands in when there is no Suspects.
type noRun struct{}

// End implements Run.
func (noRun) End(Fate) bool { return false }

func (g *Gateway) screen(r *Request) Screening {
	if g.cfg.Suspects == nil {
		return Screening{}
	}
	return g.cfg.Suspects.Screen(r)
}

func (g *Gateway) begin(addr string, r *Request) Run {
	if g.cfg.Suspects == nil {
		return noRun{}
	}
	return g.cfg.Suspects.Begin(addr, r)
}

func (x *exchange) keyed() bool {
	return x.g.cfg.Claims != nil && x.r.Header.Get(HeaderIdempotencyKey) != ""
}

// outcome is what is known of the request after a refusal. The code tells of
// this sending; one before it, under the same key, may have run as long as its
// claim was not looked up. A malformed request is none that ran before, but one
// whose body did not come may be.
func (x *exchange) outcome(code result.Code) result.Outcome {
	malformed := code == result.BadRequest && x.hooked == nil
	if code.Outcome() == result.NotRun && x.keyed() && !x.decided && !malformed {
		return result.Unknown
	}
	return code.Outcome()
}

// claim asks for the claim of a request with a key. proceed is false when the
// caller was answered here.
func (x *exchange) claim() (proceed bool) {
	if !x.keyed() {
		return true
	}
	verdict := x.g.cfg.Claims.Claim(x.r.Context(), x.hooked)
	x.decided = verdict.Refusal == nil || verdict.Refusal.Code != result.ClaimsUnavailable
	switch {
	case verdict.Refusal != nil:
		x.refuse(&refusal{Error: verdict.Refusal, back: verdict.RetryAfter})
		return false
	case verdict.Answer != nil:
		x.seen.done.Code = result.OK
		verdict.Answer.write(x.w)
		return false
	}
	x.claimed = true
	return true
}

func (a *KeptAnswer) write(w http.ResponseWriter) {
	header := w.Header()
	for name, values := range a.Header {
		header[name] = values
	}
	result.SetHeaders(header, result.OK)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// capture collects the body of an answer that is to be kept, up to keptBytes.
type capture struct {
	body []byte
	over bool
}

func (c *capture) add(p []byte) {
	if c == nil || c.over {
		return
	}
	if len(c.body)+len(p) > keptBytes {
		c.over, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}
