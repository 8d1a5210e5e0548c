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

// simulation models callers, one daemon's flow, and servers with their admission
// control. It records every run on every server and so is also the test oracle.
type simulation struct {
	t         *rapid.T
	now       time.Time
	tickets   uint64
	service   *Service
	servers   []*server
	calls     []*caller
	inTransit []*attempt
}

type server struct {
	candidate *directory.Candidate
	admission *admit.Core
	up        bool
	tickets   map[uint64]*attempt
	running   []*attempt
}

type caller struct {
	request Request
	// stream marks a body that cannot be sent again once a part of it was sent.
	stream bool
	call   *Call
	// lastAttempt is the attempt in progress.
	lastAttempt  *attempt
	triedServers []int
	runs         int
	finalAnswers int
	code         result.Code
}

type attempt struct {
	caller *caller
	server *server
	// cancelled marks an attempt whose events arrive too late to matter.
	cancelled bool
}

const slotsPerServer = 2

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), service: NewService(balance.Location{Node: "n0", Domain: "d0"}, nil)}
	var candidates []*directory.Candidate
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		c := &directory.Candidate{
			Node:   view.Node{Name: fmt.Sprint("n", i), Domain: fmt.Sprint("d", i%3)},
			Server: presence.Server{Addr: fmt.Sprint("s", i), Slots: slotsPerServer, State: presence.Serving},
		}
		candidates = append(candidates, c)
		sim.servers = append(sim.servers, &server{candidate: c, admission: newAdmission(), up: true, tickets: map[uint64]*attempt{}})
	}
	sim.service.Table.Update(candidates, 0)
	return sim
}

func newAdmission() *admit.Core { return admit.New(admit.Config{Slots: slotsPerServer, QueueMax: 3}) }

func (sim *simulation) drawSeed() uint64 { return rapid.Uint64().Draw(sim.t, "seed") }

func (sim *simulation) begin(t *rapid.T) {
	c := &caller{stream: rapid.Bool().Draw(t, "stream"), request: Request{
		Deadline:   sim.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "timeout")) * time.Millisecond),
		Repeatable: rapid.Bool().Draw(t, "repeatable"), Retries: rapid.IntRange(0, 3).Draw(t, "retries"),
	}}
	sim.calls = append(sim.calls, c)
	var a Action
	c.call, a = sim.service.Begin(sim.now, sim.drawSeed(), c.request)
	sim.apply(c, a)
}

func (sim *simulation) apply(c *caller, a Action) {
	switch a.Kind {
	case Try:
		i := slices.IndexFunc(sim.servers, func(s *server) bool { return s.candidate == a.Candidate })
		if slices.Contains(c.triedServers, i) {
			sim.t.Fatalf("server %d tried twice", i)
		}
		c.triedServers = append(c.triedServers, i)
		c.lastAttempt = &attempt{caller: c, server: sim.servers[i]}
		sim.inTransit = append(sim.inTransit, c.lastAttempt)
	case Relay:
		sim.recordFinalAnswer(c, result.OK)
		c.call.Relayed(sim.now, true)
	case Answer, Cancel:
		sim.recordFinalAnswer(c, a.Code)
		if c.lastAttempt != nil && (a.Cancel || a.Kind == Cancel) {
			c.lastAttempt.cancelled = true
		}
	}
}

func (sim *simulation) recordFinalAnswer(c *caller, code result.Code) {
	c.finalAnswers++
	c.code = code
	sim.checkInvariants(c)
}

func (sim *simulation) checkInvariants(c *caller) {
	if c.finalAnswers > 1 {
		sim.t.Fatalf("%d final answers", c.finalAnswers)
	}
	if c.runs > 1 && (!c.request.Repeatable || c.stream) {
		sim.t.Fatalf("%d runs", c.runs)
	}
	if c.runs > 1+c.request.Retries {
		sim.t.Fatalf("%d runs with %d retries", c.runs, c.request.Retries)
	}
	if c.finalAnswers == 1 && c.code.Outcome() == result.NotRun && c.runs > 0 {
		sim.t.Fatalf("answered %s after %d runs", c.code, c.runs)
	}
}

// endAttempt reports to the call that an attempt ended without an answer, also if the
// call is already finished.
func (sim *simulation) endAttempt(a *attempt, d admit.Decision) {
	sim.apply(a.caller, a.caller.call.Refused(sim.now, sim.drawSeed(), d.Code, d.RetryAfter))
}

func (sim *simulation) deliver(t *rapid.T) {
	if len(sim.inTransit) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(sim.inTransit)-1).Draw(t, "attempt")
	a := sim.inTransit[i]
	sim.inTransit = slices.Delete(sim.inTransit, i, i+1)
	sim.tickets++
	id := sim.tickets
	a.server.tickets[id] = a
	sim.decide(a.server, a.server.admission.Arrive(sim.now, admit.Ticket{
		ID: id, Priority: rapid.IntRange(0, 9).Draw(t, "priority"), Deadline: a.caller.request.Deadline,
		Alone: rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}))
}

func (sim *simulation) decide(s *server, decisions []admit.Decision) {
	for _, d := range decisions {
		a := s.tickets[d.ID]
		delete(s.tickets, d.ID)
		switch {
		case d.Verdict == admit.Refuse:
			sim.endAttempt(a, d)
		case !s.up:
			sim.endAttempt(a, admit.Decision{Code: result.BackendRefused})
			sim.decide(s, s.admission.Finish(sim.now, "", 0))
		default:
			sim.run(s, a)
		}
	}
}

func (sim *simulation) run(s *server, a *attempt) {
	s.running = append(s.running, a)
	if len(s.running) > slotsPerServer {
		sim.t.Fatalf("%d running on %d slots", len(s.running), slotsPerServer)
	}
	a.caller.runs++
	sim.checkInvariants(a.caller)
	if a.caller.stream {
		a.caller.call.BodyBegun()
	}
}

func (sim *simulation) drawServer(t *rapid.T) *server {
	return sim.servers[rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server")]
}

func (sim *simulation) finish(t *rapid.T) {
	s := sim.drawServer(t)
	if len(s.running) == 0 {
		t.Skip()
	}
	a := s.running[0]
	s.running = s.running[1:]
	sim.apply(a.caller, a.caller.call.Answered())
	sim.decide(s, s.admission.Finish(sim.now, "", time.Millisecond*time.Duration(rapid.IntRange(1, 900).Draw(t, "took"))))
}

// crash ends everything that runs on a server, and toggles whether the server is up.
func (sim *simulation) crash(t *rapid.T) {
	s := sim.drawServer(t)
	s.up = !s.up
	lost := s.running
	s.running = nil
	for _, a := range lost {
		sim.endAttempt(a, admit.Decision{Code: result.AnswerLost})
		sim.decide(s, s.admission.Finish(sim.now, "", 0))
	}
}

func (sim *simulation) drain(t *rapid.T) {
	s := sim.drawServer(t)
	sim.decide(s, s.admission.Drain(sim.now))
	if rapid.Bool().Draw(t, "resume") {
		s.admission.Resume()
	}
}

func (sim *simulation) callerLeaves(t *rapid.T) {
	open := sim.open()
	if len(open) == 0 {
		t.Skip()
	}
	c := open[rapid.IntRange(0, len(open)-1).Draw(t, "caller")]
	sim.apply(c, c.call.CallerLeft(sim.now))
}

func (sim *simulation) open() []*caller {
	return slices.DeleteFunc(slices.Clone(sim.calls), func(c *caller) bool { return c.finalAnswers > 0 })
}

func (sim *simulation) advance(t *rapid.T) {
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
	for _, c := range sim.open() {
		if !c.request.Deadline.After(sim.now) {
			sim.apply(c, c.call.Expired(sim.now))
		}
	}
}

// TestMain sets more and longer sequences than rapid's defaults: it takes several
// events in order for a request to run a second time.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.checks": "600", "rapid.steps": "100"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestEveryCallHasOneFinalAnswer checks under arbitrary failures that every call gets
// exactly one final answer, that a request which is not repeatable runs at most once,
// that a request answered as not run never ran, and that slots are never exceeded.
func TestEveryCallHasOneFinalAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		step := func(f func(*rapid.T)) func(*rapid.T) {
			return func(t *rapid.T) { sim.t = t; f(t) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": step(sim.begin), "begin2": step(sim.begin), "deliver": step(sim.deliver), "deliver2": step(sim.deliver),
			"finish": step(sim.finish), "crash": step(sim.crash), "drain": step(sim.drain), "leave": step(sim.callerLeaves), "pass": step(sim.advance),
		})
		sim.t = t
		sim.now = sim.now.Add(time.Hour)
		for _, c := range sim.open() {
			sim.apply(c, c.call.Expired(sim.now))
		}
		if n := len(sim.open()); n > 0 {
			t.Fatalf("%d calls without a final answer", n)
		}
	})
}
