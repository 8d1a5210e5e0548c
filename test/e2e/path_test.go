package e2e

import (
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

// TestWholePath applies a manifest through three sources until all daemons serve it, and moves a
// route to another service under load.
func TestWholePath(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("../../examples/ahnenbach.yaml")
	c.Assert(err, qt.IsNil)
	begin := time.Now()
	cl := newCluster(c, 3)
	cl.addBackend(cl.nodes[0], "archive", "archive\n")
	cl.addBackend(cl.nodes[1], "archive", "archive\n")
	cl.addBackend(cl.nodes[2], "tree", "tree\n")
	first := cl.manifest("first.yaml", string(raw))
	cl.eventually("first manifest", func() error { return cl.apply(first, "0") })
	c.Logf("first manifest accepted %s after the start of the processes", time.Since(begin))
	for _, n := range cl.nodes {
		cl.eventually("readiness of "+n.name, func() error { return get(n, "/records/1", "", "archive\n") })
		cl.eventually("tree at "+n.name, func() error { return get(n, "/tree/1", "", "tree\n") })
	}
	c.Logf("every daemon answered %s after the start", time.Since(begin))
	before := cl.controlBytes()
	load := cl.startLoad("/records/")
	time.Sleep(300 * time.Millisecond)
	moved := strings.Replace(string(raw), "version: 1", "version: 2", 1)
	moved = strings.Replace(moved, "methods: [GET, HEAD]\n    service: archive", "methods: [GET, HEAD]\n    service: tree", 1)
	at := time.Now()
	out, code := cl.run("apply", "-f", cl.manifest("second.yaml", moved), "--operator", cl.nodes[0].operator, "--wait", "30s")
	c.Assert(code, qt.Equals, 0, qt.Commentf("%s", out))
	c.Logf("second manifest in force everywhere after %s (including the start of the command)\n%s", time.Since(at), out)
	c.Logf("control bytes of the fleet for the second manifest, including heartbeats: %d", cl.controlBytes()-before)
	for _, n := range cl.nodes {
		c.Assert(get(n, "/records/1", "", "tree\n"), qt.IsNil)
	}
	time.Sleep(300 * time.Millisecond)
	sent := load.stop()
	c.Assert(load.errors, qt.HasLen, 0)
	cl.assertRunOnce(sent)
	c.Logf("%d requests during the move, none lost, none run twice", len(sent))
}

func (cl *cluster) apply(path, wait string) error {
	out, code := cl.run("apply", "-f", path, "--operator", cl.nodes[0].operator, "--wait", wait+"s")
	if code != 0 {
		return errors.Newf("exit %d: %s", code, out)
	}
	return nil
}

func get(n *node, path, id, want string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.caller+path, nil)
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
	if err != nil {
		return err
	}
	if resp.Header.Get(result.HeaderOutcome) != "run" {
		return errors.Newf("%s %s", resp.Status, body)
	}
	if want != "" && string(body) != want {
		return errors.Newf("answer %q, want %q", body, want)
	}
	return nil
}

func (cl *cluster) controlBytes() uint64 {
	var sum uint64
	for _, n := range cl.nodes {
		s, err := cl.status(n)
		cl.c.Assert(err, qt.IsNil)
		sum += s.ControlSent
	}
	return sum
}

// load sends requests to every daemon until stop is called.
type load struct {
	done   chan struct{}
	wait   sync.WaitGroup
	mu     sync.Mutex
	sent   []string
	errors []error
}

func (cl *cluster) startLoad(path string) *load {
	l := &load{done: make(chan struct{})}
	for i, n := range cl.nodes {
		for worker := range 4 {
			l.wait.Go(func() { l.work(n, path, fmt.Sprintf("%d-%d", i, worker)) })
		}
	}
	return l
}

func (l *load) work(n *node, path, name string) {
	for i := 0; ; i++ {
		select {
		case <-l.done:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, i)
		err := get(n, path+id, id, "")
		l.mu.Lock()
		l.sent = append(l.sent, id)
		if err != nil {
			l.errors = append(l.errors, err)
		}
		l.mu.Unlock()
	}
}

func (l *load) stop() []string {
	close(l.done)
	l.wait.Wait()
	return l.sent
}

func (cl *cluster) assertRunOnce(ids []string) {
	runs := map[string]int{}
	for _, b := range cl.backends {
		for id, n := range b.runs(cl.c) {
			runs[id] += n
		}
	}
	for _, id := range ids {
		cl.c.Assert(runs[id], qt.Equals, 1, qt.Commentf("request %s", id))
	}
}
