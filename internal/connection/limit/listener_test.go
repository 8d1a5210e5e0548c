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

// patience bounds every wait for something that must happen; it is no measure.
const patience = 20 * time.Second

// serve runs a server behind a Listener: /ok answers at once, and /endless
// answers for as long as someone reads.
func serve(c *qt.C, cfg Config) *Listener {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := New(open, cfg)
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
	server := &http.Server{Handler: mux, MaxHeaderBytes: 4 << 10, ReadHeaderTimeout: 200 * time.Millisecond, IdleTimeout: patience}
	go func() { _ = server.Serve(l) }()
	c.Cleanup(func() { _ = server.Close() })
	return l
}

// dial opens a raw connection and sends text.
func dial(c *qt.C, l net.Listener, text string) net.Conn {
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	_, _ = io.WriteString(conn, text)
	return conn
}

func answer(c *qt.C, conn net.Conn) *http.Response {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	return resp
}

const get = "GET /ok HTTP/1.1\r\nHost: a\r\n\r\n"

// TestAboveTheLimit holds that a connection above the limit is told so at once,
// that those within it are served on, and that an ended one makes room.
func TestAboveTheLimit(t *testing.T) {
	c := qt.New(t)
	l := serve(c, Config{Connections: 2, StallTimeout: patience})
	first, second := dial(c, l, get), dial(c, l, get)
	c.Assert(answer(c, first).StatusCode, qt.Equals, http.StatusOK)
	c.Assert(answer(c, second).StatusCode, qt.Equals, http.StatusOK)
	for range 5 {
		refused := answer(c, dial(c, l, get))
		c.Assert(refused.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(refused.Header.Get("Retry-After"), qt.Equals, "1")
		c.Assert(refused.Header.Get(result.HeaderResult), qt.Equals, "251")
		c.Assert(refused.Header.Get(result.HeaderOutcome), qt.Equals, "not-run")
	}
	c.Assert(l.Refused(), qt.Equals, uint64(5))
	_, _ = io.WriteString(first, get)
	c.Assert(answer(c, first).StatusCode, qt.Equals, http.StatusOK)
	_ = second.Close()
	for l.Open() > 1 {
		time.Sleep(time.Millisecond)
	}
	c.Assert(answer(c, dial(c, l, get)).StatusCode, qt.Equals, http.StatusOK)
}

// TestErrorsOfTheServerAreNumbered holds that what net/http refuses before any
// handler runs has its code, and that an answer that looks like it has not.
func TestErrorsOfTheServerAreNumbered(t *testing.T) {
	c := qt.New(t)
	l := serve(c, Config{Connections: 100, StallTimeout: patience})
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
		resp := answer(c, dial(c, l, text))
		c.Assert(resp.Header.Get(result.HeaderResult), qt.Equals, want, qt.Commentf("%.40q", text))
		c.Assert(resp.Header.Get(result.HeaderOutcome), qt.Equals, "not-run")
	}
	c.Assert(answer(c, dial(c, l, get)).Header.Get(result.HeaderResult), qt.Equals, "")
}

// TestSlowOnesAreCut holds that who sends no header, and who reads no answer, is
// cut, and that others are served meanwhile.
func TestSlowOnesAreCut(t *testing.T) {
	c := qt.New(t)
	l := serve(c, Config{Connections: 100, StallTimeout: 200 * time.Millisecond})
	slow := dial(c, l, "GET /ok HTTP/1.1\r\nHo")
	dial(c, l, "GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
	c.Assert(answer(c, dial(c, l, get)).StatusCode, qt.Equals, http.StatusOK)
	_, err := io.ReadAll(slow)
	c.Assert(err, qt.IsNil)
	c.Assert(answer(c, dial(c, l, "GET /ended HTTP/1.1\r\nHost: a\r\n\r\n")).StatusCode, qt.Equals, http.StatusOK)
}
