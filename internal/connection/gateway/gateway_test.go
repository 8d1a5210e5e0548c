package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
)

func TestNeverSentTwice(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, runs := rawServer(c, func(n int64, _ *http.Request, conn net.Conn) bool {
			if n == 1 {
				return writeRaw(conn, okAnswer+"ok")
			}
			_ = conn.(*net.TCPConn).SetLinger(0) // a crash resets the connection
			return false
		})
		f.addServers(4, map[int]string{at: addr})
		c.Assert(f.do(0, "GET", "/", nil).body, qt.Equals, "ok")
		a := f.do(0, "GET", "/", nil, "Idempotency-Key", "1")
		c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
		c.Assert(runs.Load(), qt.Equals, int64(2))
	})
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, _ := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
			writeRaw(conn, okAnswer+"ok") // and closes without having announced it
			return false
		})
		f.addServers(4, map[int]string{at: addr})
		for range 3 {
			a := f.do(0, "POST", "/", strings.NewReader("x"))
			c.Assert(a.body, qt.Equals, "ok", qt.Commentf("%+v", a))
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func TestCrossedAnswerReachesNobodyElse(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, _ := rawServer(c, func(n int64, r *http.Request, conn net.Conn) bool {
			own := r.URL.Path[1:]
			return writeRaw(conn, okAnswer+own) && writeRaw(conn, okAnswer+"xx")
		})
		f.addServers(4, map[int]string{at: addr})
		for _, own := range []string{"aa", "bb", "cc"} {
			c.Assert(f.do(0, "GET", "/"+own, nil).body, qt.Equals, own)
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func TestTimeoutCutsNoTransfer(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			if r.Method == "POST" {
				_, _ = fmt.Fprint(w, n)
				return
			}
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(w, &slowReader{remaining: 6})
		}))
		defer server.Close()
		f.addServers(4, map[int]string{at: server.Listener.Addr().String()})
		download := f.do(0, "GET", "/short", nil)
		c.Check(download.err, qt.IsNil)
		c.Check(download.body, qt.Equals, strings.Repeat("part", 6))
		upload := f.do(0, "POST", "/short", &slowReader{remaining: 6})
		c.Check(upload.body, qt.Equals, "24", qt.Commentf("%+v", upload))
	})
}

func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, _ := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
			writeRaw(conn, "HTTP/1.1 413 Too Large\nContent-Length: 3\n\nbig")
			time.Sleep(50 * time.Millisecond)
			return false
		})
		f.addServers(4, map[int]string{at: addr})
		a := f.do(0, "POST", "/", io.LimitReader(endlessReader{}, 8<<20))
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.status, qt.Equals, 413)
		c.Assert(a.body, qt.Equals, "big")
	})
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// TestCutAnswersAreSeenAsCut checks that truncated responses of every framing are seen as
// truncated by the caller.
func TestCutAnswersAreSeenAsCut(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
			switch r.URL.Path {
			case "/length":
				writeRaw(conn, "HTTP/1.1 200 OK\nContent-Length: 10\n\nshort")
			case "/chunked":
				writeRaw(conn, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nshort\n")
			case "/reset":
				writeRaw(conn, "HTTP/1.1 200 OK\n\nshort")
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		f.addServers(4, map[int]string{at: addr})
		for _, path := range []string{"/length", "/chunked", "/reset"} {
			c.Check(f.do(0, "GET", path, nil).err, qt.IsNotNil, qt.Commentf("%s", path))
		}
	})
}

// TestForms checks that unusual forms of messages, which proxies often break, pass
// through unchanged.
func TestForms(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		addr, _ := rawServer(c, func(_ int64, r *http.Request, conn net.Conn) bool {
			for name := range r.Header {
				if strings.HasPrefix(name, headerPrefix) && name != "Daisygate-Timeout" && name != "Daisygate-Depth" || name == "X-Hop" {
					return writeRaw(conn, okAnswer+"no")
				}
			}
			body, _ := io.ReadAll(r.Body)
			switch r.URL.Path {
			case "/head":
				return writeRaw(conn, "HTTP/1.1 200 OK\nContent-Length: 7\n\n")
			case "/204":
				return writeRaw(conn, "HTTP/1.1 204 No Content\n\n")
			case "/304":
				return writeRaw(conn, "HTTP/1.1 304 Not Modified\nEtag: x\n\n")
			case "/hints":
				return writeRaw(conn, "HTTP/1.1 103 Early Hints\nLink: x\n\n"+okAnswer+"ok")
			case "/trailer":
				return writeRaw(conn, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nTrailer: Sum\n\n2\n"+r.Trailer.Get("Up")+"\n0\nSum: 1\n\n")
			case "/lie":
				return writeRaw(conn, "HTTP/1.1 200 OK\nDaisygate-Result: 212\nDaisygate-Outcome: not-run\nDaisygate-Load: NaN\nContent-Length: 2\n\nok")
			case "/old":
				writeRaw(conn, "HTTP/1.0 200 OK\n\nwhole")
				return false
			}
			return writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body))
		})
		f.addServers(4, map[int]string{at: addr})
		c.Check(f.do(0, "HEAD", "/head", nil).resp.ContentLength, qt.Equals, int64(7))
		c.Check(f.do(0, "GET", "/204", nil).status, qt.Equals, 204)
		c.Check(f.do(0, "GET", "/304", nil).resp.Header.Get("Etag"), qt.Equals, "x")
		c.Check(f.do(0, "GET", "/hints", nil).body, qt.Equals, "ok")
		c.Check(f.do(0, "GET", "/old", nil).body, qt.Equals, "whole")
		c.Check(f.do(0, "GET", "/lie", nil).outcome, qt.Equals, "run")
		hidden := f.do(0, "POST", "/", strings.NewReader("ok"), "Daisygate-Server", "1.2.3.4:5", "Connection", "x-hop", "X-Hop", "1")
		c.Check(hidden.body, qt.Equals, "ok")
		large := strings.Repeat("abcdefgh", 1<<17)
		c.Check(f.do(0, "PUT", "/", strings.NewReader(large)).body == large, qt.IsTrue)
		req, err := http.NewRequest("POST", f.callers[0].URL+"/trailer", io.MultiReader(strings.NewReader("b")))
		c.Assert(err, qt.IsNil)
		req.Trailer = http.Header{"Up": {"ok"}}
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		raw, _ := io.ReadAll(resp.Body)
		c.Check(string(raw), qt.Equals, "ok")
		c.Check(resp.Trailer.Get("Sum"), qt.Equals, "1")
	})
}

// TestLeftCallersWork checks that the request of a caller that disconnects is cancelled,
// and keeps its slot until it has ended.
func TestLeftCallersWork(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		var running, peak atomic.Int64
		started, cancelled, finish := make(chan bool, 9), make(chan bool, 9), make(chan bool)
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if n := running.Add(1); n > peak.Load() {
				peak.Store(n)
			}
			defer running.Add(-1)
			started <- true
			if r.URL.Path == "/left" {
				<-r.Context().Done()
				cancelled <- true
				<-finish
			}
		}))
		defer server.Close()
		f.addServers(1, map[int]string{at: server.Listener.Addr().String()})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, "GET", f.callers[0].URL+"/left", nil)
		c.Assert(err, qt.IsNil)
		var wait sync.WaitGroup
		wait.Go(func() { _, _ = http.DefaultClient.Do(req) })
		<-started
		cancel()
		<-cancelled
		wait.Go(func() { c.Check(f.do(0, "GET", "/next", nil).status, qt.Equals, 200) })
		time.Sleep(50 * time.Millisecond)
		close(finish)
		wait.Wait()
		c.Check(peak.Load(), qt.Equals, int64(1))
	})
}

// countingListener counts the open connections of its server.
type countingListener struct {
	net.Listener
	open, peak atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.peak.Store(max(l.peak.Load(), l.open.Add(1)))
	}
	return &countedConn{Conn: conn, open: &l.open}, err
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// TestConnectionsNeverExceeded checks that the smaller of slots and connections is never
// exceeded, whatever a server announces and even if some callers disconnect.
func TestConnectionsNeverExceeded(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		counted := &countingListener{Listener: l}
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(5 * time.Millisecond) })}
		go func() { _ = server.Serve(counted) }()
		defer func() { _ = server.Close() }()
		f.addServer(at, presence.Server{Mesh: "m", Service: "s", Addr: l.Addr().String(), Slots: 1000, Connections: 3, State: presence.Serving})
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%4)*5*time.Millisecond+time.Millisecond)
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, "GET", f.callers[0].URL+"/again", nil)
				c.Check(err, qt.IsNil)
				if resp, err := http.DefaultClient.Do(req); err == nil {
					_ = resp.Body.Close()
				}
			})
		}
		wait.Wait()
		c.Check(f.do(0, "GET", "/", nil).status, qt.Equals, 200)
		peak := counted.peak.Load()
		c.Check(peak >= 1 && peak <= 3, qt.IsTrue, qt.Commentf("%d connections", peak))
	})
}

// TestRefusedBeforeTheBody checks that a streamed request refused by the first server
// reaches another server complete, and that a daemon that is shutting down accepts no new
// requests.
func TestRefusedBeforeTheBody(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 3)
	echo := func(_ int64, r *http.Request, conn net.Conn) bool {
		body, _ := io.ReadAll(r.Body)
		return writeRaw(conn, fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", len(body), body))
	}
	one, runsOne := rawServer(c, echo)
	two, _ := rawServer(c, echo)
	f.addServers(4, map[int]string{1: one, 2: two})
	f.gateways[1].BeginShutdown()
	large := bytes.Repeat([]byte("12345678"), 1<<14)
	for range 8 {
		a := f.do(0, "POST", "/", struct{ io.Reader }{bytes.NewReader(large)})
		c.Assert(a.body == string(large), qt.IsTrue, qt.Commentf("%d %s %.300s", a.status, a.outcome, a.body))
	}
	c.Assert(runsOne.Load(), qt.Equals, int64(0))
}

// TestLoopOfCallsEnds has a backend server call its own route with the headers that it
// received. The chain must end at the maximum depth, and no call may have more time left
// than the call that made it.
func TestLoopOfCallsEnds(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		var runs, last atomic.Int64
		last.Store(int64(time.Hour))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			left, ok := parseDurationHeader(r.Header, HeaderTimeout)
			c.Check(ok && int64(left) <= last.Swap(int64(left)), qt.IsTrue)
			a := f.do(0, "GET", "/again", nil, HeaderDepth, r.Header.Get(HeaderDepth), HeaderTimeout, r.Header.Get(HeaderTimeout))
			w.WriteHeader(a.status)
		}))
		defer server.Close()
		f.addServers(2*maxDepth, map[int]string{at: server.Listener.Addr().String()})
		c.Assert(f.do(0, "GET", "/again", nil).status, qt.Equals, 400)
		c.Assert(runs.Load(), qt.Equals, int64(maxDepth))
	})
}
