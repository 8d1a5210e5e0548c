package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/daisygate/daisygate/internal/request/ratelimit"
	"github.com/daisygate/daisygate/internal/request/speed"
	"github.com/daisygate/daisygate/internal/result"
)

// Dialect translates between the headers of callers and backend servers and the values
// that the gateway uses. It makes no decisions. Implementations must be safe for
// concurrent use.
type Dialect interface {
	// Caller parses the request metadata sent by a caller.
	Caller(r *http.Request) CallerMetadata
	// Server returns the request headers for a backend server. They replace headers of
	// the same names sent by the caller.
	Server(t ServerMetadata) http.Header
	// Answer parses the response metadata sent by a backend server.
	Answer(status int, h http.Header) ResponseMetadata
	// Refuse writes a final response that does not come from a backend server.
	Refuse(w http.ResponseWriter, r Refusal)
}

// CallerMetadata is the request metadata sent by a caller.
type CallerMetadata struct {
	// ID identifies this submission of the request; "" if the caller did not send it.
	ID string
	// Left is how long the caller will wait; 0 if it did not say.
	Left time.Duration
	// Depth is the number of backend servers that the request has passed through.
	Depth int
	// Key is the API key; "" if the caller sent none.
	Key string
}

// ServerMetadata is the request metadata sent to a backend server.
type ServerMetadata struct {
	// Left is the time until the response is no longer needed.
	Left time.Duration
	// Depth is the number of backend servers that the request has passed through,
	// including the receiver.
	Depth int
	// Boot identifies the start of the server that must run the request; "" means any.
	Boot string
	// Origin is the service of the instance where the request originated, or "".
	Origin string
	// Organisation is the organisation whose API key the caller sent, or "".
	Organisation string
}

// ResponseMetadata is the response metadata sent by a backend server.
type ResponseMetadata struct {
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Misdirected is set if the server states that it is not the expected boot.
	Misdirected bool
	// ID identifies the request that the response belongs to; "" if the server did not
	// send it.
	ID string
	// RateLimit is the rate of requests that the server accepts from all daemons together.
	RateLimit ratelimit.Statement
	// Leaving is set if the server states that it is about to stop.
	Leaving bool
	// Contention is the time that work takes on the server's instance at this moment relative to
	// the usual one; 0 if the server does not state it.
	Contention float64
}

// Refusal is a final response that does not come from a backend server.
type Refusal struct {
	*result.Error
	// Outcome is what is known about the request.
	Outcome result.Outcome
	// RetryAfter is when to retry; 0 means unknown.
	RetryAfter time.Duration
}

// authorizationScheme is the scheme of the Authorization header that carries API keys.
const authorizationScheme = "Bearer"

// defaultDialect is daisygate's own Dialect.
type defaultDialect struct{}

// Caller implements Dialect. The remaining time and the depth are accepted only from the
// same instance, where a backend server may pass on those of the request that it is
// running.
func (defaultDialect) Caller(r *http.Request) CallerMetadata {
	depth, left := nestedCall(r)
	return CallerMetadata{Depth: depth, Left: left, Key: APIKey(r.Header, authorizationScheme)}
}

// Server implements Dialect.
func (defaultDialect) Server(t ServerMetadata) http.Header {
	return http.Header{
		HeaderTimeout:      {formatMicroseconds(t.Left)},
		HeaderDepth:        {strconv.Itoa(t.Depth)},
		HeaderOrganisation: optionalHeader(t.Organisation),
	}
}

// Answer implements Dialect.
func (defaultDialect) Answer(_ int, h http.Header) ResponseMetadata {
	return ResponseMetadata{RateLimit: ratelimit.Parse(h[HeaderRateLimit]), Leaving: h.Get(HeaderLeaving) == "1", Contention: speed.ParseFactor(h.Get(HeaderContention))}
}

// Refuse implements Dialect.
func (defaultDialect) Refuse(w http.ResponseWriter, r Refusal) {
	if r.Code == result.KeyUnknown {
		w.Header().Set("WWW-Authenticate", authorizationScheme)
	}
	result.WriteHTTPOutcome(w, r.Error, r.RetryAfter, r.Outcome)
}
