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
	orderPause = 600 * time.Millisecond
	// orderTries is how often an order without a clear answer is sent again.
	orderTries = 40
	readBack   = 10 * time.Second
	// controlTimeout bounds one call to a source.
	controlTimeout = 2 * time.Second
)

// operators is what the operators share: the newest version acknowledged.
type operators struct {
	mu     sync.Mutex
	newest uint64
}

// base is the version to build on.
func (o *operators) base() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.newest
}

// learned takes in a version that was acknowledged or read.
func (o *operators) learned(version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.newest = max(o.newest, version)
}

func versionText(v uint64) string { return "r" + strconv.FormatUint(v, 10) }

// startOperators changes and reads the configuration until ctx ends: one operator
// at a time, now and then two that build on the same version.
func (w *world) startOperators(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.o.Seed, 99))
	w.wait.Go(func() {
		for ctx.Err() == nil {
			w.sleep(ctx, time.Duration(random.Int64N(int64(2*orderPause))))
			base := w.operators.base()
			service := []string{serviceA, serviceB}[random.IntN(2)]
			version := base + 1 + uint64(random.IntN(4))
			var both sync.WaitGroup
			both.Go(func() { w.order(ctx, version, base, service) })
			if random.IntN(5) == 0 {
				both.Go(func() { w.order(ctx, version+1, base, service) })
			}
			both.Wait()
			w.learn(ctx, w.anySource())
		}
	})
}

// order sends a change until it has a clear answer.
func (w *world) order(ctx context.Context, version, base uint64, moving string) bool {
	raw, _ := json.Marshal(configurationOf(version, moving)) // plain values always encode
	o := Order{Version: version, Base: base, Moving: moving, At: time.Now()}
	defer func() { note(w.history, &w.history.Orders, o) }()
	for range orderTries {
		switch status := w.replace(ctx, raw, base); {
		case status == http.StatusOK && o.Acked.IsZero():
			o.Acked = time.Now()
			w.operators.learned(version)
			if rand.IntN(4) > 0 {
				return true
			} // the others send what was acknowledged once more
		case status == http.StatusOK:
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			o.AfterAck = !o.Acked.IsZero() && w.operators.base() == version
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

func (w *world) replace(ctx context.Context, raw []byte, base uint64) int {
	status, _ := w.control(ctx, w.anySource(), callReplace, raw, map[string]string{headerBase: versionText(base)})
	return status
}

// anySource is a source drawn at random.
func (w *world) anySource() *process { return w.sources[rand.IntN(len(w.sources))] }

// control calls one source.
func (w *world) control(ctx context.Context, at *process, call string, body []byte, header map[string]string) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return post(ctx, w.addr(at, portControl), call, body, header)
}

// post sends a call to a control address. Without a whole answer the status is 0.
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

// learn reads the configuration at a source and takes its version as the one to build on.
func (w *world) learn(ctx context.Context, from *process) bool {
	at := time.Now()
	status, raw := w.control(ctx, from, callRead, nil, nil)
	var c configuration
	if status != http.StatusOK || json.Unmarshal(raw, &c) != nil {
		return false
	}
	version, err := strconv.ParseUint(strings.TrimPrefix(c.Version, "r"), 10, 64)
	if err != nil {
		return false
	}
	note(w.history, &w.history.Reads, Read{At: at, Source: from.name, Version: version})
	w.operators.learned(version)
	return true
}

// readBack reads the configuration at the end at each source, until it comes.
func (w *world) readBack() {
	w.history.End = time.Now()
	end := time.Now().Add(readBack)
	for _, s := range w.sources {
		for !w.learn(context.Background(), s) && time.Now().Before(end) {
			time.Sleep(100 * time.Millisecond)
		}
	}
}
