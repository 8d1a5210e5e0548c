//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is an application server beside a daemon.
type server struct {
	n     *machine
	id    string
	born  int64
	slots int
	work  time.Duration
	// onRequest replaces the work if it isn't nil.
	onRequest func(w http.ResponseWriter, r *http.Request, body []byte)
	// onArrival is called with the id of each request that isn't answered 421; may be nil. It is
	// set before there are requests.
	onArrival func(id string)

	sequence atomic.Int64
	state    atomic.Value
	cancel   context.CancelFunc
	http     *http.Server
	mu       sync.Mutex
	running  int
	queue    int
	slot     chan struct{}
}

func (n *machine) startServer(id string, slots int, work time.Duration) error {
	l, err := net.Listen("tcp", n.addr(portServer))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &server{n: n, id: id, born: time.Now().UnixMilli(), slots: slots, work: work, cancel: cancel, slot: make(chan struct{}, slots)}
	s.state.Store("ready")
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	n.server = s
	go s.reports(ctx)
	return nil
}

// reports sends status reports until ctx ends.
func (s *server) reports(ctx context.Context) {
	for ctx.Err() == nil {
		s.report()
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (s *server) stop() { s.cancel(); _ = s.http.Close() }

// body returns the body of the next status report.
func (s *server) body() []byte {
	raw, _ := json.Marshal(map[string]any{
		"address": s.n.addr(portServer), "born": s.born,
		"information": map[string]any{"service": s.n.service, "version": "v1", "zone": s.n.zone, "max_concurrency": s.slots},
		"status":      map[string]any{"state": s.state.Load(), "sequence": s.sequence.Add(1), "cold_remaining_ms": 0},
	})
	return raw
}

func (s *server) report() int {
	status, _ := s.n.control("instances.heartbeat&of="+s.id, s.body(), "")
	return status
}

func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	s.mu.Lock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", s.running, s.queue, s.slots))
	s.mu.Unlock()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", s.id)
		if s.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.n.m.note("server %s: %s arrives", s.id, id)
	if s.onArrival != nil {
		s.onArrival(id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.n.m.note("server %s: %s: body broken off after %d bytes", s.id, id, len(body))
		return
	}
	s.mu.Lock()
	s.queue++
	s.mu.Unlock()
	s.slot <- struct{}{}
	s.mu.Lock()
	s.queue--
	s.running++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
		<-s.slot
	}()
	s.n.m.note("server %s: %s runs, body of %d bytes", s.id, id, len(body))
	h.Set("Response-Signature", "sig."+id)
	if s.onRequest != nil {
		s.onRequest(w, r, body)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.n.m.note("server %s: %s dropped, its connection closed", s.id, id)
		return
	}
	_, _ = io.WriteString(w, "done "+id)
}
