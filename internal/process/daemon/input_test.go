package daemon_test

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/result"
)

// sendRaw sends text on a new connection and returns the response, or nil if the connection was
// closed without one.
func sendRaw(c *qt.C, addr, text string) *http.Response {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = io.WriteString(conn, text)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	return resp
}

// TestBadInputIsNumberedAndHurtsNobody sends invalid input to each listener. Each response must
// have the result code of the fault, and a call that is in progress meanwhile must complete.
func TestBadInputIsNumberedAndHurtsNobody(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	source := startDaemon(c, "a", nil, func(s *settings.Settings) { s.Limits.ManifestBytes = 2048 })
	applyManifest(c, source)
	release := make(chan struct{})
	startBackend(c, source, source, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			_, _ = io.WriteString(w, "begun ")
			_ = http.NewResponseController(w).Flush()
			<-release
			_, _ = io.WriteString(w, "ended")
		}
	})
	long, err := http.Get("http://" + source.Addr("caller") + "/long")
	c.Assert(err, qt.IsNil)
	defer func() { _ = long.Body.Close() }()

	huge := strings.Repeat("x", 1<<20)
	line := "GET /" + huge + " HTTP/1.1\r\nHost: a\r\n\r\n"
	header := "GET / HTTP/1.1\r\nHost: a\r\nX-A: " + huge + "\r\n\r\n"
	for _, v := range []struct{ listener, text, want string }{
		{"caller", "\x00\x01\x02\r\n\r\n", "219"},
		{"caller", line, "250"},
		{"caller", header, "250"},
		{"announce", line, "250"},
		{"announce", "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", "132"},
		{"announce", "POST /v1/servers HTTP/1.1\r\nHost: a\r\n\r\n", "133"},
		{"announce", "PUT /v1/servers HTTP/1.1\r\nHost: a\r\nContent-Length: 7\r\n\r\n{\"a\":1}", "410"},
		{"announce", "PUT /v1/servers HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n\"" + huge[1:], "131"},
		{"operator", header, "250"},
		{"operator", "POST /v1/manifests HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n" + huge, "131"},
		{"operator", "POST /v1/manifests HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\na: b", "110"},
		{"operator", "GET /nothing HTTP/1.1\r\nHost: a\r\n\r\n", "132"},
		{"peer", line, "250"},
		{"peer", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "219"},
		{"peer", "CONNECT example.org:80 HTTP/1.1\r\nHost: example.org:80\r\n\r\n", "311"},
	} {
		resp := sendRaw(c, source.Addr(v.listener), v.text)
		c.Assert(resp, qt.IsNotNil, qt.Commentf("%s: %.60q", v.listener, v.text))
		c.Check(resp.Header.Get(result.HeaderResult), qt.Equals, v.want, qt.Commentf("%s: %.60q", v.listener, v.text))
		c.Check(resp.Header.Get(result.HeaderOutcome), qt.Equals, "not-run")
	}

	close(release)
	whole, err := io.ReadAll(long.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(whole), qt.Equals, "begun ended")
}

// TestControlMessagesAreBounded sends the length prefix of a control message of 1 GiB. The
// daemon must close the connection because of the length, and other control connections must
// keep working.
func TestControlMessagesAreBounded(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	source := startDaemon(c, "a", nil, nil)
	conn, err := net.Dial("tcp", source.Addr("peer"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = io.WriteString(conn, "CONNECT /daisygate/rpc HTTP/1.0\n\n")
	c.Assert(err, qt.IsNil)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	_, err = conn.Write(binary.BigEndian.AppendUint32([]byte{0xfc}, 1<<30))
	c.Assert(err, qt.IsNil)
	_, err = reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	applyManifest(c, source, startDaemon(c, "b", source, nil))
}

// TestRefusedWhileSending checks that a client that sends too large a body receives the refusal
// and an orderly close instead of a reset, although the daemon does not read the whole body.
// The daemon closes its sending half first.
func TestRefusedWhileSending(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	source := startDaemon(c, "a", nil, nil)
	conn, err := net.Dial("tcp", source.Addr("operator"))
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = io.WriteString(conn, "POST /v1/manifests HTTP/1.1\r\nHost: a\r\nContent-Length: 1073741824\r\n\r\n")
	c.Assert(err, qt.IsNil)
	for block := make([]byte, 64<<10); err == nil; {
		// A write that blocks for this long means that the daemon has stopped reading.
		_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
		_, err = conn.Write(block)
	}
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Header.Get(result.HeaderResult), qt.Equals, "131")
	_, err = io.ReadAll(reader)
	c.Assert(err, qt.IsNil)
}
