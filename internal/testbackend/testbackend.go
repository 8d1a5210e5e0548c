// Package testbackend implements a small backend server for tests and benchmarks.
// It announces itself to the daemon on its instance, runs requests, and records
// every run, so that lost and duplicated requests can be counted.
//
// Request headers control it: X-Standin-Id is the ID of the request in the
// record, X-Standin-Delay (a Go duration) is how long the request runs, and
// X-Standin-Crash ends the process while the request is running.
package testbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/announce"
)

// Header names and paths of the stand-in server.
const (
	HeaderID    = "X-Standin-Id"
	HeaderDelay = "X-Standin-Delay"
	HeaderCrash = "X-Standin-Crash"
	// HeaderServer is the response header with the address of the server that
	// ran the request.
	HeaderServer = "X-Standin-Server"
	// RunsPath serves the record as JSON: the number of runs by request ID.
	RunsPath = "/__standin/runs"
)

// announceInterval is the time between two announcements, and the timeout of
// one.
const announceInterval = time.Second

// drainQuietPeriod is how long no request may have run before a draining server
// closes. A request that was assigned a slot before the draining announcement
// was acknowledged may still be in transit, and would be lost if it arrived at
// a closing connection.
const drainQuietPeriod = 200 * time.Millisecond

// Config is the immutable configuration of a Server.
type Config struct {
	// Listen is "ip:port"; port 0 lets the system choose.
	Listen string
	// AnnounceAddr is the address of the announcement listener of the daemon on
	// the same instance.
	AnnounceAddr string
	Announcement announce.Announcement
	// Answer is the response body for a request without a body to echo.
	Answer string
	// Crash is called for a request with HeaderCrash; nil exits the process.
	Crash func()
	// ShouldFail reports whether a request gets a response with status 500; nil
	// fails none.
	ShouldFail func(r *http.Request) bool
}

// Server is a stand-in backend server.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server

	mu   sync.Mutex
	runs map[string]int
	// running is the number of requests in progress, peak its maximum, and
	// requests the number of requests started.
	running, peak, requests atomic.Int64
}

// New returns a Server with an open listener; Run serves on it.
func New(cfg Config) (*Server, error) {
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{cfg: cfg, listener: listener, runs: map[string]int{}}
	s.cfg.Announcement.Address = listener.Addr().String()
	if s.cfg.Crash == nil {
		s.cfg.Crash = func() { os.Exit(3) }
	}
	mux := http.NewServeMux()
	mux.HandleFunc(RunsPath, s.serveRuns)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux}
	return s, nil
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were started.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Peak returns the maximum number of requests that ran concurrently.
func (s *Server) Peak() int64 { return s.peak.Load() }

// Run serves requests and announces the server until ctx ends. It then shuts
// down gracefully: it announces that it is draining, finishes the requests in
// progress, and withdraws its announcement.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(s.listener) }()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = s.announce("serving")
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return s.shutDown()
		case <-ticker.C:
		}
	}
}

func (s *Server) shutDown() error {
	_ = s.announce("draining")
	for lastActive := time.Now(); time.Since(lastActive) < drainQuietPeriod; time.Sleep(10 * time.Millisecond) {
		if s.running.Load() > 0 {
			lastActive = time.Now()
		}
	}
	_ = s.withdraw()
	return s.http.Shutdown(context.Background())
}

func (s *Server) announce(state string) error {
	a := s.cfg.Announcement
	a.State = state
	raw, err := json.Marshal(a)
	if err != nil {
		return err
	}
	return s.send(http.MethodPut, "", bytes.NewReader(raw))
}

func (s *Server) withdraw() error {
	return s.send(http.MethodDelete, "?address="+url.QueryEscape(s.Addr()), nil)
}

func (s *Server) send(method, query string, body io.Reader) error {
	req, err := http.NewRequest(method, "http://"+s.cfg.AnnounceAddr+announce.ServersPath+query, body)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: announceInterval}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("announcement: %s", resp.Status)
	}
	return nil
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.startRequest(r.Header.Get(HeaderID))
	defer s.running.Add(-1)
	if r.Header.Get(HeaderCrash) != "" {
		s.cfg.Crash()
	}
	if delay, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set(HeaderServer, s.Addr())
	if s.cfg.ShouldFail != nil && s.cfg.ShouldFail(r) {
		http.Error(w, "this version fails", http.StatusInternalServerError)
		return
	}
	if r.ContentLength == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(s.cfg.Answer)))
		_, _ = io.WriteString(w, s.cfg.Answer)
		return
	}
	// Otherwise net/http would read and discard up to 256 KiB of the body
	// before sending the response.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

func (s *Server) startRequest(id string) {
	s.requests.Add(1)
	running := s.running.Add(1)
	for peak := s.peak.Load(); running > peak; peak = s.peak.Load() {
		s.peak.CompareAndSwap(peak, running)
	}
	if id == "" {
		return
	}
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
}

// Runs returns the number of runs by request ID, for requests that have one.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	if err := json.NewEncoder(w).Encode(s.Runs()); err != nil {
		fmt.Fprintln(os.Stderr, "runs:", err)
	}
}
