package gateway

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

// slowScreener takes checkTime to find out whether a server crashed, and counts the runs that begin
// meanwhile.
type slowScreener struct {
	mu       sync.Mutex
	checking bool
	early    int
}

const checkTime = 100 * time.Millisecond

func (*slowScreener) NeedsBody(*Request) bool                { return false }
func (*slowScreener) Screen(*Request) Screening              { return Screening{} }
func (*slowScreener) ReportCrash(*Request, string) Screening { return Screening{} }

func (s *slowScreener) Begin(string, *Request) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.checking {
		s.early++
	}
	return s
}

func (*slowScreener) RecordBody([]byte) {}

func (s *slowScreener) End(status RunStatus) bool {
	if status != Crashed {
		return false
	}
	s.setChecking(true)
	time.Sleep(checkTime)
	s.setChecking(false)
	return true
}

func (s *slowScreener) setChecking(checking bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checking = checking
}

// TestQueueStartsOnACrashedServer guards against requests that wait for a slot and are started on a
// server that has just crashed, where they would be suspects of that crash.
func TestQueueStartsOnACrashedServer(t *testing.T) {
	for name, answer := range map[string]string{"before the answer": "", "in the answer": "HTTP/1.1 200 OK\nContent-Length: 200000\n\npart"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 1)
			screener := &slowScreener{}
			f.gateways[0].cfg.CrashScreener = screener
			addr, _ := rawServer(c, func(n int64, _ *http.Request, conn net.Conn) bool {
				if n > 1 {
					return writeRaw(conn, okAnswer+"ok")
				}
				time.Sleep(checkTime) // the others are waiting by then
				_ = writeRaw(conn, answer)
				return false
			})
			f.addServers(1, map[int]string{0: addr})
			var calls sync.WaitGroup
			for range 3 {
				calls.Go(func() { f.do(0, "GET", "/", nil) })
			}
			calls.Wait()
			c.Check(screener.early, qt.Equals, 0)
		})
	}
}

// TestSuspectTimesOutBesideOthers guards against a server that crashes under other requests because the
// slot of a suspect was free as soon as the server had answered it with a timeout.
func TestSuspectTimesOutBesideOthers(t *testing.T) {
	for name, test := range map[string]struct {
		isolated bool
		status   RunStatus
		held     bool
	}{
		"suspect times out":    {isolated: true, status: TimedOut, held: true},
		"suspect is abandoned": {isolated: true, status: Cancelled, held: true},
		"suspect ends":         {isolated: true, status: Finished},
		"other times out":      {status: TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			released := make(chan struct{})
			slot := &heldSlot{release: func() { close(released) }}
			slot.finished()
			begin := time.Now()
			slot.ended(test.isolated, test.status)
			slot.ended(test.isolated, test.status)
			<-released
			c.Check(time.Since(begin) >= quarantine.AbandonedWindow, qt.Equals, test.held)
		})
	}
}
