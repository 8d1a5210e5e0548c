package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots = 8
	// minWork and maxWork bound the duration of one request.
	minWork, maxWork = 2 * time.Millisecond, 40 * time.Millisecond
	// failureShare is the share of requests that the server answers with status 500.
	failureShare = 0.01
	// refusedShare is the share of requests refused, and of calls failed, while refusing is set.
	// callingShare is the share of executed safe requests that call the other service.
	refusedShare   = 0.5
	callingShare   = 0.5
	reportInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the local daemon.
	callTimeout = time.Second
	// maxLeaveAttempts is how often a server states its leave at most until it is acknowledged.
	maxLeaveAttempts = 6
)

// backend is a backend server that runs in this process behind a fault-injecting proxy.
type backend struct {
	history                *History
	service, addr, control string
	// daemon is the name of the local daemon and outbound its address for outgoing requests.
	daemon, outbound string
	client           *http.Client
	// crashUnderRequest is called when the server runs a request that crashes it.
	crashUnderRequest func()
	// refusing is set while the server refuses a share of its requests, and fails a share of the
	// calls that it executes.
	refusing atomic.Bool
	// limit is the rate limit that the server states; nil for none. leaving is set while it
	// states that it is leaving.
	limit             atomic.Pointer[limitStatement]
	leaving           atomic.Bool
	proxy             *proxy
	mu                sync.Mutex
	boot              string
	boots             int
	server            *http.Server
	sequence, running atomic.Int64
	// statesStart is set if the reports contain the start time of the server.
	statesStart bool
	started     time.Time
	// draining is set while the reports state that the server is draining, silent while it sends
	// none, and unhealthy while its health path responds with 503.
	draining, silent, unhealthy bool
}

func hashOf(parts ...string) uint64 {
	f := fnv.New64a()
	for _, part := range parts {
		_, _ = io.WriteString(f, part) // writes to a hash never fail
		_, _ = f.Write([]byte{0})
	}
	return f.Sum64()
}

// signature returns the Response-Signature value of an answer.
func signature(id string, status int, body []byte) string {
	return fmt.Sprintf("%016x", hashOf("soak", id, fmt.Sprint(status), string(body)))
}

// start begins to serve under a new boot ID.
func (b *backend) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boots++
	b.boot, b.started = bootID(b.addr, b.boots), time.Now()
	b.draining, b.silent, b.unhealthy = false, false, false
	b.leaving.Store(false)
	b.limit.Store(nil)
	boot := b.boot
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(boot, w, r) })}
	server, to := b.server, l.Addr().String()
	go func() { _ = server.Serve(l) }()
	b.proxy.target.Store(&to)
	return b.proxy.accept()
}

// bootID returns the ID of a start of the server at an address.
func bootID(addr string, number int) string {
	return fmt.Sprintf("%s%d", bootPrefix(addr), number)
}

func bootPrefix(addr string) string { return strings.ReplaceAll(addr, ":", "-") + "-" }

// crash closes the server and resets all connections without draining. New ones are refused.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.proxy.refuse()
	b.proxy.target.Store(nil)
	if b.server != nil {
		_ = b.server.Close()
	}
	b.proxy.resetAll()
}

func (b *backend) serve(boot string, w http.ResponseWriter, r *http.Request) {
	b.writeStatements(w.Header(), boot)
	if r.URL.Path == healthPath {
		w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", b.running.Load(), slots))
		b.mu.Lock()
		unhealthy := b.draining || b.unhealthy
		b.mu.Unlock()
		if unhealthy {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	want := r.Header.Get(headerInstance)
	misdirected := want != "" && want != boot
	repeat := b.history.recordArrival(Arrival{ID: id, Service: b.service, Boot: boot, Misdirected: misdirected})
	if misdirected {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.refusing.Load() && rand.Float64() < refusedShare {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if b.running.Add(1) > slots {
		b.running.Add(-1)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.running.Add(-1)
	record(b.history, &b.history.Runs, Exec{
		ID: id, Boot: boot, Service: b.service, Method: r.Method, Path: r.URL.Path, Origin: r.Header.Get(headerOrigin),
		Body: hashOf(string(body)), At: time.Now(),
	})
	if isCrashing(r.URL.Path) {
		time.Sleep(rand.N(crashWork))
		b.crashUnderRequest()
		select {
		case <-r.Context().Done():
		case <-time.After(crashDuration):
		}
		panic(http.ErrAbortHandler) // no answer
	}
	status := http.StatusOK
	if strings.HasPrefix(r.URL.Path, pathSafe) && rand.Float64() < callingShare {
		status = b.callOtherService(repeat, r.Header.Get(headerDeadline))
	}
	select {
	case <-time.After(minWork + rand.N(maxWork-minWork)):
	case <-r.Context().Done():
		return
	}
	if rand.Float64() < failureShare || b.refusing.Load() && strings.HasPrefix(r.URL.Path, pathCalled) && rand.Float64() < refusedShare {
		status = http.StatusInternalServerError
	}
	answer := []byte(strings.Repeat(id+" ", 1+rand.IntN(200)))
	w.Header().Set(headerSignature, signature(id, status, answer))
	w.WriteHeader(status)
	_, _ = w.Write(answer)
}

// callOtherService sends a request to the other service while a request is executed, within the
// deadline of that request in milliseconds. It returns the status that the run ends with.
func (b *backend) callOtherService(fromRepeat bool, deadline string) int {
	left, _ := strconv.Atoi(deadline) // 0 without a deadline
	id := fmt.Sprintf("%s-call-%d", b.daemon, rand.Uint64())
	if fromRepeat {
		b.history.markRepeatCall(id)
	}
	s := send(b.client, "http://"+b.outbound, request{kind: "safe", path: pathCalled, method: http.MethodGet, deadline: time.Duration(left) * time.Millisecond}, id)
	s.Daemon = b.daemon
	record(b.history, &b.history.Sent, s)
	if s.Status/100 != 2 {
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// reportLoop reports the server's state to the local daemon until ctx ends.
func (b *backend) reportLoop(ctx context.Context) {
	for {
		if !b.isSilent() {
			b.sendReport(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportInterval):
		}
	}
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent
}

// sendReport sends one report and returns whether it was acknowledged.
func (b *backend) sendReport(ctx context.Context) bool {
	boot, body := b.nextReport()
	return b.callDaemon(ctx, callReport+boot, body)
}

// nextReport returns the boot ID and the body of the next report.
func (b *backend) nextReport() (boot string, body []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	report := map[string]any{
		"address":     b.addr,
		"information": map[string]any{"service": b.service, "version": "v1", "zone": "z", "max_concurrency": slots},
		"status":      map[string]any{"state": state, "sequence": b.sequence.Add(1), "cold_remaining_ms": 0},
	}
	if b.statesStart {
		report["born"] = b.started.UnixMilli()
	}
	body, _ = json.Marshal(report) // cannot fail: the map holds only plain values
	return b.boot, body
}

// leave drains the server as the platform does: it states in its responses that it is leaving,
// reports the draining state, waits, deregisters and stops. With stated, it only states it, as
// if its reports were lost. The caller starts it again under a new boot ID.
func (b *backend) leave(ctx context.Context, stated bool) {
	b.leaving.Store(true)
	if stated {
		time.Sleep(2 * drainGrace)
		b.crash()
		return
	}
	b.mu.Lock()
	b.draining = true
	boot := b.boot
	b.mu.Unlock()
	if b.stateLeave(ctx, false) {
		record(b.history, &b.history.Drains, AckedDrain{Boot: boot, At: time.Now()})
	}
	time.Sleep(drainGrace + 200*time.Millisecond)
	b.callDaemon(ctx, callLeave+boot, nil)
	b.crash()
}

// callDaemon sends a control call about this server to the local daemon and returns
// whether the status was 2xx.
func (b *backend) callDaemon(ctx context.Context, call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, _ := post(ctx, b.control, call, body, nil)
	return status/100 == 2
}
