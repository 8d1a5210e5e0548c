package main

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestLeavingServerIsNotHealthy checks that a draining server fails its health check, as
// the platform requires.
func TestLeavingServerIsNotHealthy(t *testing.T) {
	c := qt.New(t)
	b := &backend{history: &History{}}
	status := func() int {
		w := httptest.NewRecorder()
		b.serve("boot", w, httptest.NewRequest(http.MethodGet, healthPath, nil))
		return w.Code
	}
	c.Check(status(), qt.Equals, http.StatusOK)
	b.draining = true
	c.Check(status(), qt.Equals, http.StatusServiceUnavailable)
}
