package gateway

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// answerFraming is an answer of a backend server in one framing.
type answerFraming struct {
	name, raw, body string
	// endsWithConnection is set if the body ends where the connection does: cut in the body by an ordinary
	// close, the answer is a shorter one.
	endsWithConnection bool
}

var answerFramings = []answerFraming{
	{name: "length", raw: "HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 11\n\nwhole body.", body: "whole body."},
	{name: "chunks", raw: "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n6\nwhole \n5\nbody.\n0\n\n", body: "whole body."},
	{name: "trailer", raw: "HTTP/1.1 200 OK\nTrailer: X-Sum\nTransfer-Encoding: chunked\n\nb\nwhole body.\n0\nX-Sum: 1\n\n", body: "whole body."},
	{name: "interim", raw: "HTTP/1.1 103 Early Hints\nLink: </a>\n\nHTTP/1.1 200 OK\nContent-Length: 11\n\nwhole body.", body: "whole body."},
	{name: "connection", raw: "HTTP/1.1 200 OK\nConnection: close\n\nwhole body.", body: "whole body.", endsWithConnection: true},
}

// cutWrite writes the first n bytes of text and closes the connection, by a reset if reset is set.
func cutWrite(conn net.Conn, text string, n int, reset bool) {
	_, _ = io.WriteString(conn, text[:n])
	closeConn(conn, reset)
}

func closeConn(conn net.Conn, reset bool) {
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// checkNotWhole checks that a caller does not take a cut answer for a whole one.
func checkNotWhole(c *qt.C, r callResult, framing *answerFraming, cut int) {
	if r.err == nil && r.status == http.StatusOK {
		c.Errorf("%s, cut at byte %d: the caller got 200 with the whole body %q", framing.name, cut, r.body)
	}
}

// TestServerCutsItsAnswer checks that an answer that a backend server cuts at any byte of its head, framing
// or body never reaches the caller as a whole one.
func TestServerCutsItsAnswer(t *testing.T) {
	for i := range answerFramings {
		framing := &answerFramings[i]
		raw := strings.ReplaceAll(framing.raw, "\n", "\r\n")
		t.Run(framing.name, func(t *testing.T) {
			forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
				var cut atomic.Int64
				var reset atomic.Bool
				addr, runs := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
					cutWrite(conn, raw, int(cut.Load()), reset.Load())
					return false
				})
				f.addServers(4, map[int]string{at: addr})
				head := strings.LastIndex(raw[:strings.LastIndex(raw, "whole")], "\r\n\r\n") + len("\r\n\r\n")
				for n := range len(raw) {
					for _, byReset := range []bool{false, true} {
						if framing.endsWithConnection && n >= head && !byReset {
							continue
						}
						cut.Store(int64(n))
						reset.Store(byReset)
						before := runs.Load()
						var r callResult
						for limit := time.Now().Add(10 * time.Second); runs.Load() == before && time.Now().Before(limit); {
							r = f.do(0, "GET", "/", nil)
							checkNotWhole(c, r, framing, n)
						}
						c.Assert(runs.Load() > before, qt.IsTrue, qt.Commentf("%s: no request reached the server for byte %d", framing.name, n))
					}
				}
				cut.Store(int64(len(raw)))
				reset.Store(false)
				var r callResult
				for limit := time.Now().Add(10 * time.Second); r.status != http.StatusOK && time.Now().Before(limit); {
					r = f.do(0, "GET", "/", nil)
				}
				c.Check(r.body, qt.Equals, framing.body)
				c.Check(r.err, qt.IsNil)
			})
		})
	}
}

// cuttingProxy passes connections on to a daemon and cuts the bytes that come back after a number of them.
type cuttingProxy struct {
	after atomic.Int64
	reset atomic.Bool
	cuts  atomic.Int64
}

func (p *cuttingProxy) serve(conn net.Conn, to string) {
	server, err := net.Dial("tcp", to)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer func() { _ = server.Close() }()
	go func() {
		_, _ = io.Copy(server, conn)
		_ = server.Close()
	}()
	left := p.after.Load()
	n, _ := io.Copy(conn, io.LimitReader(server, left))
	if n == left {
		p.cuts.Add(1)
	}
	closeConn(conn, p.reset.Load())
}

// listen returns the address at which the proxy accepts connections to a daemon.
func (p *cuttingProxy) listen(c *qt.C, to string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn, to)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()).String()
}

// TestDaemonIsCutOffInAnAnswer checks the same for the hop between two daemons: the bytes of the answer end at
// any byte, as if the daemon beside the server were killed.
func TestDaemonIsCutOffInAnAnswer(t *testing.T) {
	for i := range answerFramings {
		framing := &answerFramings[i]
		t.Run(framing.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 2)
			addr, _ := rawServer(c, func(_ int64, _ *http.Request, conn net.Conn) bool {
				writeRaw(conn, framing.raw)
				return !framing.endsWithConnection
			})
			f.addServers(4, map[int]string{1: addr})
			p := &cuttingProxy{}
			f.records[1].Node.Addr = p.listen(c, f.records[1].Node.Addr)
			f.dir.Store(directory.Build(f.snap, f.records))
			const most = 2000
			for n := range int64(most) {
				whole := false
				for _, byReset := range []bool{false, true} {
					p.after.Store(n)
					p.reset.Store(byReset)
					before := p.cuts.Load()
					for limit := time.Now().Add(10 * time.Second); p.cuts.Load() == before && !whole && time.Now().Before(limit); {
						r := f.do(0, "GET", "/", nil)
						whole = r.err == nil && r.status == http.StatusOK
						if whole {
							c.Assert(r.body, qt.Equals, framing.body, qt.Commentf("cut at byte %d", n))
						}
					}
					c.Assert(whole || p.cuts.Load() > before, qt.IsTrue, qt.Commentf("no answer was cut at byte %d", n))
				}
				if whole {
					c.Check(n > int64(len(framing.raw)), qt.IsTrue, qt.Commentf("the answer was whole after %d bytes", n))
					return
				}
			}
			c.Fatalf("no answer was whole within %d bytes", most)
		})
	}
}
