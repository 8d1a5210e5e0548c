package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// fakeClaims grants every claim, or refuses every claim with a code.
type fakeClaims struct {
	code    result.Code
	settled []result.Code
}

func (f *fakeClaims) Claim(context.Context, *Request) ClaimVerdict {
	if f.code != result.OK {
		return ClaimVerdict{Refusal: result.Errorf(f.code, "here")}
	}
	return ClaimVerdict{}
}

func (f *fakeClaims) Settle(_ *Request, s Settlement) { f.settled = append(f.settled, s.Code) }

// refusingScreener refuses every request.
type refusingScreener struct{ CrashScreener }

func (refusingScreener) Screen(*Request) Screening {
	return Screening{Refusal: result.Errorf(result.Quarantined, "here")}
}

// TestNotRunIsTrueOfTheRequest checks that a request with a key is reported as "not-run"
// only if its key was looked up: otherwise an earlier submission may have run.
func TestNotRunIsTrueOfTheRequest(t *testing.T) {
	notReady := func(g *Gateway) { g.cfg.Ready = func() bool { return false } }
	quarantined := func(g *Gateway) { g.cfg.CrashScreener = refusingScreener{} }
	busy := func(g *Gateway) {
		for g.acquireShare("m") {
			continue
		}
	}
	const key = "Idempotency-Key: k\n"
	for name, v := range map[string]struct {
		header  string
		prepare func(g *Gateway)
		claim   result.Code
		code    result.Code
		want    string
	}{
		"no version":           {header: key, prepare: notReady, code: result.NotReady, want: "unknown"},
		"no version, no key":   {prepare: notReady, code: result.NotReady, want: "not-run"},
		"no share":             {header: key, prepare: busy, code: result.Overloaded, want: "unknown"},
		"quarantined":          {header: key, prepare: quarantined, code: result.Quarantined, want: "unknown"},
		"quarantined, no key":  {prepare: quarantined, code: result.Quarantined, want: "not-run"},
		"no sources":           {header: key, claim: result.ClaimsUnavailable, code: result.ClaimsUnavailable, want: "unknown"},
		"body cut":             {header: key + "Content-Length: 9\n", code: result.BadRequest, want: "unknown"},
		"malformed":            {header: key + "Daisygate-Depth: 1000\n", code: result.BadRequest, want: "not-run"},
		"looked up":            {header: key, claim: result.KeyReused, code: result.KeyReused, want: "not-run"},
		"granted and released": {header: key, code: result.NoBackendServer, want: "not-run"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, 1)
			g, claims := f.gateways[0], &fakeClaims{code: v.claim}
			g.cfg.Claims, g.started = claims, g.started.Add(-learningPeriod)
			if v.prepare != nil {
				v.prepare(g)
			}
			conn, err := net.Dial("tcp", f.callers[0].Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			writeRaw(conn, "POST /short HTTP/1.1\nHost: a\n"+v.header+"\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			c.Assert(err, qt.IsNil)
			var body struct{ Outcome string }
			c.Assert(json.NewDecoder(resp.Body).Decode(&body), qt.IsNil)
			c.Assert(resp.Header.Get(result.HeaderResult), qt.Equals, strconv.Itoa(int(v.code)))
			c.Check(resp.Header.Get(result.HeaderOutcome), qt.Equals, v.want)
			c.Check(body.Outcome, qt.Equals, v.want)
			c.Check(claims.settled, qt.HasLen, map[bool]int{true: 1}[v.code == result.NoBackendServer])
		})
	}
}

// TestUnreadBodyEndsConnection checks that a connection is closed after a request that was answered from
// the claims before its body was read: the rest of the body must not be taken for the next request.
func TestUnreadBodyEndsConnection(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.gateways[0].cfg.Claims = &fakeClaims{code: result.KeyReused}
	conn, err := net.Dial("tcp", f.callers[0].Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	smuggled := strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 1000)
	writeRaw(conn, "POST / HTTP/1.1\nHost: x\nIdempotency-Key: k\nContent-Length: "+strconv.Itoa(len(smuggled))+"\n\n")
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	c.Assert(err, qt.IsNil)
	c.Check(resp.Header.Get(result.HeaderResult), qt.Equals, strconv.Itoa(int(result.KeyReused)))
	c.Check(resp.Close, qt.IsTrue)
	c.Assert(resp.Body.Close(), qt.IsNil)
	_, _ = conn.Write([]byte(smuggled))
	rest, _ := io.ReadAll(reader)
	c.Check(strings.Contains(string(rest), "HTTP/1.1"), qt.IsFalse, qt.Commentf("%s", rest))
}
