package presence_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
)

func fleetRecord(i int) presence.Record {
	addr := fmt.Sprintf("10.%d.%d.%d", i/60000, i/250%250, i%250+1)
	return presence.Record{
		Node:        view.Node{Name: fmt.Sprintf("ahnenbach-%05d", i), Addr: addr + ":7000", Region: "niederbayern", Domain: fmt.Sprintf("domain-%d", i%16)},
		Incarnation: 1_700_000_000_000 + uint64(i), Seq: 3,
		Servers: []presence.Server{{
			Mesh: "ahnenbach", Service: fmt.Sprintf("service-%d", i%400), Addr: addr + ":8080",
			Slots: 20, Connections: 110, State: presence.Serving, Since: 1_700_000_000_000,
		}},
	}
}

// gobRoundTrip encodes and decodes records as on the way to another daemon, and
// returns the encoded size.
func gobRoundTrip(tb testing.TB, in []presence.Record) (out []presence.Record, size int) {
	var buf bytes.Buffer
	qt.Assert(tb, gob.NewEncoder(&buf).Encode(in), qt.IsNil)
	size = buf.Len()
	qt.Assert(tb, gob.NewDecoder(&buf).Decode(&out), qt.IsNil)
	return out, size
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkTable measures the heap size of a table and the cost of one change.
//
//	go test -run '^$' -bench Table ./internal/process/presence
func BenchmarkTable(b *testing.B) {
	now := time.UnixMilli(1_700_000_000_000)
	for _, size := range []int{100, 1000, 5000, 10000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := heapBytes()
			core := presence.New(presence.Config{Self: view.Node{Name: "self"}, Incarnation: 1, Seed: 1})
			wireBytes := 0
			for i := 0; i < size; i += 50 {
				var batch []presence.Record
				for j := i; j < i+50; j++ {
					batch = append(batch, fleetRecord(j))
				}
				records, n := gobRoundTrip(b, batch)
				wireBytes += n
				core.Receive(now, "peer", presence.Message{Type: presence.MsgRecords, Repair: true, Records: records})
			}
			used := heapBytes() - before
			r := fleetRecord(0)
			b.ResetTimer()
			for range b.N {
				r.Seq++
				core.Receive(now, "peer", presence.Message{Type: presence.MsgRecords, Records: []presence.Record{r}})
			}
			b.StopTimer()
			b.ReportMetric(float64(used)/float64(size), "heap-B/record")
			b.ReportMetric(float64(wireBytes)/float64(size), "wire-B/record")
			runtime.KeepAlive(core)
		})
	}
}
