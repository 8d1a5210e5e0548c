package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
)

// BenchmarkCall measures sequential calls of one caller, all in one process: directly to
// the backend server, through the daemon on its instance, and through two daemons. The
// allocations include those of the caller, the daemons and the server.
func BenchmarkCall(b *testing.B) {
	c := qt.New(b)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "answer")
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	local, forwarded := newFleet(c, 2), newFleet(c, 2)
	local.addServers(20, map[int]string{0: addr})
	forwarded.addServers(20, map[int]string{1: addr})
	for _, v := range []struct{ name, url string }{
		{"direct", server.URL}, {"local", local.callers[0].URL}, {"forwarded", forwarded.callers[0].URL},
	} {
		b.Run(v.name, func(b *testing.B) { benchCall(b, v.url+"/again/1") })
	}
}

func benchCall(b *testing.B, url string) {
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	b.ReportAllocs()
	for b.Loop() {
		begin := time.Now()
		resp, err := http.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		_ = h.RecordValue(int64(time.Since(begin)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-µs")
}
