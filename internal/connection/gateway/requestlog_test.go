package gateway

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
)

// record is the lines of one daemon's log.
type record struct {
	mu    sync.Mutex
	lines []string
}

func (r *record) logger() logr.Logger {
	return funcr.New(func(_, args string) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.lines = append(r.lines, args)
	}, funcr.Options{})
}

// about returns the lines of a message.
func (r *record) about(message string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []string
	for _, line := range r.lines {
		if strings.Contains(line, `"msg"="`+message+`"`) {
			found = append(found, line)
		}
	}
	return found
}

// record makes the lines of a gateway about requests readable.
func (f *fleetOf) record(gateway int) *record {
	r := &record{}
	f.gateways[gateway].requests = newRequestLog(r.logger(), 0)
	return r
}

// TestPathIsLogged holds that an attempt that was lost and the one that then
// brought the answer are told of by both daemons, with the request's id.
func TestPathIsLogged(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3)
	f.speak()
	addr, _ := rawServer(c, func(n int64, r *http.Request, conn net.Conn) bool { return n > 1 && echo(conn, r, "ok") })
	f.place(2, map[int]string{1: addr})
	second, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool { return echo(conn, r, "ok") })
	f.place(2, map[int]string{2: second})
	first, other := f.record(0), f.record(1)
	for i := range 50 {
		a := f.do(0, "GET", "/again", nil, "X-Id", "q")
		c.Assert(a.status, qt.Equals, http.StatusOK)
		if len(first.about(LogAttempt)) > 0 {
			break
		}
		c.Assert(i < 49, qt.IsTrue, qt.Commentf("no attempt went to the server that fails"))
	}
	c.Check(first.about(LogAttempt)[0], qt.Contains, `"id"="q"`)
	c.Check(first.about(LogAttempt)[0], qt.Contains, `"to"="n1"`)
	c.Check(first.about(LogAnswered)[0], qt.Contains, `"attempts"=2`)
	c.Assert(other.about(LogTurnedAway), qt.HasLen, 1)
	c.Check(other.about(LogTurnedAway)[0], qt.Contains, `"id"="q"`)
	c.Check(other.about(LogTurnedAway)[0], qt.Contains, `"result"="230 AnswerLost"`)
}

// TestRequestLinesAreBounded holds that a flood of refusals leaves no more lines
// than the settings allow, and that what was held back is counted.
func TestRequestLinesAreBounded(t *testing.T) {
	c := qt.New(t)
	r := &record{}
	l := newRequestLog(r.logger(), 5)
	begin := time.Now()
	for range 10_000 {
		if log, ok := l.line("some"); ok {
			log.Info(LogRefused)
		}
	}
	seconds := int(time.Since(begin)/time.Second) + 2
	c.Check(len(r.about(LogRefused)) <= 10*seconds, qt.IsTrue)
	l.sampler.Keep(begin.Add(time.Hour), "")
	c.Check(len(r.about(LogRefused)) > 0, qt.IsTrue)
}

// BenchmarkRequestLine measures a line that is held back: what a flood costs.
func BenchmarkRequestLine(b *testing.B) {
	l := newRequestLog(logr.Discard(), 1)
	for b.Loop() {
		if log, ok := l.line("9c41d07be2a35f68"); ok {
			log.Info(LogRefused)
		}
	}
}
