package result

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// The headers that carry the result of every response.
const (
	// HeaderResult holds the numeric code.
	HeaderResult = "Daisygate-Result"
	// HeaderOutcome holds "run", "not-run" or "unknown".
	HeaderOutcome = "Daisygate-Outcome"
)

// errorBody is the JSON body of an error response.
type errorBody struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retry_after,omitempty"`
}

// WriteHTTP writes an error response with a JSON body.
func WriteHTTP(w http.ResponseWriter, e *Error) { WriteHTTPRetry(w, e, 0) }

// WriteHTTPRetry writes an error response as WriteHTTP does. If retryAfter is positive,
// it is rounded up to seconds and sent as Retry-After.
func WriteHTTPRetry(w http.ResponseWriter, e *Error, retryAfter time.Duration) {
	WriteHTTPOutcome(w, e, retryAfter, e.Code.Outcome())
}

// WriteHTTPOutcome writes an error response as WriteHTTPRetry does, with an explicit
// outcome. It is used for requests that may have been sent more than once, where the
// overall outcome is less certain than the code implies for this transmission.
func WriteHTTPOutcome(w http.ResponseWriter, e *Error, retryAfter time.Duration, outcome Outcome) {
	body := errorBody{Code: e.Code, Name: codeTable[e.Code].name, Outcome: outcome.String(), Detail: e.Detail}
	h := w.Header()
	if retryAfter > 0 {
		body.RetryAfter = int(math.Ceil(retryAfter.Seconds()))
		h.Set("Retry-After", strconv.Itoa(body.RetryAfter))
	}
	h.Set("Content-Type", "application/json")
	SetHeaders(h, e.Code)
	h.Set(HeaderOutcome, outcome.String())
	var encoded bytes.Buffer
	_ = json.NewEncoder(&encoded).Encode(body)
	// Without a length, a handler that flushes the response ends it only by returning.
	h.Set("Content-Length", strconv.Itoa(encoded.Len()))
	w.WriteHeader(e.Code.HTTPStatus())
	_, _ = w.Write(encoded.Bytes())
}

// SetHeaders sets the headers for a code and its outcome in h.
func SetHeaders(h http.Header, c Code) {
	h.Set(HeaderResult, strconv.Itoa(int(c)))
	h.Set(HeaderOutcome, c.Outcome().String())
}

// RefuseHandler returns a handler that responds to every request with the given code, for
// unknown paths and methods of a router.
func RefuseHandler(code Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteHTTP(w, Errorf(code, "%s %s", r.Method, r.URL.Path))
	})
}
