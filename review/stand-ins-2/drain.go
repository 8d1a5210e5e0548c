package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "drain": a server says that it is draining, and is acknowledged. Then one status report of another writer
// comes, without the field `born`.

const (
	drainFor   = 2 * time.Second // drain_ms
	drainStays = 5 * time.Second // the server goes on serving for so long after the acknowledgement
	drainStray = 500 * time.Millisecond
)

var drainServices = []string{"alpha", "alpha", "alpha", "beta"}

func drain(rec *record, trouble bool) int {
	m := newMesh(rec, options{services: drainServices})
	defer m.end()
	m.startAll()
	var acked, gone atomic.Int64 // Unix milliseconds
	var late, before atomic.Int64
	var first *server
	for i, c := range m.sides {
		boot := fmt.Sprintf("i-%s%d", drainServices[i], i)
		random := rand.New(rand.NewSource(int64(i)))
		var mu sync.Mutex
		s := startServer(m, c, drainServices[i], boot, 18, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			rec.line("server %s: runs %s", boot, id)
			if i == 0 {
				since := time.Now().UnixMilli() - acked.Load()
				switch {
				case acked.Load() == 0:
					before.Add(1)
				case since > drainFor.Milliseconds():
					late.Add(1)
					rec.line("server %s: gets %s %d ms after the acknowledgement that it is draining", boot, id, since)
				}
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			mu.Lock()
			work := time.Duration(100+random.Intn(200)) * time.Millisecond
			mu.Unlock()
			time.Sleep(work)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,18\r\nContent-Length: 2\r\n\r\nok", id, boot, id)
			return true
		})
		if i == 0 {
			first = s
		}
	}
	m.configure("0", configuration("r1", 1<<20, drainServices, []route{
		{"r-unsafe", "/unsafe/", "unsafe", 2000, 800, 1, "alpha", 2},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second)

	var done atomic.Bool
	var sent, served, failed atomic.Int64
	var wait sync.WaitGroup
	for n := range 12 {
		wait.Go(func() {
			side := m.sides[1+n%3]
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			for i := 0; !done.Load(); i++ {
				id := fmt.Sprintf("0dd%05x%08x", n, i)
				r, _ := http.NewRequest(http.MethodPost, "http://"+m.outbound(side)+"/unsafe/x", strings.NewReader("a transfer"))
				r.Host = "review.example"
				r.Header.Set("Request-Id", id)
				r.Header.Set("Request-Deadline", "2000")
				sent.Add(1)
				rec.line("consumer: sends %s to %s", id, side.name)
				resp, err := client.Do(r)
				if err != nil {
					failed.Add(1)
					rec.line("consumer: %s sent at %s ends: %v", id, side.name, err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				rec.line("consumer: %s sent at %s gets %d", id, side.name, resp.StatusCode)
				if resp.StatusCode == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	first.state.Store("draining")
	for i := 0; i < 20 && acked.Load() == 0; i++ {
		if status := first.beat(); status == http.StatusOK {
			acked.Store(time.Now().UnixMilli())
			rec.line("server %s: its report that it is draining is acknowledged", first.id)
		} else {
			rec.line("server %s: its report that it is draining gets %d", first.id, status)
			time.Sleep(200 * time.Millisecond)
		}
	}
	if acked.Load() == 0 {
		return exitCannotRun
	}
	time.Sleep(drainStray)
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"address":     first.addr(),
			"information": map[string]any{"service": first.service, "version": "v1", "zone": "zone-a", "max_concurrency": 18},
			"status":      map[string]any{"state": "ready", "sequence": 1, "cold_remaining_ms": 0},
		})
		status, _ := call(m.control(first.on), "instances.heartbeat", first.id, "", body, time.Second)
		rec.line("another writer: a report without born, %s, gets %d", body, status)
		if status == 0 {
			done.Store(true)
			wait.Wait()
			return exitCannotRun
		}
	}
	time.Sleep(drainStays - drainStray)
	status, _ := call(m.control(first.on), "instances.deregister", first.id, "", fmt.Appendf(nil, `{"born":%d}`, first.born), time.Second)
	rec.line("server %s: its deregistration gets %d; it ends", first.id, status)
	gone.Store(time.Now().UnixMilli())
	first.end()
	time.Sleep(time.Second)
	done.Store(true)
	wait.Wait()
	rec.line("%d requests sent, %d served, %d not; the draining server had got %d before, and got %d later than %d ms after the acknowledgement", sent.Load(), served.Load(), failed.Load(), before.Load(), late.Load(), drainFor.Milliseconds())
	switch {
	case before.Load() == 0:
		return exitCannotRun
	case late.Load() > 0:
		return exitBroken
	}
	return exitHeld
}
