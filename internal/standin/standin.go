// Package standin is a small backend server for tests and measurements: it
// announces itself to the daemon beside it, runs requests, and keeps a record
// of each run, so that lost and doubled requests can be counted.
//
// Request headers steer it: X-Standin-Id names the request in the record,
// X-Standin-Delay (a Go duration) is how long it runs, X-Standin-Crash ends the
// process in the middle of the run.
package standin

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

// The headers and paths of the stand-in.
const (
	HeaderID    = "X-Standin-Id"
	HeaderDelay = "X-Standin-Delay"
	HeaderCrash = "X-Standin-Crash"
	// HeaderServer tells in the answer which server ran the request.
	HeaderServer = "X-Standin-Server"
	// RunsPath returns the record as JSON: runs by request.
	RunsPath = "/__standin/runs"
)

const renewInterval = time.Second

// leaveQuiet is how long nothing may have run before a draining server closes:
// a request that had its slot before the acknowledgement may still be on its
// way, and one that meets a closing connection is lost.
const leaveQuiet = 200 * time.Millisecond

// Config is fixed for the life of a Server.
type Config struct {
	// Listen is "ip:port"; port 0 lets the system choose.
	Listen string
	// AnnounceAddr is the announcement listener of the daemon beside it.
	AnnounceAddr string
	Announcement announce.Announcement
	// Answer is sent back when the request has no body to echo.
	Answer string
	// Crash is what HeaderCrash does; nil ends the process.
	Crash func()
	// Fails reports whether a request is answered with status 500; nil fails none.
	Fails func(r *http.Request) bool
}

// Server is one running stand-in.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server

	mu   sync.Mutex
	runs map[string]int
	// running and peak count requests in progress.
	running, peak, requests atomic.Int64
}

// New opens the listener.
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

// Addr is the address the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests is how many requests it began to work at.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Peak is the most requests that ran at one time.
func (s *Server) Peak() int64 { return s.peak.Load() }

// Run serves and announces until ctx ends; then it leaves as a good server
// does: announce draining, finish what runs, withdraw.
func (s *Server) Run(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(s.listener) }()
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		_ = s.announce("serving")
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return s.leave()
		case <-ticker.C:
		}
	}
}

func (s *Server) leave() error {
	_ = s.announce("draining")
	for quiet := time.Now(); time.Since(quiet) < leaveQuiet; time.Sleep(10 * time.Millisecond) {
		if s.running.Load() > 0 {
			quiet = time.Now()
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
	client := http.Client{Timeout: renewInterval}
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
	s.begin(r.Header.Get(HeaderID))
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
	if s.cfg.Fails != nil && s.cfg.Fails(r) {
		http.Error(w, "this version fails", http.StatusInternalServerError)
		return
	}
	if r.ContentLength == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(s.cfg.Answer)))
		_, _ = io.WriteString(w, s.cfg.Answer)
		return
	}
	// Without it net/http reads away up to 256 KiB of the body before the answer.
	_ = http.NewResponseController(w).EnableFullDuplex()
	_, _ = io.Copy(w, r.Body)
}

func (s *Server) begin(id string) {
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

// Runs returns how often each named request was run.
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
