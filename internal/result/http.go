package result

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// The headers by which every answer carries its result.
const (
	// HeaderResult holds the number of the code.
	HeaderResult = "Daisygate-Result"
	// HeaderOutcome holds "run", "not-run" or "unknown".
	HeaderOutcome = "Daisygate-Outcome"
)

// body is the JSON body of an error answer.
type body struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// RetryAfter is in seconds.
	RetryAfter int `json:"retry_after,omitempty"`
}

// WriteHTTP answers with a refusal or failure, as JSON.
func WriteHTTP(w http.ResponseWriter, e *Error) { WriteHTTPRetry(w, e, 0) }

// WriteHTTPRetry is WriteHTTP that also tells when to come back.
func WriteHTTPRetry(w http.ResponseWriter, e *Error, after time.Duration) {
	WriteHTTPOutcome(w, e, after, e.Code.Outcome())
}

// WriteHTTPOutcome is WriteHTTPRetry for a request of which less is known than
// the code tells of this sending of it.
func WriteHTTPOutcome(w http.ResponseWriter, e *Error, after time.Duration, known Outcome) {
	b := body{Code: e.Code, Name: table[e.Code].name, Outcome: known.String(), Detail: e.Detail}
	h := w.Header()
	if after > 0 {
		b.RetryAfter = int(math.Ceil(after.Seconds()))
		h.Set("Retry-After", strconv.Itoa(b.RetryAfter))
	}
	h.Set("Content-Type", "application/json")
	SetHeaders(h, e.Code)
	h.Set(HeaderOutcome, known.String())
	w.WriteHeader(e.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(b)
}

// SetHeaders puts code and outcome into h.
func SetHeaders(h http.Header, c Code) {
	h.Set(HeaderResult, strconv.Itoa(int(c)))
	h.Set(HeaderOutcome, c.Outcome().String())
}

// Refuse answers every request with one code, for a router's unknown paths and
// methods.
func Refuse(code Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		WriteHTTP(w, Errorf(code, "%s %s", r.Method, r.URL.Path))
	})
}
