package operator_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/manifest"
)

const validManifest = "mesh: m\nversion: 1\nservices: []\nroutes: []\n"

// backend accepts everything; Submit blocks until release is closed.
type backend struct {
	operator.Backend
	release   chan struct{}
	submitted chan struct{}
}

func (b *backend) NodeStatus() operator.NodeStatus { return operator.NodeStatus{Node: "n1"} }

func (b *backend) Submit(context.Context, *manifest.Manifest) (source.Answer, error) {
	b.submitted <- struct{}{}
	<-b.release
	return source.Answer{Code: result.Accepted, Fleet: 1}, nil
}

func newBackend() *backend {
	return &backend{release: make(chan struct{}), submitted: make(chan struct{}, 100)}
}

type request struct{ method, path, token, from, body string }

func (r request) send(h http.Handler) *httptest.ResponseRecorder {
	req := httptest.NewRequest(r.method, r.path, strings.NewReader(r.body))
	if r.token != "" {
		req.Header.Set("Authorization", "Bearer "+r.token)
	}
	if r.from != "" {
		req.RemoteAddr = r.from
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func codeOf(c *qt.C, w *httptest.ResponseRecorder) result.Code {
	number, err := strconv.Atoi(w.Header().Get(result.HeaderResult))
	c.Assert(err, qt.IsNil, qt.Commentf("no result code: %d %s", w.Code, w.Body))
	code := result.Code(number)
	c.Assert(w.Code, qt.Equals, code.HTTPStatus())
	return code
}

// TestEveryAnswerHasACode sends valid and invalid requests to each path and checks the result
// codes.
func TestEveryAnswerHasACode(t *testing.T) {
	c := qt.New(t)
	b := newBackend()
	close(b.release)
	h := operator.Handler(operator.Config{Token: "secret", ManifestBytes: 100, SubmitTimeout: time.Second}, b)
	for _, row := range []struct {
		request
		want result.Code
	}{
		{request{http.MethodGet, "/v1/status", "secret", "", ""}, result.Answered},
		{request{http.MethodPost, "/v1/manifests", "secret", "", validManifest}, result.Accepted},
		{request{http.MethodGet, "/v1/status", "", "", ""}, result.Unauthorized},
		{request{http.MethodGet, "/v1/status", "", "127.0.0.1:9", ""}, result.Unauthorized},
		{request{http.MethodGet, "/v1/status", "secre", "", ""}, result.Unauthorized},
		{request{http.MethodGet, "/v1/status", "secrets", "", ""}, result.Unauthorized},
		{request{http.MethodGet, "/nowhere", "secret", "", ""}, result.UnknownResource},
		{request{http.MethodDelete, "/v1/status", "secret", "", ""}, result.WrongMethod},
		{request{http.MethodPost, "/v1/manifests", "secret", "", strings.Repeat("#", 101)}, result.InputTooLarge},
		{request{http.MethodPost, "/v1/manifests", "secret", "", "mesh: ["}, result.ManifestInvalid},
		{request{http.MethodGet, "/v1/history?limit=ten", "secret", "", ""}, result.BadRequest},
		{request{http.MethodGet, "/v1/history?limit=-1", "secret", "", ""}, result.BadRequest},
		{request{http.MethodPost, "/v1/drain", "secret", "", "{"}, result.BadRequest},
		{request{http.MethodPost, "/v1/drain", "secret", "", `{"nodes":"n1"}`}, result.BadRequest},
		{request{http.MethodPost, "/v1/drain", "secret", "", `{"node":"` + strings.Repeat("n", 5000) + `"}`}, result.InputTooLarge},
	} {
		c.Check(codeOf(c, row.send(h)), qt.Equals, row.want, qt.Commentf("%+v", row.request))
	}
}

// TestWithoutTokenOnlyLoopback guards against remote access to an API without a token.
func TestWithoutTokenOnlyLoopback(t *testing.T) {
	c := qt.New(t)
	h := operator.Handler(operator.Config{}, newBackend())
	c.Assert(codeOf(c, request{http.MethodGet, "/v1/status", "", "127.0.0.1:9", ""}.send(h)), qt.Equals, result.Answered)
	c.Assert(codeOf(c, request{http.MethodGet, "/v1/status", "", "192.0.2.1:9", ""}.send(h)), qt.Equals, result.Unauthorized)
}

// TestAdmission checks that a flood of requests is rejected immediately with a Retry-After
// header, and that requests without the token do not use up the rate limit.
func TestAdmission(t *testing.T) {
	c := qt.New(t)
	b := newBackend()
	h := operator.Handler(operator.Config{Token: "secret", ManifestBytes: 100, SubmitTimeout: time.Minute}, b)
	for range 1000 {
		c.Assert(codeOf(c, request{http.MethodGet, "/v1/status", "wrong", "", ""}.send(h)), qt.Equals, result.Unauthorized)
	}
	done := make(chan result.Code, 8)
	for range 8 {
		go func() {
			w := request{http.MethodPost, "/v1/manifests", "secret", "", validManifest}.send(h)
			number, _ := strconv.Atoi(w.Header().Get(result.HeaderResult))
			done <- result.Code(number)
		}()
		<-b.submitted
	}
	ninth := request{http.MethodPost, "/v1/manifests", "secret", "", validManifest}.send(h)
	c.Assert(codeOf(c, ninth), qt.Equals, result.TooManyRequests)
	c.Assert(ninth.Header().Get("Retry-After"), qt.Equals, "1")
	close(b.release)
	for range 8 {
		c.Assert(<-done, qt.Equals, result.Accepted)
	}
	refused := 0
	for range 1000 {
		if codeOf(c, request{http.MethodGet, "/v1/status", "secret", "", ""}.send(h)) == result.TooManyRequests {
			refused++
		}
	}
	c.Assert(refused > 0, qt.IsTrue)
}

// TestStalledBody guards against a request whose body never arrives and which occupies one of
// the places for manifests.
func TestStalledBody(t *testing.T) {
	c := qt.New(t)
	h := operator.Handler(operator.Config{ManifestBytes: 100, SubmitTimeout: time.Second, BodyTimeout: time.Millisecond}, newBackend())
	server := httptest.NewServer(h)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/manifests HTTP/1.1\r\nHost: n1\r\nContent-Length: 50\r\n\r\nmesh")
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	c.Assert(resp.Header.Get(result.HeaderResult), qt.Equals, strconv.Itoa(int(result.BadRequest)))
}

// TestListenerToken guards against token files and addresses that would leave the listener
// without authentication.
func TestListenerToken(t *testing.T) {
	c := qt.New(t)
	valid, empty := filepath.Join(c.TempDir(), "good"), filepath.Join(c.TempDir(), "empty")
	c.Assert(os.WriteFile(valid, []byte(" secret\n"), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(empty, []byte(" \n"), 0o600), qt.IsNil)
	token, err := operator.ListenerToken("192.0.2.1:7400", valid)
	c.Assert(err, qt.IsNil)
	c.Assert(token, qt.Equals, "secret")
	_, err = operator.ListenerToken("127.0.0.1:7400", "")
	c.Assert(err, qt.IsNil)
	_, err = operator.ListenerToken("127.0.0.1:7400", empty)
	c.Assert(err, qt.ErrorMatches, ".*is empty: want one line with the token")
	_, err = operator.ListenerToken("127.0.0.1:7400", valid+"x")
	c.Assert(err, qt.ErrorMatches, ".*no such file.*")
	_, err = operator.ListenerToken("0.0.0.0:7400", "")
	c.Assert(err, qt.ErrorMatches, ".*not a loopback address: set operator.token_file.*")
}
