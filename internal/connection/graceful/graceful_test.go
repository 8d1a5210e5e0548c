package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const lastAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// TestRequestThatCrossesTheStopIsAnswered sends a request on an idle connection
// that the server has just retired: it is answered, and it does not run.
func TestRequestThatCrossesTheStopIsAnswered(t *testing.T) {
	c := qt.New(t)
	var runs atomic.Int32
	s := start(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
	client, err := net.Dial("tcp", s.addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	reader := bufio.NewReader(client)
	c.Assert(ask(client, reader), qt.Equals, http.StatusOK)
	s.listener.Drain(time.Second)
	retired := make(chan struct{})
	go func() { s.tracker.Retire(); close(retired) }()
	// The answer is on its way; the client asks before it has read it.
	_, err = reader.Peek(1)
	c.Assert(err, qt.IsNil)
	c.Assert(ask(client, reader), qt.Equals, http.StatusRequestTimeout)
	_, err = reader.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	_ = client.Close()
	<-retired
	c.Assert(runs.Load(), qt.Equals, int32(1))
	_, err = net.Dial("tcp", s.addr)
	c.Assert(err, qt.ErrorMatches, ".*connection refused")
}

// TestRequestInProgressIsNotRetired lets a request that began end whole.
func TestRequestInProgressIsNotRetired(t *testing.T) {
	c := qt.New(t)
	begun, release := make(chan struct{}), make(chan struct{})
	s := start(c, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		<-release
	}))
	client, err := net.Dial("tcp", s.addr)
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	status := make(chan int, 1)
	go func() { status <- ask(client, bufio.NewReader(client)) }()
	<-begun
	s.tracker.Retire()
	close(release)
	c.Assert(<-status, qt.Equals, http.StatusOK)
}

type server struct {
	addr     string
	tracker  *Tracker
	listener *Listener
}

func start(c *qt.C, handler http.Handler) *server {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	tracker := NewTracker([]byte(lastAnswer))
	s := &server{addr: inner.Addr().String(), tracker: tracker, listener: tracker.Listen(inner, inner.(*net.TCPListener))}
	h := &http.Server{Handler: tracker.Guard(handler), ConnState: tracker.ConnState, ConnContext: tracker.ConnContext}
	go func() { _ = h.Serve(s.listener) }()
	c.Cleanup(func() { _ = h.Close() })
	return s
}

// ask sends one request and returns the status, or 0 when there was no answer.
func ask(client net.Conn, reader *bufio.Reader) int {
	if _, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestPendingIsTaken holds that a connection which waits to be accepted when
// the listener drains is served, and not reset.
func TestPendingIsTaken(t *testing.T) {
	c := qt.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = inner.Close() }()
	tcp := inner.(*net.TCPListener)
	c.Assert(acceptPending(tcp), qt.IsNil)
	client, err := net.Dial("tcp", inner.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = client.Close() }()
	_, err = io.WriteString(client, "early")
	c.Assert(err, qt.IsNil)
	listener := NewTracker(nil).Listen(inner, tcp)
	listener.closing = time.Now().Add(-time.Second)
	c.Assert(tcp.SetDeadline(listener.closing), qt.IsNil)
	taken, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	got := make([]byte, len("early"))
	_, err = io.ReadFull(taken, got)
	c.Assert(err, qt.IsNil)
	c.Assert(string(got), qt.Equals, "early")
	_, err = listener.Accept()
	c.Assert(err, qt.Equals, net.ErrClosed)
}
