package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// gated yields its text once it is opened.
type gated struct {
	begun chan struct{}
	open  chan struct{}
	text  io.Reader
	once  bool
}

func (g *gated) Read(p []byte) (int, error) {
	if !g.once {
		g.once = true
		close(g.begun)
		<-g.open
	}
	return g.text.Read(p)
}

// TestSlotIsFreeWhileABodyComes holds that a body on its way takes no slot of the
// backend server: another request runs meanwhile on the only one.
func TestSlotIsFreeWhileABodyComes(t *testing.T) {
	everyHop(t, func(c *qt.C, f *fleetOf, at int) {
		bodies := make(chan int, 2)
		addr, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
			n, _ := io.Copy(io.Discard, r.Body)
			bodies <- int(n)
			return say(conn, okAnswer+"ok")
		})
		f.place(1, map[int]string{at: addr})
		const size = 100 << 10
		body := &gated{begun: make(chan struct{}), open: make(chan struct{}), text: strings.NewReader(strings.Repeat("x", size))}
		done := make(chan answer, 1)
		go func() { done <- f.do(0, "POST", "/up", body) }()
		<-body.begun
		c.Check(f.do(0, "GET", "/again", nil).body, qt.Equals, "ok")
		c.Check(<-bodies, qt.Equals, 0)
		close(body.open)
		c.Check((<-done).body, qt.Equals, "ok")
		c.Check(<-bodies, qt.Equals, size)
	})
}
