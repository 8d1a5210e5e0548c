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
	"github.com/daisygate/daisygate/internal/standin"
)

// told is what a caller was told.
type told struct {
	code, outcome, body, retryAfter string
	took                            time.Duration
	err                             error
}

// transfer sends a plot transfer, which may not be repeated.
func transfer(ctx context.Context, n *node, key string, header map[string]string) told {
	return send(ctx, n, http.MethodPost, "/transfers", "transfer "+key, merged(header, map[string]string{
		"Idempotency-Key": key, standin.HeaderID: key,
	}))
}

func merged(a, b map[string]string) map[string]string {
	all := map[string]string{}
	for _, m := range []map[string]string{a, b} {
		for k, v := range m {
			all[k] = v
		}
	}
	return all
}

func send(ctx context.Context, n *node, method, path, body string, header map[string]string) told {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, strings.NewReader(body))
	if err != nil {
		return told{err: err}
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return told{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return told{
		code: resp.Header.Get(result.HeaderResult), outcome: resp.Header.Get(result.HeaderOutcome),
		body: string(raw), retryAfter: resp.Header.Get("Retry-After"), took: time.Since(start), err: err,
	}
}

func (t told) is(c result.Code) bool { return t.err == nil && t.code == fmt.Sprint(int(c)) }

// must returns an error unless the caller was told c.
func (t told) must(c result.Code) error {
	if !t.is(c) {
		return errors.Newf("want %s, was told %+v", c, t)
	}
	return nil
}

// newArchive starts a fleet with the example manifest in force.
func newArchive(c *qt.C, size int, backends ...int) *cluster {
	raw, err := os.ReadFile("../../examples/ahnenbach.yaml")
	c.Assert(err, qt.IsNil)
	cl := newCluster(c, size)
	for _, place := range backends {
		cl.addBackend(cl.nodes[place], "archive", "archive\n")
	}
	first := cl.manifest("first.yaml", string(raw))
	cl.eventually("first manifest", func() error { return cl.apply(first, "30") })
	for _, n := range cl.nodes {
		cl.eventually("readiness of "+n.name, func() error { return get(n, "/records/1", "", "archive\n") })
	}
	return cl
}

// runsOf is how often a request ran on all backend servers together.
func (cl *cluster) runsOf(id string) int {
	sum := 0
	for _, b := range cl.backends {
		sum += b.runs(cl.c)[id]
	}
	return sum
}

// TestResendGetsFirstAnswer resends through other daemons, at once and after.
func TestResendGetsFirstAnswer(t *testing.T) {
	c := qt.New(t)
	cl := newArchive(c, 4, 0, 1)
	ctx := context.Background()
	slow := map[string]string{standin.HeaderDelay: "500ms"}
	results := make(chan told, 2)
	for _, n := range []*node{cl.nodes[3], cl.nodes[1]} {
		go func() { results <- transfer(ctx, n, "race", slow) }()
	}
	a, b := <-results, <-results
	c.Assert(a.is(result.InProgress), qt.IsTrue, qt.Commentf("%+v", a))
	c.Assert(a.retryAfter, qt.Equals, "1")
	c.Assert(b.must(result.OK), qt.IsNil)
	for _, n := range cl.nodes {
		cl.eventually("the first answer at "+n.name, func() error {
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

	// The caller leaves before the answer: the resend gets it.
	short, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	c.Assert(transfer(short, cl.nodes[3], "left", slow).err, qt.IsNotNil)
	cl.eventually("the answer that was lost", func() error { return transfer(ctx, cl.nodes[2], "left", slow).must(result.OK) })
	c.Assert(cl.runsOf("left"), qt.Equals, 1)

	// A planned stop right after the answer leaves it to the others.
	c.Assert(transfer(ctx, cl.nodes[3], "stop", nil).must(result.OK), qt.IsNil)
	cl.nodes[3].process.terminate(c)
	c.Assert(transfer(ctx, cl.nodes[2], "stop", nil).must(result.OK), qt.IsNil)
	c.Assert(cl.runsOf("stop"), qt.Equals, 1)
}

// TestResendAfterDeathOfFirstDaemon kills the daemon that took the request in
// while it runs.
func TestResendAfterDeathOfFirstDaemon(t *testing.T) {
	c := qt.New(t)
	cl := newArchive(c, 4, 0, 1)
	ctx := context.Background()
	first := cl.nodes[3]
	lost := make(chan told)
	go func() { lost <- transfer(ctx, first, "owner", map[string]string{standin.HeaderDelay: "2s"}) }()
	cl.eventually("the run", func() error {
		if cl.runsOf("owner") == 0 {
			return errors.New("not begun")
		}
		return nil
	})
	first.process.kill()
	c.Assert((<-lost).err, qt.IsNotNil)
	cl.eventually("the loss to be known", func() error {
		again := transfer(ctx, cl.nodes[0], "owner", map[string]string{standin.HeaderDelay: "2s"})
		if again.is(result.InProgress) {
			return errors.New("still thought to run")
		}
		c.Assert(again.must(result.OwnerLost), qt.IsNil)
		c.Assert(again.outcome, qt.Equals, "unknown")
		return nil
	})
	cl.start(first)
	cl.eventually("the first daemon's return", func() error { return get(first, "/records/1", "", "archive\n") })
	c.Assert(transfer(ctx, first, "owner", map[string]string{standin.HeaderDelay: "2s"}).must(result.OwnerLost), qt.IsNil)
	c.Assert(cl.runsOf("owner"), qt.Equals, 1)
}

// TestResendDuringSourceOutage kills two of three sources, then all.
func TestResendDuringSourceOutage(t *testing.T) {
	c := qt.New(t)
	cl := newArchive(c, 5, 3, 4)
	ctx := context.Background()
	c.Assert(transfer(ctx, cl.nodes[3], "before", nil).must(result.OK), qt.IsNil)
	time.Sleep(500 * time.Millisecond) // the third source learns of the commit
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
	c.Assert(lost.outcome, qt.Equals, "unknown", qt.Commentf("it ran before the outage"))
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

// TestKeyedLoadOverKills kills and restarts the sources and a daemon that takes
// requests in, one after another, under keyed requests that their callers send
// again through any daemon until they know the end.
func TestKeyedLoadOverKills(t *testing.T) {
	c := qt.New(t)
	cl := newArchive(c, 5, 3, 4)
	done := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	ends, others := map[string]told{}, map[string]int{}
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
						ends[key] = r
						slowest = max(slowest, time.Since(begin))
						mu.Unlock()
						break
					}
					mu.Lock()
					others[r.code]++
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
	for key, end := range ends {
		c.Check(runs[key] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", key, runs[key]))
		if end.outcome != "run" {
			unknown++
			continue
		}
		c.Check(runs[key], qt.Equals, 1, qt.Commentf("%s: %+v", key, end))
		c.Check(end.body, qt.Equals, "transfer "+key)
	}
	c.Logf("%d keys, %d of them unknown in the end; slowest to its end %s; other answers by code %v", len(ends), unknown, slowest, others)
}
