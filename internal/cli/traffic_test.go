package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/testbackend"
)

// cmdLosing implements "losing ADDR": it starts a proxy to an operator address
// that forwards the first request but drops its response, and sets $LOSING to
// the address of the proxy.
func cmdLosing(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	ts.Defer(func() { _ = listener.Close() })
	ts.Setenv("LOSING", listener.Addr().String())
	go func() {
		for dropResponse := true; ; dropResponse = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay(conn, args[0], dropResponse)
		}
	}()
}

// relay copies data between conn and a connection to addr. If dropResponse is
// true, it closes both when the first byte of the response arrives.
func relay(conn net.Conn, addr string, dropResponse bool) {
	defer func() { _ = conn.Close() }()
	upstream, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	go func() { _, _ = io.Copy(upstream, conn) }()
	if dropResponse {
		_, _ = upstream.Read(make([]byte, 1))
		return
	}
	_, _ = io.Copy(conn, upstream)
}

// cmdHold implements "hold ADDR PATH": it starts a POST request that runs until
// "hold" is called without arguments.
func cmdHold(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	if len(args) == 0 {
		s.cancelHold()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	ts.Defer(cancel)
	s.cancelHold = cancel
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+args[0]+args[1], nil)
	ts.Check(err)
	req.Header.Set(testbackend.HeaderDelay, "1h")
	before := s.running(ts)
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	s.waitFor(ts, func() error {
		if s.running(ts) == before {
			return errors.New("request has not started")
		}
		return nil
	})
}

// load sends requests to every daemon until stop is closed.
type load struct {
	stop   chan struct{}
	wait   sync.WaitGroup
	sent   atomic.Int64
	failed atomic.Pointer[string]
}

// cmdLoad implements "load PATH": it sends requests to every daemon,
// sequentially for each daemon, until "load" is called without arguments. That
// call fails unless every request was run exactly once.
func cmdLoad(ts *testscript.TestScript, _ bool, args []string) {
	s := sessionOf(ts)
	if len(args) == 0 {
		s.stopLoad(ts)
		return
	}
	s.load = &load{stop: make(chan struct{})}
	for _, n := range s.mesh.Nodes {
		s.load.wait.Go(func() { s.load.sendRequests("http://"+n.Caller+args[0], n.Name) })
	}
}

func (l *load) sendRequests(url, name string) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		if err := sendRequest(url, fmt.Sprintf("%s-%d", name, i)); err != nil {
			text := err.Error()
			l.failed.Store(&text)
		}
		l.sent.Add(1)
	}
}

func sendRequest(url, id string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set(testbackend.HeaderID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.Header.Get(result.HeaderOutcome) != result.Run.String() {
		err = errors.Newf("%s %s", resp.Status, body)
	}
	return err
}

func (s *session) stopLoad(ts *testscript.TestScript) {
	close(s.load.stop)
	s.load.wait.Wait()
	if text := s.load.failed.Load(); text != nil {
		ts.Fatalf("a request was not run: %s", *text)
	}
	runs := 0
	for _, b := range s.mesh.Servers {
		for id, n := range b.Runs() {
			runs++
			if n != 1 {
				ts.Fatalf("request %s ran %d times", id, n)
			}
		}
	}
	if int64(runs) != s.load.sent.Load() {
		ts.Fatalf("%d requests, %d ran", s.load.sent.Load(), runs)
	}
	ts.Logf("%d requests, each run once", runs)
}

func (s *session) running(ts *testscript.TestScript) int {
	sum := 0
	for _, n := range s.mesh.Nodes {
		status, err := s.client(0).DrainStatus(context.Background(), operator.DrainRequest{Node: n.Name})
		ts.Check(err)
		sum += status.Running
	}
	return sum
}
