//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// drainMillis is bounds.drain_ms of the settings.
const drainMillis = 2000

// servesOn is how long the server serves on after its leave is acknowledged: drain_ms and some
// seconds.
const servesOn = 7 * time.Second

// strayWriter is described in REPORT.md, not one of the three cases: a server says that it drains, and goes on saying so. Beside it another
// writer sends status reports about that server in which a field is missing. The rule DRAIN is
// checked on what reaches the server.
func strayWriter(m *mesh, trouble bool) int {
	const work = 300 * time.Millisecond
	routes := []route{{"read", "safe", "alpha", 1500, 600, 2}, {"book", "unsafe", "alpha", 1500, 600, 2}}
	if !m.begin(3, []string{"alpha", "alpha", "alpha"}, 18, work, routes) {
		return 2
	}
	leaving := m.sides()[0]
	s := leaving.server
	log := &arrivals{at: map[string]time.Time{}}
	s.onArrival = log.add
	end := time.Now().Add(20 * time.Second)
	var consumers sync.WaitGroup
	sent := &consumerLog{sent: map[string]time.Time{}, status: map[string]int{}}
	for _, n := range m.sides() {
		for i := range 4 {
			consumers.Go(func() {
				for time.Now().Before(end) {
					path, method := "/read/x", http.MethodGet
					if i%2 == 1 {
						path, method = "/book/x", http.MethodPost
					}
					sent.send(n, method, path)
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(5 * time.Second)
	s.state.Store("draining")
	status := s.report()
	acked := time.Now()
	m.note("server %s reports draining to %s: %d", s.id, leaving.name, status)
	if status != http.StatusOK {
		return 2
	}
	if trouble {
		// The other writer keeps the pace of the server's own reports.
		go func() {
			for time.Since(acked) < servesOn {
				time.Sleep(750 * time.Millisecond)
				status, _ := leaving.control("instances.heartbeat&of="+s.id, s.strayReport(), "")
				m.note("another writer's report about %s, without born: %d", s.id, status)
				time.Sleep(750 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(acked.Add(servesOn)))
	s.cancel()
	status, _ = leaving.control("instances.deregister&of="+s.id, []byte(fmt.Sprintf(`{"born":%d}`, s.born)), "")
	m.note("server %s deregisters: %d, and exits", s.id, status)
	_ = s.http.Close()
	consumers.Wait()
	late, lost := 0, 0
	bound := acked.Add(drainMillis * time.Millisecond)
	for id, at := range log.at {
		if sentAt := sent.sent[id]; at.After(bound) {
			late++
			m.note("late: %s, sent %.3f s and arrived %.3f s after the acknowledgement, answered %d", id, sentAt.Sub(acked).Seconds(), at.Sub(acked).Seconds(), sent.status[id])
			if sent.status[id] != http.StatusOK {
				lost++
			}
		}
	}
	m.note("%d requests reached the server later than %d ms after the acknowledgement; %d of them were not answered with 200", late, drainMillis, lost)
	fmt.Printf("late at the draining server: %d, of them without a 200: %d\n", late, lost)
	if late > 0 {
		return 1
	}
	return 0
}

// strayReport returns a status report about the server in which born is missing.
func (s *server) strayReport() []byte {
	raw, _ := json.Marshal(map[string]any{
		"address":     s.n.addr(portServer),
		"information": map[string]any{"service": s.n.service, "version": "v1", "zone": s.n.zone, "max_concurrency": s.slots},
		"status":      map[string]any{"state": "ready", "sequence": s.sequence.Load(), "cold_remaining_ms": 0},
	})
	return raw
}

// arrivals are the requests that reached a server.
type arrivals struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at[id] = time.Now()
}

// consumerLog holds when consumers sent their requests, and the status that they got; 0 is none.
type consumerLog struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	status map[string]int
}

var consumer = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 2 * time.Second}

func (l *consumerLog) send(n *machine, method, path string) {
	id := nextID()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("body of " + id)
	}
	r, err := http.NewRequest(method, "http://"+n.addr(portOutbound)+path, body)
	if err != nil {
		return
	}
	r.Host = "mesh.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Request-Deadline", "1500")
	l.mu.Lock()
	l.sent[id] = time.Now()
	l.mu.Unlock()
	n.m.note("consumer at %s: %s %s %s", n.name, id, method, path)
	status := 0
	if resp, err := consumer.Do(r); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	n.m.note("consumer at %s: %s answered %d", n.name, id, status)
	l.mu.Lock()
	l.status[id] = status
	l.mu.Unlock()
}
