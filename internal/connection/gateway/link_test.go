package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// heldBody yields its text once it is opened, and tells when it is first read.
type heldBody struct {
	begun, open chan struct{}
	text        io.Reader
	once        bool
}

func newHeldBody(size int) *heldBody {
	return &heldBody{begun: make(chan struct{}), open: make(chan struct{}), text: strings.NewReader(strings.Repeat("x", size))}
}

func (h *heldBody) Read(p []byte) (int, error) {
	if !h.once {
		h.once = true
		close(h.begun)
		<-h.open
	}
	return h.text.Read(p)
}

// TestBodiesTakeTurns holds that of two large bodies for a server beside another
// daemon the second is asked for when the first has come, and that a body whose
// caller leaves while it waits gives its turn up.
func TestBodiesTakeTurns(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 2)
	f.gateways[1].link = newLink(1 << 20)
	addr, runs := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		return say(conn, okAnswer+"ok")
	})
	f.place(4, map[int]string{1: addr})
	const size = 200 << 10 // 0.2 s of the link
	first, done := newHeldBody(size), make(chan answer, 2)
	go func() { done <- f.do(0, "POST", "/first", first) }()
	<-first.begun
	for f.gateways[1].link.ahead() == 0 {
		time.Sleep(time.Millisecond)
	}
	left := make(chan struct{})
	go func() {
		client := &http.Client{Timeout: 50 * time.Millisecond, Transport: &http.Transport{}}
		_, _ = client.Post(f.callers[0].URL+"/left", "text/plain", strings.NewReader(strings.Repeat("y", size)))
		close(left)
	}()
	<-left
	go func() { done <- f.do(0, "POST", "/second", strings.NewReader(strings.Repeat("z", size))) }()
	for f.gateways[1].link.ahead() < 2*size-(64<<10) {
		time.Sleep(time.Millisecond)
	}
	c.Check(runs.Load() <= 1, qt.IsTrue)
	close(first.open)
	c.Check((<-done).body, qt.Equals, "ok")
	c.Check((<-done).body, qt.Equals, "ok")
	for f.gateways[1].link.ahead() != 0 {
		time.Sleep(time.Millisecond)
	}
}
