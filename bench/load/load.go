// Package load generates open-loop HTTP load: requests are due at times drawn independently of earlier
// answers, and each latency is measured from the time the request was due. This avoids Tene's
// coordinated omission.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/gateway"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// histogramMax is the largest latency that a histogram resolves, in microseconds.
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
	// BucketWidth is the width of the buckets of a Result's Timeline.
	BucketWidth = 100 * time.Millisecond
	// maxInFlight bounds the concurrent requests of a class. Requests due beyond it count as not sent.
	maxInFlight = 4096
	callTimeout = 10 * time.Second
	maxIdle     = 4096
)

// Class is one stream of identical requests.
type Class struct {
	Name string
	// URLs are used in turn.
	URLs []string
	// Header is sent with each request.
	Header http.Header
	// Keyed sends each request as a POST with its own idempotency key instead of a GET.
	Keyed bool
	// Rate is the mean number of requests a second. The intervals are exponentially distributed.
	Rate float64
}

// Bucket counts the answers to the requests that were due in one interval.
type Bucket struct {
	Served, Refused, Failed int
	// Slowest is the largest latency of a served request.
	Slowest time.Duration
}

// Result holds the results of the requests of a class.
type Result struct {
	Class string
	// Served requests were run and Refused requests were certainly not run. Whether Failed requests were
	// run is unknown. NotSent requests were due while too many requests were in progress.
	Served, Refused, Failed, NotSent int
	// Latency of served requests and RefusalLatency are measured from the due time, in microseconds.
	// Lateness is the delay from the due time until the request was sent.
	Latency, RefusalLatency, Lateness *hdrhistogram.Histogram
	Timeline                          []Bucket
	// FirstFailure describes the first failure, or is "" if there was none.
	FirstFailure string
	mu           sync.Mutex
}

// Due returns the number of requests that were due.
func (r *Result) Due() int { return r.Served + r.Refused + r.Failed + r.NotSent }

// NewClient returns a client that keeps its connections open.
func NewClient() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			MaxIdleConns: maxIdle, MaxIdleConnsPerHost: maxIdle, DisableCompression: true,
		},
	}
}

// Run sends all classes at the same time for d. It waits for the last answer and returns a result for
// each class, in order.
func Run(ctx context.Context, client *http.Client, d time.Duration, seed uint64, classes []Class) []*Result {
	results := make([]*Result, len(classes))
	var wait sync.WaitGroup
	for i, class := range classes {
		results[i] = newResult(class.Name, d)
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		wait.Go(func() { send(ctx, client, d, random, class, results[i]) })
	}
	wait.Wait()
	return results
}

func newResult(name string, d time.Duration) *Result {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &Result{
		Class: name, Latency: histogram(), RefusalLatency: histogram(), Lateness: histogram(),
		Timeline: make([]Bucket, d/BucketWidth+1),
	}
}

// send starts each request when it is due and waits for all answers.
func send(ctx context.Context, client *http.Client, d time.Duration, random *rand.Rand, class Class, r *Result) {
	var wait sync.WaitGroup
	defer wait.Wait()
	inFlight := make(chan struct{}, maxInFlight)
	begin := time.Now()
	due := time.Duration(0)
	for i := 0; ; i++ {
		due += time.Duration(random.ExpFloat64() / class.Rate * float64(time.Second))
		if due >= d || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Until(begin.Add(due)))
		select {
		case inFlight <- struct{}{}:
		default:
			r.NotSent++
			continue
		}
		request := class.request(i)
		at := due
		wait.Go(func() {
			call(ctx, client, request, begin, at, r)
			<-inFlight
		})
	}
}

// request is the request of one call.
type request struct {
	method, url string
	header      http.Header
}

func (c *Class) request(i int) request {
	r := request{method: http.MethodGet, url: c.URLs[i%len(c.URLs)], header: c.Header.Clone()}
	if c.Keyed {
		r.method = http.MethodPost
		r.header = http.Header{gateway.HeaderIdempotencyKey: {fmt.Sprintf("bench-%d-%d", time.Now().UnixNano(), i)}}
	}
	return r
}

func call(ctx context.Context, client *http.Client, request request, begin time.Time, due time.Duration, r *Result) {
	lateness := time.Since(begin) - due
	outcome, err := do(ctx, client, request)
	r.record(due, lateness, time.Since(begin)-due, outcome, err)
}

// do sends one request and reads the whole answer.
func do(ctx context.Context, client *http.Client, request request) (result.Outcome, error) {
	req, err := http.NewRequestWithContext(ctx, request.method, request.url, nil)
	if err != nil {
		return result.Unknown, errors.Wrap(err, "create request")
	}
	if request.header != nil {
		req.Header = request.header
	}
	resp, err := client.Do(req)
	if err != nil {
		return result.Unknown, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	if err := errors.CombineErrors(err, resp.Body.Close()); err != nil {
		return result.Unknown, err
	}
	if resp.StatusCode == http.StatusOK {
		return result.Run, nil
	}
	outcome := result.ParseOutcome(resp.Header.Get(result.HeaderOutcome))
	if outcome == result.NotRun {
		return outcome, nil
	}
	return result.Unknown, errors.Newf("%s", resp.Status)
}

func (r *Result) record(due, lateness, latency time.Duration, outcome result.Outcome, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bucket := &r.Timeline[due/BucketWidth]
	_ = r.Lateness.RecordValue(micros(lateness))
	switch outcome {
	case result.Run:
		r.Served++
		bucket.Served++
		bucket.Slowest = max(bucket.Slowest, latency)
		_ = r.Latency.RecordValue(micros(latency))
	case result.NotRun:
		r.Refused++
		bucket.Refused++
		_ = r.RefusalLatency.RecordValue(micros(latency))
	default:
		r.Failed++
		bucket.Failed++
		if r.FirstFailure == "" && err != nil {
			r.FirstFailure = err.Error()
		}
	}
}

func micros(d time.Duration) int64 {
	return min(max(int64(d/time.Microsecond), 1), histogramMax)
}

// Probe sends one request and returns an error unless it was served.
func Probe(ctx context.Context, client *http.Client, url string) error {
	outcome, err := do(ctx, client, request{method: http.MethodGet, url: url})
	if err == nil && outcome != result.Run {
		err = errors.Newf("%s answered %s", url, outcome)
	}
	return err
}
