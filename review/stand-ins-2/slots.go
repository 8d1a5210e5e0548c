package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "slots": more slow clients than a service has slots, and far fewer than a machine takes connections.

const (
	slotsBody    = 100 << 10
	slotsStart   = 2 << 10
	slotsPlaying = 30 * time.Second
)

// slotsKinds are the kinds of ordinary requests: those of the service with the slow uploads, and of another one.
var slotsKinds = []string{"safe", "unsafe", "other"}

func slots(rec *record, trouble bool) int {
	m := newMesh(rec, options{services: slowServices})
	defer m.end()
	m.startAll()
	var runs, bodies atomic.Int64
	for i, c := range m.sides {
		boot := fmt.Sprintf("i-%s%d", slowServices[i], i)
		startServer(m, c, slowServices[i], boot, 18, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			if strings.HasPrefix(r.URL.Path, "/up/") {
				bodies.Add(1)
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			runs.Add(1)
			rec.line("server %s: runs %s", boot, id)
			time.Sleep(50 * time.Millisecond)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,18\r\nContent-Length: 2\r\n\r\nok", id, boot, id)
			return true
		})
	}
	m.configure("0", configuration("r1", 64<<20, slowServices, []route{
		{"r-up", "/up/", "upload", 2000, 800, 1, "alpha", 2},
		{"r-safe", "/safe/", "safe", 1500, 600, 2, "alpha", 2},
		{"r-unsafe", "/unsafe/", "unsafe", 2000, 800, 1, "alpha", 2},
		{"r-other", "/other/", "safe", 1500, 600, 2, "beta", 2},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second)

	var wait sync.WaitGroup
	end := time.Now().Add(slotsPlaying)
	clients := envInt("CLIENTS", 72)
	if trouble {
		for n := range clients {
			wait.Go(func() {
				side := m.sides[n%len(m.sides)]
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("510%05x%08x", n, i)
					rec.line("slow client: begins %s at %s", id, side.name)
					rec.line("slow client: %s ends: %s", id, sendSlowly(m.outbound(side), id, slotsBody, slotsStart, end))
					time.Sleep(time.Second)
				}
			})
		}
		time.Sleep(3 * time.Second)
	}
	var mu sync.Mutex
	sent, served := map[string]int{}, map[string]int{}
	for n := range 12 {
		wait.Go(func() {
			side := m.sides[n%len(m.sides)]
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			for i := 0; time.Now().Before(end); i++ {
				kind := slotsKinds[i%len(slotsKinds)]
				id := fmt.Sprintf("0dd%05x%08x", n, i)
				r, _ := http.NewRequest(http.MethodGet, "http://"+m.outbound(side)+"/"+kind+"/x", nil)
				if kind == "unsafe" {
					r, _ = http.NewRequest(http.MethodPost, "http://"+m.outbound(side)+"/"+kind+"/x", strings.NewReader("a transfer"))
				}
				r.Host = "review.example"
				r.Header.Set("Request-Id", id)
				r.Header.Set("Request-Deadline", "2000")
				began := time.Now()
				rec.line("ordinary %s request %s is sent to %s", kind, id, side.name)
				status, answer := 0, ""
				if resp, err := client.Do(r); err != nil {
					answer = err.Error()
				} else {
					raw, _ := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					status, answer = resp.StatusCode, fmt.Sprintf("%d %.100q", resp.StatusCode, raw)
				}
				rec.line("ordinary %s request %s at %s: %s after %d ms", kind, id, side.name, answer, time.Since(began).Milliseconds())
				mu.Lock()
				sent[kind]++
				if status == http.StatusOK {
					served[kind]++
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	rec.line("servers ran %d requests and began to get %d uploads", runs.Load(), bodies.Load())
	allSent, allServed := 0, 0
	for _, kind := range slotsKinds {
		allSent, allServed = allSent+sent[kind], allServed+served[kind]
		rec.line("%s: %d sent, %d served", kind, sent[kind], served[kind])
	}
	if allServed == 0 || served["other"] == 0 {
		return exitCannotRun
	}
	broken := false
	for _, kind := range slotsKinds {
		if 4*served[kind]*allSent < allServed*sent[kind] {
			rec.line("%s requests are served less than a quarter as often as all", kind)
			broken = true
		}
	}
	if broken {
		return exitBroken
	}
	return exitHeld
}
