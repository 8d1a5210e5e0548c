package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// server is a backend server on a sidecar machine. It speaks HTTP/1.1 as the users' pages say.
type server struct {
	m       *mesh
	on      *machine
	service string
	slots   int
	born    int64
	id      string
	rec     *record

	listener net.Listener
	seq      atomic.Int64
	running  atomic.Int64
	state    atomic.Value
	quit     chan struct{}
	mu       sync.Mutex
	conns    map[net.Conn]bool
	// answer handles one request. It returns false if the connection is to be closed.
	answer func(c net.Conn, br *bufio.Reader, r *http.Request) bool
}

func startServer(m *mesh, on *machine, service, id string, slots int, answer func(net.Conn, *bufio.Reader, *http.Request) bool) *server {
	s := &server{m: m, on: on, service: service, slots: slots, born: time.Now().UnixMilli(), id: id, rec: m.rec, quit: make(chan struct{}), conns: map[net.Conn]bool{}, answer: answer}
	s.state.Store("ready")
	l, err := net.Listen("tcp", s.addr())
	if err != nil {
		cannotRun("server: %v", err)
	}
	s.listener = l
	go s.serve()
	go s.report()
	return s
}

func (s *server) addr() string { return fmt.Sprintf("%s:%d", s.on.ip, s.m.ports.app) }

// beat sends one status report.
func (s *server) beat() int {
	body, _ := json.Marshal(map[string]any{
		"address": s.addr(), "born": s.born,
		"information": map[string]any{"service": s.service, "version": "v1", "zone": strings.Join(strings.Split(s.on.name, "-")[1:3], "-"), "max_concurrency": s.slots},
		"status":      map[string]any{"state": s.state.Load(), "sequence": s.seq.Add(1), "cold_remaining_ms": 0},
	})
	status, _ := call(s.m.control(s.on), "instances.heartbeat", s.id, "", body, time.Second)
	return status
}

func (s *server) report() {
	ticker := time.NewTicker(1500 * time.Millisecond)
	defer ticker.Stop()
	for {
		s.beat()
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
	}
}

func (s *server) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: %d,0,%d\r\nContent-Length: 0\r\n\r\n", s.id, s.running.Load(), s.slots)
			continue
		}
		if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"))
			continue
		}
		s.running.Add(1)
		goOn := s.answer(c, br, r)
		s.running.Add(-1)
		if !goOn {
			return
		}
	}
}

// head returns the head of a success.
func (s *server) head(r *http.Request, length int) string {
	id := r.Header.Get("Request-Id")
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\nServer-Load: %d,0,%d\r\nContent-Length: %d\r\n\r\n", id, s.sign(id), s.running.Load(), s.slots, length)
}

// sign returns the MAC that this server puts on its answer to a request.
func (s *server) sign(id string) string { return s.id + "." + id }

// end ends the server without a word.
func (s *server) end() {
	close(s.quit)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
