package limit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// waitTimeout limits every wait for an expected event. It is not a performance
// requirement.
const waitTimeout = 20 * time.Second

// startServer runs an HTTP server behind a Listener. /ok responds immediately,
// /endless responds for as long as the client reads, and /ended responds once
// /endless could not write any more.
func startServer(c *qt.C, cfg Config) *Listener {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := New(inner, cfg)
	mux := http.NewServeMux()
	mux.HandleFunc("/ok", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fine") })
	ended := make(chan struct{})
	mux.HandleFunc("/endless", func(w http.ResponseWriter, _ *http.Request) {
		for block := make([]byte, 1<<20); ; {
			if _, err := w.Write(block); err != nil {
				close(ended)
				return
			}
		}
	})
	mux.HandleFunc("/ended", func(http.ResponseWriter, *http.Request) { <-ended })
	server := &http.Server{Handler: mux, MaxHeaderBytes: 4 << 10, ReadHeaderTimeout: 200 * time.Millisecond, IdleTimeout: waitTimeout}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	return l
}

// dial opens a TCP connection and sends text.
func dial(c *qt.C, l net.Listener, text string) net.Conn {
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(conn, text)
	return conn
}

func readResponse(c *qt.C, conn net.Conn) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	return resp
}

const okRequest = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n"

// TestAboveTheLimit verifies that a connection above the limit is refused
// immediately, that connections within it are still served, and that a closed
// connection no longer counts.
func TestAboveTheLimit(t *testing.T) {
	c := qt.New(t)
	l := startServer(c, Config{MaxConnections: 2, StallTimeout: waitTimeout})
	first, second := dial(c, l, okRequest), dial(c, l, okRequest)
	c.Assert(readResponse(c, first).StatusCode, qt.Equals, http.StatusOK)
	c.Assert(readResponse(c, second).StatusCode, qt.Equals, http.StatusOK)
	for range 5 {
		refused := readResponse(c, dial(c, l, okRequest))
		c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(refused.Header.Get("Retry-After"), qt.Equals, "1")
		c.Assert(refused.Header.Get(result.HeaderResult), qt.Equals, "251")
		c.Assert(refused.Header.Get(result.HeaderOutcome), qt.Equals, "not-run")
	}
	c.Assert(l.Refused(), qt.Equals, uint64(5))
	_, _ = io.WriteString(first, okRequest)
	c.Assert(readResponse(c, first).StatusCode, qt.Equals, http.StatusOK)
	_ = second.Close()
	for l.Open() > 1 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(readResponse(c, dial(c, l, okRequest)).StatusCode, qt.Equals, http.StatusOK)
}

// TestErrorsOfTheServerAreNumbered verifies that error responses which net/http
// writes before any handler runs have a result code, and that the response of a
// handler has none.
func TestErrorsOfTheServerAreNumbered(t *testing.T) {
	c := qt.New(t)
	l := startServer(c, Config{MaxConnections: 100, StallTimeout: waitTimeout})
	for text, want := range map[string]string{
		"GET /" + strings.Repeat("x", 64<<10) + " HTTP/1.1\r\n\r\n":                   "250",
		"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 64<<10) + "\r\n\r\n": "250",
		"nonsense\r\n\r\n":                                           "219",
		"GET / HTTP/1.1\r\n\r\n":                                     "219",
		"GET / HTTP/9.9\r\nHost: a\r\n\r\n":                          "219",
		"GET / HTTP/1.1\r\nHost: a\r\nb ad\r\n\r\n":                  "219",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n": "219",
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n":       "219",
	} {
		resp := readResponse(c, dial(c, l, text))
		c.Assert(resp.Header.Get(result.HeaderResult), qt.Equals, want, qt.Commentf("%.40q", text))
		c.Assert(resp.Header.Get(result.HeaderOutcome), qt.Equals, "not-run")
	}
	c.Assert(readResponse(c, dial(c, l, okRequest)).Header.Get(result.HeaderResult), qt.Equals, "")
}

// TestSlowOnesAreCut verifies that clients which do not complete their request
// header or do not read the response are disconnected, and that other clients
// are served in the meantime.
func TestSlowOnesAreCut(t *testing.T) {
	c := qt.New(t)
	l := startServer(c, Config{MaxConnections: 100, StallTimeout: 200 * time.Millisecond})
	slow := dial(c, l, "GET /ok HTTP/1.1\r\nHo")
	dial(c, l, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(readResponse(c, dial(c, l, okRequest)).StatusCode, qt.Equals, http.StatusOK)
	_, err := io.ReadAll(slow)
	c.Assert(err, qt.IsNil)
	c.Assert(readResponse(c, dial(c, l, "GET /ended HTTP/1.1\r\nHost: a\r\n\r\n")).StatusCode, qt.Equals, http.StatusOK)
}
