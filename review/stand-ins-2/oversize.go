package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "oversize": uploads in chunks, far over the limit, at a server that answers before it has read
// the whole body. Beside them ordinary consumers send unsafe requests on kept connections.

const (
	oversizeWork     = 150 * time.Millisecond  // of an unsafe request
	oversizeOrdinary = 12                      // ordinary consumers
	oversizeEnds     = 3                       // after so many ends of the process the case is over
	oversizeRestart  = 300 * time.Millisecond  // until the platform starts a process again
	oversizeLost     = 3                       // LOST: more than three times
	oversizeCalm     = 2500 * time.Millisecond // ordinary requests alone, at first and after a start
)

func envInt(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// keptRequest is an unsafe request of an ordinary consumer.
type keptRequest struct {
	ran, kept, closed bool
}

func oversize(rec *record, trouble bool) int {
	limit := envInt("LIMIT", 1<<20)
	clients := envInt("CLIENTS", 8)
	playing := time.Duration(envInt("SECONDS", 75)) * time.Second
	m := newMesh(rec, options{services: []string{"alpha", "alpha"}})
	defer m.end()
	m.startAll()
	side := m.sides[0]
	var early atomic.Int64
	// atLimit holds, by Request-Id, what is closed when the server has read as much of an upload as the limit
	// allows: the client goes on sending then. So it often does at the moment of the server's answer.
	var atLimit sync.Map
	var linesMu sync.Mutex
	var lines []string
	var mu sync.Mutex
	ordinary := map[string]*keptRequest{}
	for i, c := range m.sides {
		boot := fmt.Sprintf("i-alpha%d", i)
		startServer(m, c, "alpha", boot, 18, func(c net.Conn, br *bufio.Reader, r *http.Request) bool {
			id := r.Header.Get("Request-Id")
			if strings.HasPrefix(r.URL.Path, "/up/") {
				// The server decides on what it has read so far, and reads on afterwards.
				if _, err := io.CopyN(io.Discard, r.Body, int64(limit)); err != nil {
					return false
				}
				early.Add(1)
				linesMu.Lock()
				lines = append(lines, fmt.Sprintf("server %s: runs upload %s at %.4f s", boot, id, time.Since(rec.start).Seconds()))
				linesMu.Unlock()
				if reached, ok := atLimit.Load(id); ok {
					close(reached.(chan struct{}))
				}
			} else {
				mu.Lock()
				if o := ordinary[id]; o != nil {
					o.ran = true
				}
				mu.Unlock()
				time.Sleep(oversizeWork)
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,18\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok", id, boot, id)
			_, err := io.Copy(io.Discard, r.Body)
			return err == nil
		})
	}
	m.configure("0", configuration("r1", limit, []string{"alpha"}, []route{
		{"r-up", "/up/", "upload", 2000, 800, 1, "alpha", 1},
		{"r-unsafe", "/unsafe/", "unsafe", 2000, 800, 1, "alpha", 1},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second) // the machines are in touch

	var sent, whole, refused, cut atomic.Int64
	end := time.Now().Add(playing)
	var calmUntil atomic.Int64
	calmUntil.Store(time.Now().Add(oversizeCalm).UnixNano())
	over := func() bool { return time.Now().After(end) || side.ends.Load() >= oversizeEnds }
	var wait sync.WaitGroup
	wait.Go(func() { // the platform starts the process again
		for seen := int32(0); !over(); time.Sleep(10 * time.Millisecond) {
			if ends := side.ends.Load(); ends > seen {
				seen = ends
				calmUntil.Store(time.Now().Add(time.Minute).UnixNano())
				time.Sleep(oversizeRestart)
				if !over() {
					side.start()
					calmUntil.Store(time.Now().Add(oversizeCalm).UnixNano())
				}
			}
		}
	})
	for n := range clients {
		wait.Go(func() {
			random := rand.New(rand.NewSource(int64(n) + 1))
			pause := 50 * time.Microsecond
			for i := 0; !over(); i++ {
				if time.Now().UnixNano() < calmUntil.Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				sent.Add(1)
				wait := max(0, pause+time.Duration(random.Intn(40)-20)*time.Microsecond)
				id, began := fmt.Sprintf("%08x%08x", n, i), time.Since(rec.start)
				reached := make(chan struct{})
				atLimit.Store(id, reached)
				status := upload(m.outbound(side), id, limit, trouble, reached, wait)
				atLimit.Delete(id)
				linesMu.Lock()
				lines = append(lines, fmt.Sprintf("upload %s sent at %.4f s, ended at %.4f s: %d", id, began.Seconds(), time.Since(rec.start).Seconds(), status))
				linesMu.Unlock()
				switch status {
				case 0:
					cut.Add(1)
					time.Sleep(50 * time.Millisecond)
				case http.StatusOK:
					whole.Add(1)
					pause = max(0, pause-2*time.Microsecond)
				default:
					refused.Add(1)
					pause = min(5*time.Millisecond, pause+2*time.Microsecond)
				}
			}
		})
	}
	for n := range oversizeOrdinary {
		wait.Go(func() {
			for i := 0; !over(); {
				c, err := net.DialTimeout("tcp", m.outbound(side), time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				br := bufio.NewReader(c)
				for kept := false; !over(); kept = true {
					i++
					id := fmt.Sprintf("0dd%05x%08x", n, i)
					o := &keptRequest{kept: kept}
					mu.Lock()
					ordinary[id] = o
					mu.Unlock()
					_ = c.SetDeadline(time.Now().Add(3 * time.Second))
					began := time.Since(rec.start)
					_, err := fmt.Fprintf(c, "POST /unsafe/%s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nRequest-Deadline: 2000\r\nContent-Length: 10\r\n\r\na transfer", id, id)
					var resp *http.Response
					if err == nil {
						resp, err = http.ReadResponse(br, nil)
					}
					status := 0
					if err == nil {
						status = resp.StatusCode
						_, err = io.Copy(io.Discard, resp.Body)
					}
					mu.Lock()
					o.closed = err != nil
					ran := o.ran
					mu.Unlock()
					linesMu.Lock()
					lines = append(lines, fmt.Sprintf("unsafe request %s sent at %.4f s, kept connection %t, ran %t, ended at %.4f s: %d %v", id, began.Seconds(), kept, ran, time.Since(rec.start).Seconds(), status, err))
					linesMu.Unlock()
					if err != nil || resp.Close {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	wait.Wait()
	time.Sleep(300 * time.Millisecond)
	for _, line := range lines {
		rec.line("%s", line)
	}
	lost := 0
	for _, o := range ordinary {
		if o.ran && o.kept && o.closed {
			lost++
		}
	}
	rec.line("uploads: %d sent, %d answered early by the server; the clients got %d successes, %d refusals, %d closed connections", sent.Load(), early.Load(), whole.Load(), refused.Load(), cut.Load())
	rec.line("the process of %s ended by itself %d times", side.name, side.ends.Load())
	rec.line("%d unsafe requests; %d were passed on from a kept connection, which then closed without an answer", len(ordinary), lost)
	switch {
	case side.ends.Load() > 0 && lost > oversizeLost:
		return exitBroken
	case early.Load() == 0:
		return exitCannotRun
	}
	return exitHeld
}

// upload sends one upload in chunks. With over, its body is twice as long as the limit. The
// client stops at the limit until the server has read so far, and for the pause. It returns the status of the answer, 0 if there is none.
func upload(addr, id string, limit int, over bool, reached chan struct{}, pause time.Duration) int {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	answered := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			answered <- 0
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answered <- resp.StatusCode
	}()
	fmt.Fprintf(c, "POST /up/%s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nRequest-Deadline: 2000\r\nContent-Type: image/png\r\nTransfer-Encoding: chunked\r\n\r\n", id, id)
	const part = 64 << 10
	chunk := append([]byte(fmt.Sprintf("%x\r\n", part)), make([]byte, part+2)...)
	copy(chunk[len(chunk)-2:], "\r\n")
	for n := 0; n < limit; n += part {
		if _, err := c.Write(chunk); err != nil {
			return <-answered
		}
	}
	if over {
		select {
		case <-reached:
		case <-time.After(2 * time.Second):
		}
		for stop := time.Now().Add(pause); time.Now().Before(stop); {
		}
		for n := 0; n < limit; n += part {
			if _, err := c.Write(chunk); err != nil {
				return <-answered
			}
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	return <-answered
}
