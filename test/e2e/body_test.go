package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// drip yields a body slowly, and calls at once in its middle.
type drip struct {
	parts int
	at    int
	call  func()
}

func (d *drip) Read(p []byte) (int, error) {
	if d.parts == 0 {
		return 0, io.EOF
	}
	if d.parts--; d.parts == d.at {
		d.call()
	}
	time.Sleep(time.Millisecond)
	return len(p), nil
}

// TestKilledInMidUpload kills the backend server, then the daemon beside
// another, that an upload flows to: the caller sees the answer cut or learns
// that the outcome is unknown, and no other server gets a part of it. An upload
// that another server took is answered, and the next one is tried.
func TestKilledInMidUpload(t *testing.T) {
	c := qt.New(t)
	cl := callMesh(c)
	client := &http.Client{Transport: &http.Transport{}}
	upload := func(name string, at *backend, victim *process) string {
		for i := range 50 {
			id := fmt.Sprint(name, i)
			flowing := false
			body := &drip{parts: 400, at: 200, call: func() {
				if flowing = at.runs(c)[id] > 0; flowing {
					victim.kill()
				}
			}}
			s := sendCall(client, cl.nodes[:1], "POST", "/transfers/1", id, body)
			if flowing {
				c.Check(s.err != nil || s.outcome == result.Unknown, qt.IsTrue, qt.Commentf("%+v", s))
				return id
			}
			c.Assert(s.err, qt.IsNil)
			c.Check(s.outcome, qt.Equals, result.Run)
			c.Check(cl.survivorRuns()[id], qt.Equals, 1)
		}
		c.Fatalf("none of 50 uploads came to %s", at.addr)
		return ""
	}
	local := upload("local", cl.backends[0], cl.backends[0].process)
	c.Check(cl.survivorRuns()[local], qt.Equals, 0)
	cl.backends[2].process.kill()
	forwarded := upload("forwarded", cl.backends[1], cl.nodes[1].process)
	c.Check(cl.survivorRuns()[forwarded], qt.Equals, 1)
}

// streamed is the size of one body in TestStreaming.
const streamed = 1 << 30

// memoryGrowth is how much a daemon's peak memory may grow by one body each way.
const memoryGrowth = 32 << 10 // KiB

// peakMemory is the most resident memory of a process so far, in KiB.
func (p *process) peakMemory(c *qt.C) int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kib, err := strconv.Atoi(strings.Fields(rest)[0])
			c.Assert(err, qt.IsNil)
			return kib
		}
	}
	c.Fatal("no VmHWM")
	return 0
}

// TestStreaming sends 1 GiB through two daemons and back, with flat memory,
// while the configuration changes and the server and both daemons are stopped.
func TestStreaming(t *testing.T) {
	c := qt.New(t)
	raw, err := os.ReadFile("../../examples/ahnenbach.yaml")
	c.Assert(err, qt.IsNil)
	cl := newCluster(c, 3)
	b := cl.addBackend(cl.nodes[1], "tree", "tree\n")
	cl.addBackend(cl.nodes[2], "archive", "archive\n")
	text := string(raw)
	cl.eventually("manifest", func() error { return cl.apply(cl.manifest("one.yaml", text), "0") })
	cl.eventually("the upload's route", func() error { return get(cl.nodes[0], "/tree/1", "", "tree\n") })
	cl.settled(cl.nodes[0])
	before := []int{cl.nodes[0].process.peakMemory(c), cl.nodes[1].process.peakMemory(c)}
	grown := make([]int, len(before))
	reader, writer := io.Pipe()
	go func() {
		part := make([]byte, 1<<20)
		for i := range streamed / len(part) {
			if i == streamed/len(part)/4 {
				two := strings.Replace(text, "version: 1", "version: 2", 1)
				c.Check(cl.apply(cl.manifest("two.yaml", strings.Replace(two, "path: /chronicles", "path: /elsewhere", 1)), "30"), qt.IsNil)
				for _, p := range []*process{b.process, cl.nodes[0].process, cl.nodes[1].process} {
					c.Check(p.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
				}
			}
			_, _ = writer.Write(part)
		}
		time.Sleep(2 * time.Second) // past the daemons' delay of leaving
		for i, from := range before {
			grown[i] = cl.nodes[i].process.peakMemory(c) - from
		}
		_ = writer.Close()
	}()
	resp, err := http.Post("http://"+cl.nodes[0].caller+"/chronicles/1", "", reader)
	c.Assert(err, qt.IsNil)
	n, err := io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(streamed))
	for i, from := range before {
		c.Logf("peak memory of %s grew by %d KiB from %d", cl.nodes[i].name, grown[i], from)
		c.Check(grown[i] < memoryGrowth, qt.IsTrue)
		_ = cl.nodes[i].process.cmd.Wait() // both leave when the transfer is over
	}
}
