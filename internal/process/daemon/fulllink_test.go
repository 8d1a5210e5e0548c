package daemon_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/settings"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

// uplink simulates the outgoing link of an instance. Bytes are sent in the order of the writes,
// at a fixed rate.
type uplink struct {
	// rate is in bytes per second.
	rate float64
	mu   sync.Mutex
	// free is when everything written so far has been sent.
	free time.Time
	sent atomic.Int64
}

// transmit waits until n more bytes have been sent.
func (u *uplink) transmit(n int) {
	u.mu.Lock()
	u.free = u.free.Add(time.Duration(float64(n) / u.rate * float64(time.Second)))
	if now := time.Now(); u.free.Before(now) {
		u.free = now
	}
	done := u.free
	u.mu.Unlock()
	time.Sleep(time.Until(done))
	u.sent.Add(int64(n))
}

// shapedListener is a listener whose connections use an uplink: for writes if the listener is
// on the instance of the uplink, else for reads, which carry the data that the instance sent.
type shapedListener struct {
	*net.TCPListener
	up *uplink
	// sends is set if the listener is on the instance of the uplink.
	sends bool
}

// Accept implements net.Listener.
func (l *shapedListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &shapedConn{Conn: conn, up: l.up, sends: l.sends}, nil
}

type shapedConn struct {
	net.Conn
	up    *uplink
	sends bool
}

// Write implements net.Conn.
func (c *shapedConn) Write(p []byte) (int, error) {
	if c.sends {
		c.up.transmit(len(p))
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *shapedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.sends {
		c.up.transmit(n)
	}
	return n, err
}

// fullLinkManifest has one route with large responses.
const fullLinkManifest = `
mesh: a
version: 1
services: [{name: s, allow: [127.0.0.0/8]}]
routes: [{name: r, path: /, service: s, repeatable: true, download: true, timeout: 2s, target: 600ms}]
`

// TestVersionsPassFullLinks checks that a version is in force at a daemon within two seconds
// while the 12.6 Mbit/s link of its instance is saturated with responses of 90 kB each. If the
// daemon does not know the link's rate (Limits.LinkBytes) and sends responses as they come, its
// messages about versions queue behind 3 s of responses: two of six versions were not in force
// after 30 s.
func TestVersionsPassFullLinks(t *testing.T) {
	const (
		rate      = 12.6e6 / 8
		answer    = 90_000
		callers   = 60
		inForceIn = 2 * time.Second
		changes   = 6
	)
	c := qt.New(t)
	up := &uplink{rate: rate}
	listen := func(sends bool) net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		return &shapedListener{TCPListener: l.(*net.TCPListener), up: up, sends: sends}
	}
	a := startDaemonAt(c, "a", listen(false), func(s *settings.Settings) {
		s.DataDir = c.TempDir()
		s.Source.Members = []settings.Member{{Node: "a", Peer: s.Listen.Peer}}
	})
	b := startDaemonAt(c, "b", listen(true), func(s *settings.Settings) {
		s.Seeds, s.Source = []string{a.set.Listen.Peer}, a.set.Source
		s.Limits.LinkBytes, s.Servers.HoldBytes = int64(rate), 1<<20
	})
	submit := func(version uint64) {
		m, err := manifest.Parse([]byte(fullLinkManifest))
		c.Assert(err, qt.IsNil)
		m.Version = version
		eventually(c, "accepted", func() bool {
			reply, err := a.ReplaceConfiguration(context.Background(), &source.Order{Manifest: *m})
			return err == nil && (reply.Code == result.Accepted || reply.Code == result.AlreadyAccepted)
		})
	}
	submit(1)
	eventually(c, "ready", func() bool { return a.NotReady() == "" && b.NotReady() == "" })
	body := strings.Repeat("x", answer)
	startBackend(c, b, a, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })

	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	defer wait.Wait()
	defer stop()
	for range callers {
		wait.Go(func() { download(ctx, "http://"+a.Addr("caller")+"/") })
	}
	time.Sleep(time.Second)
	start, sentBefore := time.Now(), up.sent.Load()
	for n := range uint64(changes) {
		submit(n + 2)
		accepted, version := time.Now(), a.NodeStatus().Source.Version
		for b.NodeStatus().Mesh.Version < version && time.Since(accepted) < waitTimeout {
			time.Sleep(5 * time.Millisecond)
		}
		c.Check(time.Since(accepted) < inForceIn, qt.IsTrue, qt.Commentf("version %d in force after %s", version, time.Since(accepted)))
		time.Sleep(300 * time.Millisecond)
	}
	utilization := float64(up.sent.Load()-sentBefore) / time.Since(start).Seconds() / rate
	c.Check(utilization > 0.6, qt.IsTrue, qt.Commentf("link utilization was only %.2f", utilization))
	t.Logf("link utilization was %.2f", utilization)
}

// download requests a large response repeatedly until ctx ends.
func download(ctx context.Context, url string) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
