package telemetry

import (
	"fmt"
	"net/http"
)

// The paths of health, which need no token.
const (
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
)

// WithHealth answers the health paths and leaves everything else to next.
// /healthz says that the process answers; /readyz says whether it may get
// requests, and if not, why: notReady returns the reason, or "".
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

func writeHealth(w http.ResponseWriter, r *http.Request, fault string) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Cache-Control", "no-store")
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		h.Set("Allow", "GET, HEAD")
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	if fault == "" {
		fmt.Fprintln(w, "ok")
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprintln(w, "not ready:", fault)
}
