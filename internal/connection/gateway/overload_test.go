package gateway

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/result"
)

// BenchmarkOverload offers a server twice what it can run, open loop, a tenth
// of it in the best class, and measures what gets through.
func BenchmarkOverload(b *testing.B) {
	const (
		slots, took  = 9, 20 * time.Millisecond
		capacity     = slots * int(time.Second/took)
		spell        = 3 * time.Second
		shareOfFirst = 10
	)
	for _, v := range []struct {
		name  string
		times int
	}{{"half", 0}, {"twice", 2}} {
		b.Run(v.name, func(b *testing.B) {
			c := qt.New(b)
			f := newFleet(c, 2)
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(took) }))
			defer server.Close()
			f.place(slots, map[int]string{1: server.Listener.Addr().String()})
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 10}}
			rate := capacity / 2
			if v.times > 0 {
				rate = capacity * v.times
			}
			for b.Loop() {
				var mu sync.Mutex
				var good atomic.Int64
				first, rest, refused := hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3), hdrhistogram.New(1, 1e9, 3)
				var wait sync.WaitGroup
				begin := time.Now()
				for i := range rate * int(spell/time.Second) {
					due := begin.Add(time.Duration(i) * time.Second / time.Duration(rate))
					time.Sleep(time.Until(due))
					wait.Go(func() {
						path, into := "/again", rest
						if i%shareOfFirst == 0 {
							path, into = "/first", first
						}
						resp, err := client.Get(f.callers[0].URL + path)
						if err != nil {
							return
						}
						_ = resp.Body.Close()
						if resp.Header.Get(result.HeaderOutcome) == "run" {
							good.Add(1)
						} else {
							into = refused
						}
						mu.Lock()
						defer mu.Unlock()
						_ = into.RecordValue(time.Since(due).Microseconds())
					})
				}
				wait.Wait()
				b.ReportMetric(100*float64(good.Load())/float64(capacity)/spell.Seconds(), "%goodput")
				b.ReportMetric(float64(first.ValueAtQuantile(99))/1e3, "first-p99-ms")
				b.ReportMetric(float64(rest.ValueAtQuantile(99))/1e3, "rest-p99-ms")
				b.ReportMetric(float64(refused.ValueAtQuantile(99))/1e3, "refused-p99-ms")
				b.ReportMetric(float64(refused.ValueAtQuantile(50))/1e3, "refused-p50-ms")
			}
		})
	}
}
