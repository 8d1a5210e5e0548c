package mesh_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"github.com/daisygate/daisygate/internal/connection/operator"
	"github.com/daisygate/daisygate/internal/process/dev"
)

const (
	settleTime  = 5 * time.Second
	measureTime = 10 * time.Second
)

// BenchmarkIdle measures the cost of idle daemons and all of their control traffic over real
// sockets. Traffic is measured only for daemons that are not sources.
//
//	go test -run '^$' -bench Idle -benchtime 1x ./internal/process/mesh
func BenchmarkIdle(b *testing.B) {
	for _, size := range []int{12, 50} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			c := qt.New(b)
			m, err := dev.Start(dev.Config{Nodes: size, DataDir: b.TempDir(), Log: logr.Discard()})
			c.Assert(err, qt.IsNil)
			defer func() { c.Assert(m.Stop(), qt.IsNil) }()
			for _, n := range m.Nodes {
				for status(c, n).Mesh.Nodes != size {
					time.Sleep(50 * time.Millisecond)
				}
			}
			time.Sleep(settleTime)
			before, cpu := traffic(c, m), processTime(c)
			time.Sleep(measureTime)
			after, used := traffic(c, m), processTime(c)-cpu
			var sent, received []float64
			for i := range after {
				sent = append(sent, float64(after[i].ControlSent-before[i].ControlSent)/measureTime.Seconds())
				received = append(received, float64(after[i].ControlReceived-before[i].ControlReceived)/measureTime.Seconds())
			}
			slices.Sort(sent)
			slices.Sort(received)
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(sent[len(sent)/2], "sent-B/s")
			b.ReportMetric(sent[len(sent)-1], "max-sent-B/s")
			b.ReportMetric(received[len(received)/2], "received-B/s")
			b.ReportMetric(100*used.Seconds()/measureTime.Seconds()/float64(size), "%core")
			b.ReportMetric(float64(memory.HeapAlloc)/float64(size), "heap-B")
		})
	}
}

// sources is the number of sources, which are the first nodes of a dev mesh.
const sources = 5

// traffic returns the status of the daemons that are not sources.
func traffic(c *qt.C, m *dev.Mesh) []operator.NodeStatus {
	var all []operator.NodeStatus
	for _, n := range m.Nodes[sources:] {
		all = append(all, status(c, n))
	}
	return all
}

func status(c *qt.C, n dev.Node) operator.NodeStatus {
	var s operator.NodeStatus
	resp, err := http.Get("http://" + n.Operator + operator.StatusPath)
	c.Assert(err, qt.IsNil)
	defer func() { _ = resp.Body.Close() }()
	c.Assert(json.NewDecoder(resp.Body).Decode(&s), qt.IsNil)
	return s
}

// processTime returns the CPU time of this process.
func processTime(c *qt.C) time.Duration {
	var usage syscall.Rusage
	c.Assert(syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
