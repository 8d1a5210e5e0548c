package flow

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/request/admit"
	"github.com/daisygate/daisygate/internal/request/balance"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/directory"
)

// world is callers, one daemon's flow, and servers with their gates. It is the
// oracle too: it records each run by each server.
type world struct {
	t       *rapid.T
	now     time.Time
	tickets uint64
	service *Service
	servers []*server
	calls   []*caller
	transit []*attempt
}

type server struct {
	candidate *directory.Candidate
	gate      *admit.Core
	up        bool
	tickets   map[uint64]*attempt
	running   []*attempt
}

type caller struct {
	request Request
	// stream has a body that can't be sent again once begun.
	stream bool
	call   *Call
	// last is the attempt in progress.
	last   *attempt
	went   []int
	runs   int
	finals int
	code   result.Code
}

type attempt struct {
	caller *caller
	server *server
	// dropped attempts were cancelled: what they still bring comes late.
	dropped bool
}

const slotsEach = 2

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1000, 0), service: NewService(balance.Place{Node: "n0", Domain: "d0"}, nil)}
	var candidates []*directory.Candidate
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		c := &directory.Candidate{
			Node:   view.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%3)},
			Server: presence.Server{Addr: fmt.Sprint("s", i), Slots: slotsEach, State: presence.Serving},
		}
		candidates = append(candidates, c)
		w.servers = append(w.servers, &server{candidate: c, gate: newGate(), up: true, tickets: map[uint64]*attempt{}})
	}
	w.service.Table.Update(candidates, 0)
	return w
}

func newGate() *admit.Core { return admit.New(admit.Config{Slots: slotsEach, QueueMax: 3}) }

func (w *world) draw() uint64 { return rapid.Uint64().Draw(w.t, "seed") }

func (w *world) begin(t *rapid.T) {
	c := &caller{stream: rapid.Bool().Draw(t, "stream"), request: Request{
		Deadline:   w.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "timeout")) * time.Millisecond),
		Repeatable: rapid.Bool().Draw(t, "repeatable"), Retries: rapid.IntRange(0, 3).Draw(t, "retries"),
	}}
	w.calls = append(w.calls, c)
	var a Action
	c.call, a = w.service.Begin(w.now, w.draw(), c.request)
	w.do(c, a)
}

func (w *world) do(c *caller, a Action) {
	switch a.Kind {
	case Try:
		i := slices.IndexFunc(w.servers, func(s *server) bool { return s.candidate == a.Candidate })
		if slices.Contains(c.went, i) {
			w.t.Fatalf("server %d tried twice", i)
		}
		c.went = append(c.went, i)
		c.last = &attempt{caller: c, server: w.servers[i]}
		w.transit = append(w.transit, c.last)
	case Relay:
		w.final(c, result.OK)
		c.call.Relayed(w.now, true)
	case Answer, Cancel:
		w.final(c, a.Code)
		if c.last != nil && (a.Cancel || a.Kind == Cancel) {
			c.last.dropped = true
		}
	}
}

func (w *world) final(c *caller, code result.Code) {
	c.finals++
	c.code = code
	w.check(c)
}

func (w *world) check(c *caller) {
	if c.finals > 1 {
		w.t.Fatalf("%d final answers", c.finals)
	}
	if c.runs > 1 && (!c.request.Repeatable || c.stream) {
		w.t.Fatalf("%d runs", c.runs)
	}
	if c.runs > 1+c.request.Retries {
		w.t.Fatalf("%d runs with %d retries", c.runs, c.request.Retries)
	}
	if c.finals == 1 && c.code.Outcome() == result.NotRun && c.runs > 0 {
		w.t.Fatalf("told %s after %d runs", c.code, c.runs)
	}
}

// fail tells the caller's side that an attempt ended without an answer, late
// ones too.
func (w *world) fail(a *attempt, d admit.Decision) {
	w.do(a.caller, a.caller.call.Refused(w.now, w.draw(), d.Code, d.RetryAfter))
}

func (w *world) deliver(t *rapid.T) {
	if len(w.transit) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(w.transit)-1).Draw(t, "attempt")
	a := w.transit[i]
	w.transit = slices.Delete(w.transit, i, i+1)
	w.tickets++
	id := w.tickets
	a.server.tickets[id] = a
	w.decide(a.server, a.server.gate.Arrive(w.now, admit.Ticket{
		ID: id, Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Deadline: a.caller.request.Deadline,
		Alone: rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}))
}

func (w *world) decide(s *server, decisions []admit.Decision) {
	for _, d := range decisions {
		a := s.tickets[d.ID]
		delete(s.tickets, d.ID)
		switch {
		case d.Verdict == admit.Refuse:
			w.fail(a, d)
		case !s.up:
			w.fail(a, admit.Decision{Code: result.BackendRefused})
			w.decide(s, s.gate.Finish(w.now, "", 0))
		default:
			w.run(s, a)
		}
	}
}

func (w *world) run(s *server, a *attempt) {
	s.running = append(s.running, a)
	if len(s.running) > slotsEach {
		w.t.Fatalf("%d running on %d slots", len(s.running), slotsEach)
	}
	a.caller.runs++
	w.check(a.caller)
	if a.caller.stream {
		a.caller.call.BodyBegun()
	}
}

func (w *world) anyServer(t *rapid.T) *server {
	return w.servers[rapid.IntRange(0, len(w.servers)-1).Draw(t, "server")]
}

func (w *world) finish(t *rapid.T) {
	s := w.anyServer(t)
	if len(s.running) == 0 {
		t.Skip()
	}
	a := s.running[0]
	s.running = s.running[1:]
	w.do(a.caller, a.caller.call.Answered())
	w.decide(s, s.gate.Finish(w.now, "", time.Millisecond*time.Duration(rapid.IntRange(1, 900).Draw(t, "took"))))
}

// crash ends everything that runs on a server, and flips whether it is up.
func (w *world) crash(t *rapid.T) {
	s := w.anyServer(t)
	s.up = !s.up
	lost := s.running
	s.running = nil
	for _, a := range lost {
		w.fail(a, admit.Decision{Code: result.AnswerLost})
		w.decide(s, s.gate.Finish(w.now, "", 0))
	}
}

func (w *world) drain(t *rapid.T) {
	s := w.anyServer(t)
	w.decide(s, s.gate.Drain())
	if rapid.Bool().Draw(t, "resume") {
		s.gate.Resume()
	}
}

func (w *world) leave(t *rapid.T) {
	open := w.open()
	if len(open) == 0 {
		t.Skip()
	}
	c := open[rapid.IntRange(0, len(open)-1).Draw(t, "caller")]
	w.do(c, c.call.CallerLeft(w.now))
}

func (w *world) open() []*caller {
	return slices.DeleteFunc(slices.Clone(w.calls), func(c *caller) bool { return c.finals > 0 })
}

func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	for _, c := range w.open() {
		if !c.request.Deadline.After(w.now) {
			w.do(c, c.call.Expired(w.now))
		}
	}
}

// TestMain asks for more and longer sessions than rapid's defaults: a second
// run of one request takes several events in order.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "600", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestEveryCallHasOneFinalAnswer: no run twice of what may not be repeated,
// "not run" never ran, slots never exceeded, whatever fails.
func TestEveryCallHasOneFinalAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		step := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) { w.t = t; f(t) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": step(w.begin), "begin2": step(w.begin), "deliver": step(w.deliver), "deliver2": step(w.deliver),
			"finish": step(w.finish), "crash": step(w.crash), "drain": step(w.drain), "leave": step(w.leave), "pass": step(w.pass),
		})
		w.t = t
		w.now = w.now.Add(time.Hour)
		for _, c := range w.open() {
			w.do(c, c.call.Expired(w.now))
		}
		if n := len(w.open()); n > 0 {
			t.Fatalf("%d calls without a final answer", n)
		}
	})
}
