package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case "stray": servers send additional bytes after some of their complete answers, a little late. The bytes
// look like a short answer without a Request-Id, as a framework writes it by itself.

const (
	strayShare  = 0.6  // of the servers of a service, as in garble of the site file
	strayPart   = 0.03 // of their answers
	strayFor    = 5 * time.Second
	strayPause  = 3 * time.Second
	strayTimes  = 3
	strayClient = 8 // consumers on each machine
)

// strayBytes are the additional bytes, by name.
var strayBytes = map[string]string{
	"200": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"503": "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	// Not played unless BYTES names it.
	"not-executed": "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}

// request is what became of one request.
type request struct {
	kind, from    string
	sent, ended   time.Duration
	answer        string
	status        int
	signature     string
	ran           []string
	signatureGood bool
}

type requests struct {
	mu   sync.Mutex
	rec  *record
	byID map[string]*request
	ids  []string
}

func (q *requests) add(id, kind, from string) *request {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := &request{kind: kind, from: from, sent: time.Since(q.rec.start)}
	q.byID[id] = r
	q.ids = append(q.ids, id)
	return r
}

// ran records that a server begins to work on a request.
func (q *requests) ran(id, server string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.byID[id]; r != nil {
		r.ran = append(r.ran, fmt.Sprintf("%s at %.3f s", server, time.Since(q.rec.start).Seconds()))
	}
}

func (q *requests) answered(id string, status int, signature, answer string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.byID[id]
	r.status, r.signature, r.answer, r.ended = status, signature, answer, time.Since(q.rec.start)
}

// judge writes all requests and counts those that break a rule.
func (q *requests) judge() (broken int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := map[string]int{}
	for _, id := range q.ids {
		r := q.byID[id]
		var faults []string
		if len(r.ran) > 1 && r.kind == "unsafe" {
			faults = append(faults, "TWICE")
		}
		promise := r.status == 429 || r.status == 503 || r.status == 408 || r.status == 421
		if promise && r.kind == "unsafe" && len(r.ran) > 0 {
			faults = append(faults, "REFUSED")
		}
		if r.status/100 == 2 && !strings.HasSuffix(r.signature, "."+id) {
			faults = append(faults, "MIXED")
		}
		for _, f := range faults {
			count[f]++
			broken++
		}
		q.rec.line("%s %s at %s: sent at %.3f s; ran: %s; answer at %.3f s: %s %s", id, r.kind, r.from, r.sent.Seconds(), strings.Join(r.ran, ", "), r.ended.Seconds(), r.answer, strings.Join(faults, " "))
	}
	q.rec.line("%d requests; broken: TWICE %d, REFUSED %d, MIXED %d", len(q.ids), count["TWICE"], count["REFUSED"], count["MIXED"])
	return broken
}

func stray(rec *record, trouble bool) int {
	kinds := []string{"200", "503"}
	if names := os.Getenv("BYTES"); names != "" {
		kinds = strings.Split(names, ",")
	}
	services := []string{"alpha", "alpha", "alpha", "alpha", "alpha", "beta"}
	m := newMesh(rec, options{services: services})
	defer m.end()
	m.startAll()
	q := &requests{rec: rec, byID: map[string]*request{}}
	var spoiling atomic.Bool
	var spoiled, answers atomic.Int64
	servers := strings.Count(strings.Join(services, " "), "alpha")
	for i, c := range m.sides {
		id := fmt.Sprintf("i-%s%d", services[i], i)
		random := rand.New(rand.NewSource(int64(i) + 1))
		var mu sync.Mutex
		draw := func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() }
		troubled := services[i] == "alpha" && float64(i) < strayShare*float64(servers)
		startServer(m, c, services[i], id, 18, func(conn net.Conn, br *bufio.Reader, r *http.Request) bool {
			rid := r.Header.Get("Request-Id")
			q.ran(rid, id)
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return false
			}
			time.Sleep(time.Duration(30+draw()*60) * time.Millisecond)
			answers.Add(1)
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.%s\r\nServer-Load: 1,0,18\r\nContent-Length: 12\r\n\r\nwhole answer", rid, id, rid); err != nil {
				return false
			}
			if troubled && spoiling.Load() && draw() < strayPart {
				n := spoiled.Add(1)
				kind := kinds[int(n)%len(kinds)]
				time.AfterFunc(time.Duration(5+draw()*40)*time.Millisecond, func() {
					rec.line("server %s: additional bytes (%s) after its answer to %s", id, kind, rid)
					_, _ = io.WriteString(conn, strayBytes[kind])
				})
			}
			return true
		})
	}
	m.configure("0", configuration("r1", 1<<20, services, []route{
		{"r-safe", "/safe/", "safe", 1500, 600, 2, "alpha", 2},
		{"r-unsafe", "/unsafe/", "unsafe", 2000, 800, 1, "alpha", 2},
	}))
	m.awaitReady()
	time.Sleep(4 * time.Second)

	end := time.Now().Add(strayTimes*strayFor + (strayTimes+1)*strayPause)
	var wait sync.WaitGroup
	for n, side := range m.sides {
		for w := range strayClient {
			wait.Go(func() {
				client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
				random := rand.New(rand.NewSource(int64(n*100 + w)))
				for i := 0; time.Now().Before(end); i++ {
					kind, method := "safe", http.MethodGet
					if i%2 == 1 {
						kind, method = "unsafe", http.MethodPost
					}
					id := fmt.Sprintf("%02x%02x%012x", n, w, i)
					r, _ := http.NewRequest(method, "http://"+m.outbound(side)+"/"+kind+"/x", nil)
					if kind == "unsafe" {
						r, _ = http.NewRequest(method, "http://"+m.outbound(side)+"/"+kind+"/x", strings.NewReader("a transfer"))
					}
					r.Host = "review.example"
					r.Header.Set("Request-Id", id)
					r.Header.Set("Request-Deadline", "2000")
					q.add(id, kind, side.name)
					resp, err := client.Do(r)
					if err != nil {
						q.answered(id, 0, "", err.Error())
						continue
					}
					raw, err := io.ReadAll(resp.Body)
					_ = resp.Body.Close()
					q.answered(id, resp.StatusCode, resp.Header.Get("Response-Signature"), fmt.Sprintf("%d, signature %q, %.40q %v", resp.StatusCode, resp.Header.Get("Response-Signature"), raw, err))
					time.Sleep(time.Duration(40+random.Intn(80)) * time.Millisecond)
				}
			})
		}
	}
	for range strayTimes {
		time.Sleep(strayPause)
		spoiling.Store(trouble)
		time.Sleep(strayFor)
		spoiling.Store(false)
	}
	wait.Wait()
	time.Sleep(time.Second)
	broken := q.judge()
	rec.line("servers: %d answers, additional bytes after %d of them", answers.Load(), spoiled.Load())
	switch {
	case broken > 0:
		return exitBroken
	case answers.Load() == 0 || trouble && spoiled.Load() == 0:
		return exitCannotRun
	}
	return exitHeld
}
