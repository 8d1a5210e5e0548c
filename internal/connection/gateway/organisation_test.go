package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"github.com/daisygate/daisygate/internal/version/directory"
	"github.com/daisygate/daisygate/internal/version/fleet"
	"github.com/daisygate/daisygate/internal/version/manifest"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// The API keys of the organisations in organisationFleet.
const (
	keyOfTownHall = "town-hall-key"
	keyOfParish   = "parish-key"
)

// useOrganisations replaces the configuration of a fleet with one that has organisations. The
// route /open needs no key.
func (f *testFleet) useOrganisations() {
	route := func(path string, keyless bool) manifest.Route {
		return manifest.Route{Name: path, Path: path, Service: "s", Timeout: 5 * time.Second, Priority: 5, Keyless: keyless}
	}
	m := &manifest.Manifest{
		Mesh: "m", Version: 2, Services: []manifest.Service{{Name: "s"}}, Routes: []manifest.Route{route("/", false), route("/open", true)},
		Organisations: []manifest.Organisation{
			{Name: "town-hall", KeyDigests: []string{manifest.DigestKey(keyOfTownHall).String()}, Priority: 1},
			{Name: "parish", KeyDigests: []string{manifest.DigestKey(keyOfParish).String()}, Priority: manifest.RoutePriority, Rate: 1},
		},
	}
	state, err := fleet.Empty().Accept(m)
	f.c.Assert(err, qt.IsNil)
	f.snap, err = snapshot.Compile(state)
	f.c.Assert(err, qt.IsNil)
	f.dir.Store(directory.Build(f.snap, f.records))
}

// echoOrganisation is a backend server that returns the organisation that it was told, and
// fails the test if it receives an API key.
func echoOrganisation(c *qt.C) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for _, header := range []http.Header{r.Header, r.Trailer} {
			for name, values := range header {
				if text := name + strings.Join(values, ","); strings.Contains(text, "-key") || name == headerAuthorization {
					c.Errorf("the server received %s %q", name, values)
				}
			}
		}
		if len(r.Trailer[HeaderOrganisation]) > 0 {
			c.Errorf("the server received the trailer %q", r.Trailer[HeaderOrganisation])
		}
		_, _ = fmt.Fprintf(w, "%s:%s", strings.Join(r.Header[HeaderOrganisation], ","), body)
	}))
	c.Cleanup(server.Close)
	return server
}

// TestKeySelectsOrganisation checks that a backend server is told the organisation that holds
// the caller's key and never receives a key, whatever the caller sends.
func TestKeySelectsOrganisation(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		f.addServers(4, map[int]string{at: echoOrganisation(c).Listener.Addr().String()})
		f.useOrganisations()
		for _, test := range []struct {
			path   string
			header []string
			status int
			body   string
		}{
			{"/", []string{"Authorization", "Bearer " + keyOfTownHall}, 200, "town-hall:"},
			{"/", []string{"Authorization", "bearer " + keyOfParish}, 200, "parish:"},
			{"/open", []string{"Authorization", "Bearer " + keyOfParish}, 200, "parish:"},
			{"/open", nil, 200, ":"},
			{"/open", []string{"Authorization", "Basic dXNlcg=="}, 200, ":"},
			{"/open", []string{HeaderOrganisation, "town-hall"}, 200, ":"},
			{"/open", []string{"Authorization", "Bearer unknown"}, 401, ""},
			{"/", nil, 401, ""},
			{"/", []string{"Authorization", "Bearer unknown"}, 401, ""},
			{"/", []string{"Authorization", "Basic " + keyOfParish}, 401, ""},
			{"/", []string{HeaderOrganisation, "town-hall"}, 401, ""},
			{"/", []string{"Authorization", "Bearer " + keyOfParish, HeaderOrganisation, "town-hall"}, 200, "parish:"},
			{"/", []string{"Authorization", "Bearer " + keyOfParish, "Connection", "Authorization, " + HeaderOrganisation}, 200, "parish:"},
		} {
			a := f.do(0, "GET", test.path, nil, test.header...)
			c.Check(a.status, qt.Equals, test.status, qt.Commentf("%v", test))
			if test.status == http.StatusOK {
				c.Check(a.body, qt.Equals, test.body, qt.Commentf("%v", test))
				continue
			}
			c.Check(a.outcome, qt.Equals, "not-run")
			c.Check(a.resp.Header.Get("WWW-Authenticate"), qt.Equals, "Bearer")
			c.Check(strings.Contains(a.body, "unknown"), qt.IsFalse, qt.Commentf("%s", a.body))
		}
	})
}

// TestKeyInTrailer checks that trailers, which arrive after the request was forwarded, reach
// the server neither with a key nor with an organisation.
func TestKeyInTrailer(t *testing.T) {
	forLocalAndForwarded(t, func(c *qt.C, f *testFleet, at int) {
		f.addServers(4, map[int]string{at: echoOrganisation(c).Listener.Addr().String()})
		f.useOrganisations()
		conn, err := net.Dial("tcp", f.callers[0].Listener.Addr().String())
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		writeRaw(conn, "POST / HTTP/1.1\nHost: x\nConnection: close\nAuthorization: Bearer "+keyOfParish+
			"\nTransfer-Encoding: chunked\nTrailer: Authorization, "+HeaderOrganisation+
			"\n\n4\nbody\n0\nAuthorization: Bearer "+keyOfParish+"\n"+HeaderOrganisation+": town-hall\n\n")
		answer, _ := io.ReadAll(conn)
		c.Check(strings.Contains(string(answer), "parish:body"), qt.IsTrue, qt.Commentf("%s", answer))
	})
}

// TestTwoKeys checks that a request with two keys is refused: the daemon must not choose.
func TestTwoKeys(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.addServers(4, map[int]string{0: echoOrganisation(c).Listener.Addr().String()})
	f.useOrganisations()
	r, err := http.NewRequest(http.MethodGet, f.callers[0].URL, nil)
	c.Assert(err, qt.IsNil)
	r.Header[headerAuthorization] = []string{"Bearer " + keyOfParish, "Bearer " + keyOfTownHall}
	resp, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	_ = resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
}

// TestKeyIsNotLogged checks that neither accepted nor unknown keys appear in the log.
func TestKeyIsNotLogged(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	var lines strings.Builder
	log := funcr.New(func(prefix, args string) { lines.WriteString(prefix + args + "\n") }, funcr.Options{Verbosity: 9})
	f.gateways[0].requestLog = newRequestLog(log, 0)
	f.useOrganisations()
	for _, key := range []string{keyOfTownHall, "unknown-key"} {
		f.do(0, "GET", "/", nil, "Authorization", "Bearer "+key)
	}
	c.Check(strings.Contains(lines.String(), "225 KeyUnknown"), qt.IsTrue, qt.Commentf("%s", lines.String()))
	c.Check(strings.Contains(lines.String(), "-key"), qt.IsFalse, qt.Commentf("%s", lines.String()))
}

// TestUnprovenKeys checks that requests with a key are refused while the daemon cannot prove
// that its keys are current, and that others are not.
func TestUnprovenKeys(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.addServers(4, map[int]string{0: echoOrganisation(c).Listener.Addr().String()})
	f.useOrganisations()
	var current atomic.Bool
	f.gateways[0].cfg.KeysCurrent = current.Load
	withKey := []string{"Authorization", "Bearer " + keyOfTownHall}
	refused := f.do(0, "GET", "/", nil, withKey...)
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(refused.outcome, qt.Equals, "not-run")
	c.Check(refused.resp.Header.Get("Retry-After"), qt.Equals, "1")
	c.Check(f.do(0, "GET", "/open", nil).status, qt.Equals, http.StatusOK)
	current.Store(true)
	c.Check(f.do(0, "GET", "/", nil, withKey...).status, qt.Equals, http.StatusOK)
}

// countingAllowances admits a fixed number of requests.
type countingAllowances struct{ left, refunded atomic.Int64 }

func (a *countingAllowances) Admit(string, *snapshot.Organisation) (time.Duration, bool) {
	return 1500 * time.Millisecond, a.left.Add(-1) >= 0
}

func (a *countingAllowances) Refund(string, *snapshot.Organisation) { a.refunded.Add(1) }

// TestAllowance checks that requests beyond the allowance are refused with the time when to
// retry, and that the allowance of a request that did not run is returned.
func TestAllowance(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	allowances := &countingAllowances{}
	f.gateways[0].cfg.Allowances = allowances
	f.useOrganisations()
	withKey := []string{"Authorization", "Bearer " + keyOfParish}
	allowances.left.Store(2)
	c.Check(f.do(0, "GET", "/", nil, withKey...).status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(allowances.refunded.Load(), qt.Equals, int64(1), qt.Commentf("no server: the request did not run"))
	f.addServers(4, map[int]string{0: echoOrganisation(c).Listener.Addr().String()})
	c.Check(f.do(0, "GET", "/", nil, withKey...).status, qt.Equals, http.StatusOK)
	refused := f.do(0, "GET", "/", nil, withKey...)
	c.Check(refused.status, qt.Equals, http.StatusTooManyRequests)
	c.Check(refused.outcome, qt.Equals, "not-run")
	c.Check(refused.resp.Header.Get("Retry-After"), qt.Equals, "2")
	c.Check(allowances.refunded.Load(), qt.Equals, int64(1))
}

// FuzzAPIKey checks that no form of the Authorization header yields a key that differs from what
// follows the scheme, and that several headers yield none that an organisation can have.
func FuzzAPIKey(f *testing.F) {
	for _, value := range []string{"", "Bearer", "Bearer ", "Bearer k", "bearer  k ", "Basic k", "Bearer a b", "Bearer k,k"} {
		f.Add(value, value)
	}
	f.Fuzz(func(t *testing.T, first, second string) {
		c := qt.New(t)
		key := APIKey(http.Header{headerAuthorization: {first}}, authorizationScheme)
		c.Check(strings.TrimSpace(key), qt.Equals, key)
		if key != "" {
			c.Check(strings.HasSuffix(strings.TrimSpace(first), key), qt.IsTrue)
		}
		both := APIKey(http.Header{headerAuthorization: {first, second}}, authorizationScheme)
		m := manifest.Manifest{Mesh: "m", Version: 1, Organisations: []manifest.Organisation{{Name: "o", Keys: []string{both}}}}
		c.Check(m.Validate(), qt.IsNotNil)
	})
}

// TestTicketOfOrganisation checks that the admission control at a backend server knows the organisation
// of a request and its weight; an organisation that is not in the version in force has none.
func TestTicketOfOrganisation(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, 1)
	f.useOrganisations()
	for name, weight := range map[string]float64{"parish": 1, "removed": 0, "": 0} {
		req := backendRequest{request: &Request{Mesh: "m", Organisation: name}}
		req.setWeight(f.snap)
		ticket := req.ticket(time.Now(), nil)
		c.Check(ticket.Organisation, qt.Equals, name)
		c.Check(ticket.Weight, qt.Equals, weight)
	}
}
