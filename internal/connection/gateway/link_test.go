package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
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
	for f.gateways[1].link.in.ahead() == 0 {
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
	for f.gateways[1].link.in.ahead() < 2*size-(64<<10) {
		time.Sleep(time.Millisecond)
	}
	c.Check(runs.Load() <= 1, qt.IsTrue)
	close(first.open)
	c.Check((<-done).body, qt.Equals, "ok")
	c.Check((<-done).body, qt.Equals, "ok")
	for f.gateways[1].link.in.ahead() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// downloads announces a server beside the second of two daemons, whose answers to
// /again are so long and all others short; the link beside it takes rate bytes a
// second.
func downloads(c *qt.C, rate float64, bytes int) *fleetOf {
	f := newFleet(c, 2)
	f.gateways[1].link = newLink(rate)
	f.gateways[1].held.most = 1 << 20
	addr, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
		body := "ok"
		if r.URL.Path == "/again" {
			body = strings.Repeat("x", bytes)
		}
		return say(conn, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body))
	})
	f.place(50, map[int]string{1: addr})
	return f
}

// TestAnswersLeaveInTurn saturates a thin link with large answers: they leave at the
// link's rate, hold no slot meanwhile, and a short answer passes them.
func TestAnswersLeaveInTurn(t *testing.T) {
	c := qt.New(t)
	const rate, bytes, many = 2 << 20, 200 << 10, 4 // about 0.1 s of the link each
	f := downloads(c, rate, bytes)
	done := make(chan answer, many)
	for range many {
		go func() { done <- f.do(0, "GET", "/again", nil) }()
	}
	out := f.gateways[1].link.out
	running := func() int {
		load, _ := f.gateways[1].LocalLoad(f.records[1].Servers[0].Addr)
		return load.Running
	}
	// All answers are here and the slots free, while most of them have yet to leave.
	for out.ahead() < (many-2)*bytes || running() > 0 {
		time.Sleep(time.Millisecond)
	}
	c.Check(f.do(0, "GET", "/first", nil).body, qt.Equals, "ok")
	c.Check(out.ahead() > 0, qt.IsTrue, qt.Commentf("the short answer waited for the long ones"))
	for range many {
		c.Check(len((<-done).body), qt.Equals, bytes)
	}
	c.Check(out.ahead(), qt.Equals, int64(0))
	c.Check(f.gateways[1].held.total.Load(), qt.Equals, int64(0))
}

// TestAnswerThatCannotLeaveIsRefused holds that a request whose answer would not be
// through the link in time is refused before it runs, and one that would be is not.
func TestAnswerThatCannotLeaveIsRefused(t *testing.T) {
	c := qt.New(t)
	l := newLink(1 << 20)
	l.lengths.Note("long", 100<<10)
	l.lengths.Note("short", 100)
	k := func(route string) *work {
		return &work{remote: true, route: route, useful: time.Now().Add(time.Second)}
	}
	for range 7 {
		_, refused := l.admitAnswer(k("long"), 50*time.Millisecond)
		c.Assert(refused, qt.IsNil)
	}
	_, refused := l.admitAnswer(k("long"), 50*time.Millisecond)
	c.Assert(refused, qt.IsNotNil)
	c.Check(refused.Code, qt.Equals, result.Overloaded)
	c.Check(refused.back > 0, qt.IsTrue)
	_, refused = l.admitAnswer(k("short"), 50*time.Millisecond)
	c.Check(refused, qt.IsNil)
	beside := k("long")
	beside.remote = false
	_, refused = l.admitAnswer(beside, 50*time.Millisecond)
	c.Check(refused, qt.IsNil)
}

// TestLeftReaderGivesItsTurn holds that an answer whose caller left while it waits
// or goes stops, and the next one has the link.
func TestLeftReaderGivesItsTurn(t *testing.T) {
	c := qt.New(t)
	f := downloads(c, 1<<20, 800<<10)
	client := &http.Client{Timeout: 100 * time.Millisecond, Transport: &http.Transport{}}
	for range 3 {
		if resp, err := client.Get(f.callers[0].URL + "/again"); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	}
	for f.gateways[1].link.out.ahead() != 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestStalledReaderLosesItsTurn holds that answers whose readers take nothing, such
// as daemons that are frozen, do not keep the link from those whose readers do.
func TestStalledReaderLosesItsTurn(t *testing.T) {
	c := qt.New(t)
	l := newLink(1 << 20)
	frozen := make(chan struct{})
	ended := make(chan error, answersAtATime)
	for range answersAtATime {
		stalled := l.depart(500 << 10)
		c.Assert(stalled.wait(t.Context(), 1000), qt.IsNil)
		go func() {
			defer stalled.end()
			ended <- stalled.send(1000, func() error { <-frozen; return nil })
		}()
	}
	next := l.depart(100 << 10)
	c.Assert(next.turn, qt.IsNotNil)
	c.Assert(next.wait(t.Context(), 1000), qt.IsNil)
	c.Assert(next.send(1000, func() error { return nil }), qt.IsNil)
	next.end()
	close(frozen)
	for range answersAtATime {
		c.Check(<-ended, qt.IsNil)
	}
	c.Check(l.out.ahead(), qt.Equals, int64(0))
}
