package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/testbackend"
)

// callResponse is the response that a caller got.
type callResponse struct {
	code, outcome, body, retryAfter string
	took                            time.Duration
	err                             error
}

// transfer sends a plot transfer, a non-repeatable request with an idempotency key.
func transfer(ctx context.Context, n *node, key string, header map[string]string) callResponse {
	return send(ctx, n, http.MethodPost, "/transfers", "transfer "+key, mergeHeaders(header, map[string]string{
		"Idempotency-Key": key, testbackend.HeaderID: key,
	}))
}

func mergeHeaders(a, b map[string]string) map[string]string {
	all := map[string]string{}
	for _, m := range []map[string]string{a, b} {
		for k, v := range m {
			all[k] = v
		}
	}
	return all
}

func send(ctx context.Context, n *node, method, path, body string, header map[string]string) callResponse {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		return callResponse{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return callResponse{
		code: resp.Header.Get(result.HeaderResult), outcome: resp.Header.Get(result.HeaderOutcome),
		body: string(raw), retryAfter: resp.Header.Get("Retry-After"), took: time.Since(start), err: err,
	}
}

func (t callResponse) is(c result.Code) bool { return t.err == nil && t.code == fmt.Sprint(int(c)) }

// must returns an error unless the response has the code c.
func (t callResponse) must(c result.Code) error {
	if !t.is(c) {
		return errors.Newf("want %s, got %+v", c, t)
	}
	return nil
}

// newArchiveCluster starts a fleet with the example manifest in force and a backend server of
// the service archive at each of the given nodes.
func newArchiveCluster(c *qt.C, size int, backends ...int) *cluster {
	raw, err := os.ReadFile("../../examples/ahnenbach.yaml")
	c.Assert(err, qt.IsNil)
	cl := newCluster(c, size)
	for _, index := range backends {
		cl.addBackend(cl.nodes[index], "archive", "archive\n")
	}
	first := cl.manifest("first.yaml", string(raw))
	cl.eventually("first manifest", func() error { return cl.apply(first, "30") })
	for _, n := range cl.nodes {
		cl.eventually("readiness of "+n.name, func() error { return get(n, "/records/1", "", "archive\n") })
	}
	return cl
}

// runsOf returns how often a request ran on all backend servers together.
func (cl *cluster) runsOf(id string) int {
	sum := 0
	for _, b := range cl.backends {
		sum += b.runs(cl.c)[id]
	}
	return sum
}

// TestResendGetsFirstAnswer sends a request again through other daemons, both while it runs and
// afterwards. It must run once, and every resend must get the first answer.
func TestResendGetsFirstAnswer(t *testing.T) {
	c := qt.New(t)
	cl := newArchiveCluster(c, 4, 0, 1)
	ctx := context.Background()
	slow := map[string]string{testbackend.HeaderDelay: "500ms"}
	results := make(chan callResponse, 2)
	for _, n := range []*node{cl.nodes[3], cl.nodes[1]} {
		go func() { results <- transfer(ctx, n, "race", slow) }()
	}
	a, b := <-results, <-results
	c.Assert(a.is(result.InProgress), qt.IsTrue, qt.Commentf("%+v", a))
	c.Assert(a.retryAfter, qt.Equals, "1")
	c.Assert(b.must(result.OK), qt.IsNil)
	for _, n := range cl.nodes {
		cl.eventually("first answer at "+n.name, func() error {
			again := transfer(ctx, n, "race", slow)
			if err := again.must(result.OK); err != nil {
				return err
			}
			c.Assert(again.body, qt.Equals, "transfer race")
			return nil
		})
	}
	other := send(ctx, cl.nodes[2], http.MethodPost, "/transfers", "transfer RACE", map[string]string{"Idempotency-Key": "race"})
	c.Assert(other.must(result.KeyReused), qt.IsNil)
	c.Assert(cl.runsOf("race"), qt.Equals, 1)

	// If the caller disconnects before the answer, a resend gets the answer.
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	c.Assert(transfer(short, cl.nodes[3], "left", slow).err, qt.IsNotNil)
	cl.eventually("answer for the disconnected caller", func() error { return transfer(ctx, cl.nodes[2], "left", slow).must(result.OK) })
	c.Assert(cl.runsOf("left"), qt.Equals, 1)

	// The answer stays available to the other daemons after a planned stop of the first one.
	c.Assert(transfer(ctx, cl.nodes[3], "stop", nil).must(result.OK), qt.IsNil)
	cl.nodes[3].process.terminate(c)
	c.Assert(transfer(ctx, cl.nodes[2], "stop", nil).must(result.OK), qt.IsNil)
	c.Assert(cl.runsOf("stop"), qt.Equals, 1)
}

// TestResendAfterDeathOfFirstDaemon kills the daemon that accepted a request while the request
// runs. Resends must get OwnerLost, and the request must not run again.
func TestResendAfterDeathOfFirstDaemon(t *testing.T) {
	c := qt.New(t)
	cl := newArchiveCluster(c, 4, 0, 1)
	ctx := context.Background()
	first := cl.nodes[3]
	lost := make(chan callResponse)
	go func() { lost <- transfer(ctx, first, "owner", map[string]string{testbackend.HeaderDelay: "2s"}) }()
	cl.eventually("start of the request", func() error {
		if cl.runsOf("owner") == 0 {
			return errors.New("not started")
		}
		return nil
	})
	first.process.kill()
	c.Assert((<-lost).err, qt.IsNotNil)
	cl.eventually("detection of the lost daemon", func() error {
		again := transfer(ctx, cl.nodes[0], "owner", map[string]string{testbackend.HeaderDelay: "2s"})
		if again.is(result.InProgress) {
			return errors.New("still reported as in progress")
		}
		c.Assert(again.must(result.OwnerLost), qt.IsNil)
		c.Assert(again.outcome, qt.Equals, "unknown")
		return nil
	})
	cl.start(first)
	cl.eventually("return of the first daemon", func() error { return get(first, "/records/1", "", "archive\n") })
	c.Assert(transfer(ctx, first, "owner", map[string]string{testbackend.HeaderDelay: "2s"}).must(result.OwnerLost), qt.IsNil)
	c.Assert(cl.runsOf("owner"), qt.Equals, 1)
}

// TestResendDuringSourceOutage kills two of three sources and then the third. New keyed requests
// must be refused without a run, and stored answers must be available after the outage.
func TestResendDuringSourceOutage(t *testing.T) {
	c := qt.New(t)
	cl := newArchiveCluster(c, 5, 3, 4)
	ctx := context.Background()
	c.Assert(transfer(ctx, cl.nodes[3], "before", nil).must(result.OK), qt.IsNil)
	time.Sleep(500 * time.Millisecond) // let the third source learn of the commit
	cl.nodes[0].process.kill()
	cl.nodes[1].process.kill()
	for i := range 10 {
		key := fmt.Sprintf("outage-%d", i%3)
		refused := transfer(ctx, cl.nodes[3+i%2], key, nil)
		c.Assert(refused.must(result.ClaimsUnavailable), qt.IsNil)
		c.Assert(refused.outcome, qt.Equals, "unknown")
		c.Assert(refused.retryAfter, qt.Equals, "2")
		c.Logf("refused after %s", refused.took)
	}
	again := transfer(ctx, cl.nodes[4], "before", nil)
	c.Assert(again.must(result.OK), qt.IsNil)
	c.Assert(again.body, qt.Equals, "transfer before")
	cl.nodes[2].process.kill()
	lost := transfer(ctx, cl.nodes[4], "before", nil)
	c.Assert(lost.must(result.ClaimsUnavailable), qt.IsNil)
	c.Assert(lost.outcome, qt.Equals, "unknown", qt.Commentf("the request ran before the outage"))
	c.Assert(get(cl.nodes[4], "/records/2", "", "archive\n"), qt.IsNil)
	for i := range 3 {
		c.Assert(cl.runsOf(fmt.Sprintf("outage-%d", i)), qt.Equals, 0)
	}
	cl.start(cl.nodes[0])
	cl.start(cl.nodes[1])
	cl.start(cl.nodes[2])
	cl.eventually("the first answer after the outage", func() error { return transfer(ctx, cl.nodes[4], "before", nil).must(result.OK) })
	for i := range 3 {
		cl.eventually("a run after the outage", func() error {
			return transfer(ctx, cl.nodes[3], fmt.Sprintf("outage-%d", i), nil).must(result.OK)
		})
		c.Assert(cl.runsOf(fmt.Sprintf("outage-%d", i)), qt.Equals, 1)
	}
	c.Assert(cl.runsOf("before"), qt.Equals, 1)
}

// TestKeyedLoadOverKills kills and restarts the sources and an ingress daemon one after another
// under keyed requests. Callers resend through any daemon until they get a final response. No
// request may run twice.
func TestKeyedLoadOverKills(t *testing.T) {
	c := qt.New(t)
	cl := newArchiveCluster(c, 5, 3, 4)
	done := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	finalResponses, otherCodes := map[string]callResponse{}, map[string]int{}
	var slowest time.Duration
	for worker := range 8 {
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				key := fmt.Sprintf("load-%d-%d", worker, i)
				begin := time.Now()
				for n := worker; ; n++ {
					r := transfer(context.Background(), cl.nodes[3+n%2], key, nil)
					if r.outcome == "run" || r.is(result.OwnerLost) || r.is(result.AnswerLost) {
						mu.Lock()
						finalResponses[key] = r
						slowest = max(slowest, time.Since(begin))
						mu.Unlock()
						break
					}
					mu.Lock()
					otherCodes[r.code]++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	for _, n := range append(cl.nodes[:3:3], cl.nodes[4]) {
		time.Sleep(200 * time.Millisecond)
		n.process.kill()
		time.Sleep(time.Second)
		cl.start(n)
		cl.eventually("the return of "+n.name, func() error { return get(n, "/records/1", "", "archive\n") })
	}
	close(done)
	wait.Wait()
	runs := map[string]int{}
	for _, b := range cl.backends {
		for id, count := range b.runs(c) {
			runs[id] += count
		}
	}
	unknown := 0
	for key, final := range finalResponses {
		c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, runs[key]))
		if final.outcome != "run" {
			unknown++
			continue
		}
		c.Check(runs[key], qt.Equals, 1, qt.Commentf("%s: %+v", key, final))
		c.Check(final.body, qt.Equals, "transfer "+key)
	}
	c.Logf("%d keys, %d with unknown outcome; slowest final response after %s; other responses by code %v", len(finalResponses), unknown, slowest, otherCodes)
}
