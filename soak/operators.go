package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	changePause = 600 * time.Millisecond
	// maxChangeAttempts bounds how often a change without a definite answer is sent.
	maxChangeAttempts = 40
	readBackTimeout   = 10 * time.Second
	controlTimeout    = 2 * time.Second
)

// operatorState is the state shared by the operators: the newest version that was
// acknowledged or read.
type operatorState struct {
	mu     sync.Mutex
	newest uint64
}

// latest returns the newest version, on which the next change is based.
func (o *operatorState) latest() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// observe records a version that was acknowledged or read.
func (o *operatorState) observe(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, version)
}

func versionText(v uint64) string { return "r" + strconv.FormatUint(v, 10) }

// startOperators changes and reads the configuration until ctx ends. Usually one operator
// makes a change; at random, two make a change based on the same version at the same time.
func (cl *cluster) startOperators(ctx context.Context) {
	random := rand.New(rand.NewPCG(cl.o.Seed, 99))
	cl.wait.Go(func() {
		for ctx.Err() == nil {
			cl.sleep(ctx, time.Duration(random.Int64N(int64(2*changePause))))
			base := cl.operators.latest()
			service := []string{serviceA, serviceB}[random.IntN(2)]
			version := base + 1 + uint64(random.IntN(4))
			var both sync.WaitGroup
			both.Go(func() { cl.submitChange(ctx, version, base, service) })
			if random.IntN(5) == 0 {
				both.Go(func() { cl.submitChange(ctx, version+1, base, service) })
			}
			both.Wait()
			cl.readConfiguration(ctx, cl.randomSource())
		}
	})
}

// submitChange sends a change until it gets a definite answer.
func (cl *cluster) submitChange(ctx context.Context, version, base uint64, moving string) bool {
	c := configurationOf(version, moving, cl.o.sharesLoad())
	if cl.o.hasOrganisation() {
		c.Tenants = []map[string]any{{"name": "soak", "api_keys": []string{apiKey}}}
	}
	raw, _ := json.Marshal(c) // cannot fail: the value holds only plain values
	o := ConfigChange{Version: version, Base: base, Moving: moving, At: time.Now()}
	defer func() { record(cl.history, &cl.history.Changes, o) }()
	for range maxChangeAttempts {
		switch status := cl.sendChange(ctx, raw, base); {
		case status == http.StatusOK && o.Acked.IsZero():
			o.Acked = time.Now()
			cl.operators.observe(version)
			if rand.IntN(4) > 0 {
				return true
			} // in one case of four, send the acknowledged change again
		case status == http.StatusOK:
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.RefusedAfterAck = !o.Acked.IsZero() && cl.operators.latest() == version
			o.Refused = o.Acked.IsZero()
			return false
		}
		if ctx.Err() != nil {
			return !o.Acked.IsZero()
		}
		time.Sleep(150 * time.Millisecond)
	}
	return !o.Acked.IsZero()
}

func (cl *cluster) sendChange(ctx context.Context, raw []byte, base uint64) int {
	status, _ := cl.callSource(ctx, cl.randomSource(), callReplace, raw, map[string]string{headerBase: versionText(base)})
	return status
}

func (cl *cluster) randomSource() *process { return cl.sources[rand.IntN(len(cl.sources))] }

// callSource sends a control call to one source.
func (cl *cluster) callSource(ctx context.Context, source *process, call string, body []byte, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return post(ctx, cl.addr(source, portControl), call, body, header)
}

// post sends a control call to addr. The status is 0 without a complete answer.
func post(ctx context.Context, addr, call string, body []byte, header map[string]string) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+controlPath+call, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	for key, value := range header {
		req.Header.Set(key, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	raw, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, raw
}

// readConfiguration reads the configuration from a source and records its version.
func (cl *cluster) readConfiguration(ctx context.Context, source *process) bool {
	at := time.Now()
	status, raw := cl.callSource(ctx, source, callRead, nil, nil)
	var c configuration
	if status != http.StatusOK || json.Unmarshal(raw, &c) != nil {
		return false
	}
	version, err := strconv.ParseUint(strings.TrimPrefix(c.Version, "r"), 10, 64)
	if err != nil {
		return false
	}
	record(cl.history, &cl.history.Reads, ConfigRead{At: at, Source: source.name, Version: version})
	cl.operators.observe(version)
	return true
}

// readBack reads the configuration from each source at the end, with retries until
// readBackTimeout.
func (cl *cluster) readBack() {
	cl.history.End = time.Now()
	end := time.Now().Add(readBackTimeout)
	for _, s := range cl.sources {
		for !cl.readConfiguration(context.Background(), s) && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
