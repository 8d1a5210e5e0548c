package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// callersPerDaemon is the number of callers of each daemon, callerPause the mean time
	// between two requests of one caller.
	callersPerDaemon = 4
	callerPause      = 40 * time.Millisecond
	requestDeadline  = 2 * time.Second
	maxUploadBytes   = 64 << 10
)

// startCallers sends requests through every daemon until ctx ends.
func (cl *cluster) startCallers(ctx context.Context) {
	for i, p := range cl.daemons {
		for k := range callersPerDaemon {
			cl.wait.Go(func() { cl.runCaller(ctx, p, rand.New(rand.NewPCG(cl.o.Seed, uint64(100*i+k))), callerPause) })
		}
	}
}

// runCaller is the loop of one caller, with a mean pause between two requests. It keeps its connection until the daemon closes it.
func (cl *cluster) runCaller(ctx context.Context, p *process, random *rand.Rand, pause time.Duration) {
	client := newClient(1)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		s := cl.sendRandom(client, p, random, fmt.Sprintf("%s-%d-%d", p.name, random.Uint64(), n))
		record(cl.history, &cl.history.Sent, s)
		cl.sleep(ctx, time.Duration(random.Int64N(int64(2*pause))))
	}
}

// request describes a request to send.
type request struct {
	kind, path, method string
	// exact is set if the path is the same for each request; otherwise its ID follows the path.
	exact bool
	bytes int
	// deadline is the time for the answer; 0 means requestDeadline.
	deadline time.Duration
}

// newClient returns a client that keeps up to idle connections open. A request whose
// connection was closed goes out on a new connection: a retry by the transport would reuse
// the ID of a request that may have been executed.
func newClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idle}, Timeout: requestDeadline + 500*time.Millisecond}
}

func (cl *cluster) sendRandom(client *http.Client, p *process, random *rand.Rand, id string) SentRequest {
	kinds := []request{
		{kind: "safe", path: pathSafe, method: "GET"}, {kind: "safe", path: pathSafe, method: "GET"}, {kind: "unsafe", path: pathUnsafe, method: "POST", bytes: 100},
		{kind: "unsafe", path: pathMoving, method: "POST", bytes: 10}, {kind: "upload", path: pathUpload, method: "POST", bytes: 1 + random.IntN(maxUploadBytes)},
	}
	s := send(client, "http://"+cl.addr(p, portOutbound), kinds[random.IntN(len(kinds))], id)
	s.Daemon = p.name
	return s
}

// send sends a request through the daemon at base.
func send(client *http.Client, base string, k request, id string) SentRequest {
	body := strings.Repeat("b", k.bytes)
	path := k.path
	if !k.exact {
		path += id
	}
	s := SentRequest{ID: id, Method: k.method, Path: path, Kind: k.kind, Body: hashOf(body), At: time.Now(), Deadline: cmp.Or(k.deadline, requestDeadline)}
	// A plain reader has no GetBody, so net/http never sends the body a second time.
	req, err := http.NewRequest(k.method, base+s.Path, io.NopCloser(bytes.NewReader([]byte(body))))
	if err != nil {
		s.NotConnected, s.Ended = true, time.Now()
		return s
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = nil
	}
	req.Host = host
	req.Header.Set(headerID, id)
	if !strings.HasPrefix(k.path, pathCalled) {
		req.Header.Set("Authorization", "Token "+apiKey) // ignored in a mesh without organisations
	}
	req.Header.Set(headerDeadline, fmt.Sprint(s.Deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		s.NotConnected = errors.As(err, &op) && op.Op == "dial"
		s.Ended = time.Now()
		return s
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	s.Ended = time.Now()
	if err != nil {
		return s
	}
	s.Status, s.StatedBy = resp.StatusCode, resp.Header.Get(headerServes)
	s.Code, s.Outcome = resp.Header.Get(headerResult), resp.Header.Get(headerOutcome)
	for _, name := range []string{headerLimit, headerLeaving} {
		if resp.Header.Get(name) != "" {
			s.Stated = append(s.Stated, name)
		}
	}
	sig := resp.Header.Get(headerSignature)
	s.Signed = sig != ""
	s.Valid = s.Signed && sig == signature(id, resp.StatusCode, raw)
	return s
}
