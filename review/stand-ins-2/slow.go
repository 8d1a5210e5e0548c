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

// The case "slow": clients that aren't controlled send large uploads very slowly. Ordinary consumers upload beside
// them.

var slowServices = []string{"alpha", "alpha", "alpha", "beta", "beta", "beta"}

const (
	slowBody     = 4 << 20
	slowStart    = 64 << 10
	slowPart     = 1 << 10
	slowPause    = 500 * time.Millisecond
	slowPlaying  = 40 * time.Second
	slowOrdinary = 6
	slowDeadline = 4 * time.Second
)

func slow(rec *record, trouble bool) int {
	m := newMesh(rec, options{services: slowServices})
	defer m.end()
	m.startAll()
	var runs atomic.Int64
	for i, c := range m.sides {
		boot := fmt.Sprintf("i-%s%d", slowServices[i], i)
		startServer(m, c, slowServices[i], boot, 18, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
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
		{"r-up", "/up/", "upload", int(slowDeadline.Milliseconds()), 2500, 1, "alpha", 2},
		{"r-get", "/get/", "safe", 1500, 600, 2, "alpha", 2},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second)

	var wait sync.WaitGroup
	end := time.Now().Add(slowPlaying)
	var slowRefused, slowGoing atomic.Int64
	if trouble {
		for n := range envInt("CLIENTS", 3) {
			wait.Go(func() {
				side := m.sides[3+n%3]
				for i := 0; time.Now().Before(end); i++ {
					id := fmt.Sprintf("510%05x%08x", n, i)
					rec.line("slow client: begins %s at %s", id, side.name)
					slowGoing.Add(1)
					answer := sendSlowly(m.outbound(side), id, slowBody, slowStart, end)
					slowGoing.Add(-1)
					rec.line("slow client: %s ends: %s", id, answer)
					slowRefused.Add(1)
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		time.Sleep(3 * time.Second)
	}
	var sent, served, gets, getsServed atomic.Int64
	body := make([]byte, slowBody)
	for n := range slowOrdinary {
		wait.Go(func() {
			side := m.sides[3+n%3]
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("0dd%05x%08x", n, i)
				began := time.Now()
				rec.line("ordinary upload %s is sent to %s", id, side.name)
				status, answer := uploadWhole(m.outbound(side), id, body)
				sent.Add(1)
				if status == http.StatusOK {
					served.Add(1)
				}
				rec.line("ordinary upload %s at %s: %s after %d ms", id, side.name, answer, time.Since(began).Milliseconds())
				gets.Add(1)
				r, _ := http.NewRequest(http.MethodGet, "http://"+m.outbound(side)+"/get/x", nil)
				r.Host = "review.example"
				r.Header.Set("Request-Id", "6"+id[1:])
				r.Header.Set("Request-Deadline", "1500")
				if resp, err := http.DefaultClient.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						getsServed.Add(1)
					}
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	rec.line("servers ran %d requests; slow uploads ended %d times; ordinary uploads: %d sent, %d served; other ordinary requests: %d sent, %d served", runs.Load(), slowRefused.Load(), sent.Load(), served.Load(), gets.Load(), getsServed.Load())
	share := func(served, sent int64) float64 { return float64(served) / float64(max(sent, 1)) }
	uploads, all := share(served.Load(), sent.Load()), share(served.Load()+getsServed.Load(), sent.Load()+gets.Load())
	rec.line("served: %.3f of the uploads, %.3f of all ordinary requests", uploads, all)
	switch {
	case 4*uploads < all:
		return exitBroken
	case sent.Load() == 0 || getsServed.Load() == 0:
		return exitCannotRun
	}
	return exitHeld
}

// sendSlowly sends an upload very slowly, until it is answered or the end.
func sendSlowly(addr, id string, length, start int, end time.Time) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	answered := make(chan string, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- err.Error()
			return
		}
		answered <- resp.Status
	}()
	fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", id, id, length)
	part := make([]byte, start)
	for time.Now().Before(end) {
		if _, err := c.Write(part); err != nil {
			return err.Error()
		}
		part = part[:slowPart]
		select {
		case answer := <-answered:
			return answer
		case <-time.After(slowPause):
		}
	}
	return "left at the end"
}

// uploadWhole sends an upload as an ordinary consumer does.
func uploadWhole(addr, id string, body []byte) (int, string) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(slowDeadline))
	fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nRequest-Deadline: %d\r\nContent-Length: %d\r\n\r\n", id, id, slowDeadline.Milliseconds(), len(body))
	go func() { _, _ = c.Write(body) }()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, fmt.Sprintf("%d %.120q", resp.StatusCode, raw)
}
