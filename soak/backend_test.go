package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLeavingServerIsNotHealthy holds the stand-in to the platform's page: a server
// that leaves says so at its health check.
func TestLeavingServerIsNotHealthy(t *testing.T) {
	c := qt.New(t)
	b := &backend{h: &History{}}
	status := func() int {
		w := httptest.NewRecorder()
		b.serve("boot", w, httptest.NewRequest(http.MethodGet, healthPath, nil))
		return w.Code
	}
	c.Check(status(), qt.Equals, http.StatusOK)
	b.draining = true
	c.Check(status(), qt.Equals, http.StatusServiceUnavailable)
}
