package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// spanLine contains the fields of a span in the trace file that the test needs.
type spanLine struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func readSpans(c *qt.C, path string) []spanLine {
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	var spans []spanLine
	for decoder := json.NewDecoder(strings.NewReader(string(raw))); ; {
		var s spanLine
		err := decoder.Decode(&s)
		if err == io.EOF {
			return spans
		}
		c.Assert(err, qt.IsNil)
		spans = append(spans, s)
	}
}

// TestTraceThroughTwoDaemons checks the chain of spans of one request: the caller's span, the
// spans of the daemon that received the request, those of the backend server's local daemon,
// and the span in the header that the backend server receives.
func TestTraceThroughTwoDaemons(t *testing.T) {
	t.Parallel()
	const (
		traceID    = "4bf92f3577b34da6a3ce929d0e0e4736"
		callerSpan = "00f067aa0ba902b7"
	)
	c := qt.New(t)
	dir := c.TempDir()
	traced := func(name string) func(*settings.Settings) {
		return func(s *settings.Settings) { s.Trace.File = filepath.Join(dir, name) }
	}
	a := startDaemon(c, "a", nil, traced("a"))
	b := startDaemon(c, "b", a, traced("b"))
	applyManifest(c, a, b)
	traceparent := make(chan string, 1)
	startBackend(c, b, a, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/traced" {
			traceparent <- r.Header.Get("Traceparent")
		}
	})
	req, err := http.NewRequest(http.MethodGet, "http://"+a.Addr("caller")+"/traced", nil)
	c.Assert(err, qt.IsNil)
	req.Header.Set("Traceparent", "00-"+traceID+"-"+callerSpan+"-01")
	resp, err := http.DefaultClient.Do(req)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	a.stop()
	b.stop()

	byName := map[string]spanLine{}
	var installs []string
	for _, file := range []string{"a", "b"} {
		for _, s := range readSpans(c, filepath.Join(dir, file)) {
			if s.Name == "install" {
				installs = append(installs, s.SpanContext.TraceID)
				continue
			}
			c.Assert(s.SpanContext.TraceID, qt.Equals, traceID, qt.Commentf("sample_ratio is 0, so there is no other trace"))
			byName[file+" "+s.Name] = s
		}
	}
	parent := callerSpan
	for _, hop := range []string{"a caller", "a forward", "b peer", "b backend"} {
		s, found := byName[hop]
		c.Assert(found, qt.IsTrue, qt.Commentf("%s in %v", hop, byName))
		c.Assert(s.Parent.SpanID, qt.Equals, parent, qt.Commentf("%s", hop))
		parent = s.SpanContext.SpanID
	}
	c.Assert(installs, qt.HasLen, 2, qt.Commentf("one install span per daemon"))
	c.Assert(installs[0], qt.Equals, installs[1])
	c.Assert(<-traceparent, qt.Equals, "00-"+traceID+"-"+parent+"-01")
}
