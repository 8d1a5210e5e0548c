package telemetry

import (
	"fmt"
	"net/http"
)

// Paths of the health endpoints, which require no token.
const (
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// WithHealth returns a handler that serves the health endpoints and passes all other
// requests to next. /healthz reports that the process is alive. /readyz reports whether
// it is ready for requests and, if not, the reason returned by notReady; notReady returns
// "" if the process is ready.
func WithHealth(next http.Handler, notReady func() string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case HealthPath:
			writeHealth(w, r, "")
		case ReadyPath:
			writeHealth(w, r, notReady())
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func writeHealth(w http.ResponseWriter, r *http.Request, reason string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		h.Set("Allow", "GET, HEAD")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if reason == "" {
		fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintln(w, "not ready:", reason)
}
