package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The case "stall": a server falls silent while it sends large answers.

// stallServices: one of the seven servers of a service falls silent.
var stallServices = []string{"alpha", "alpha", "alpha", "alpha", "alpha", "alpha", "alpha"}

const (
	stallAnswer  = 4 << 20
	stallTimeout = 1200 * time.Millisecond
	// stallPatience is how long the consumers wait.
	stallPatience = 8 * time.Second
)

func stall(rec *record, trouble bool) int {
	m := newMesh(rec, options{services: stallServices})
	defer m.end()
	m.startAll()
	var dark atomic.Bool
	darkOver := make(chan struct{})
	var runs atomic.Int64
	block := make([]byte, 64<<10)
	for i, c := range m.sides {
		boot := fmt.Sprintf("i-alpha%d", i)
		startServer(m, c, "alpha", boot, 18, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			runs.Add(1)
			rec.line("server %s: runs %s", boot, id)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,18\r\nContent-Length: %d\r\n\r\n", id, boot, id, stallAnswer)
			for n := 0; n < stallAnswer; n += len(block) {
				if i == 0 && dark.Load() {
					<-darkOver
					return false
				}
				if _, err := c.Write(block); err != nil {
					return false
				}
				time.Sleep(5 * time.Millisecond)
			}
			return true
		})
	}
	m.configure("0", configuration("r1", 1<<20, stallServices, []route{
		{"r-down", "/down/", "download", int(stallTimeout.Milliseconds()), 800, 2, "alpha", 2},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second) // the machines are in touch

	var lasting, late, answered atomic.Int64
	var wait sync.WaitGroup
	ask := func(n int) {
		side := m.sides[0]
		if n%4 == 3 {
			side = m.sides[1+n%6]
		}
		id := fmt.Sprintf("d0%014x", n)
		sent := time.Now()
		done := make(chan string, 1)
		go func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+m.outbound(side)+"/down/x", nil)
			r.Host = "review.example"
			r.Header.Set("Request-Id", id)
			r.Header.Set("Request-Deadline", fmt.Sprint(stallPatience.Milliseconds()))
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stallPatience}).Do(r)
			if err != nil {
				done <- err.Error()
				return
			}
			n, err := io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			done <- fmt.Sprintf("%d, %d bytes, %v", resp.StatusCode, n, err)
		}()
		rec.line("client: sends %s to %s", id, side.name)
		select {
		case end := <-done:
			answered.Add(1)
			rec.line("client: %s ends after %d ms: %s", id, time.Since(sent).Milliseconds(), end)
			return
		case <-time.After(stallTimeout):
		}
		lasting.Add(1)
		select {
		case end := <-done:
			rec.line("client: %s ends after %d ms: %s", id, time.Since(sent).Milliseconds(), end)
			return
		case <-time.After(500 * time.Millisecond):
			late.Add(1)
			rec.line("client: %s has no final answer %d ms after it was sent", id, time.Since(sent).Milliseconds())
		}
		end := <-done
		rec.line("client: %s ends after %d ms: %s", id, time.Since(sent).Milliseconds(), end)
	}
	for n := range 32 {
		if n == 16 {
			time.Sleep(2 * time.Second)
		}
		wait.Go(func() { ask(n) })
	}
	if trouble {
		time.Sleep(200 * time.Millisecond)
		dark.Store(true)
		rec.line("server i-alpha0: falls silent for good")
	}
	wait.Wait()
	close(darkOver)
	rec.line("%d runs; %d requests lasted longer than the timeout of their route, %d of them had no final answer half a second later; %d ended before the timeout", runs.Load(), lasting.Load(), late.Load(), answered.Load())
	if runs.Load() == 0 {
		return exitCannotRun
	}
	if late.Load() >= 8 && 4*late.Load() > lasting.Load() {
		return exitBroken
	}
	return exitHeld
}
