package main

import (
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// testStart is the start time of the synthetic histories.
var testStart = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history in which every promise is kept.
func validHistory() *History {
	h := &History{
		Begin: testStart, SteadyFrom: at(10), End: at(20), Services: map[string]string{"d": serviceA},
		Changes: []ConfigChange{
			{Version: 1, Moving: serviceA, At: at(0), Acked: at(0.1)},
			{Version: 3, Base: 1, Moving: serviceA, At: at(5), Acked: at(5.1)},
		},
		Sources: []string{"s", "t"},
		Reads:   []ConfigRead{{At: at(6), Source: "t", Version: 3}, {At: at(21), Source: "s", Version: 3}, {At: at(22), Source: "t", Version: 3}},
	}
	for _, id := range []string{"a", "b"} {
		h.Sent = append(h.Sent, SentRequest{
			ID: id, Daemon: "d", Method: "POST", Path: pathUnsafe + id, Kind: "unsafe", Body: 7,
			At: at(11), Ended: at(11.1), Status: 200, Valid: true, Signed: true,
		})
		h.Runs = append(h.Runs, Exec{ID: id, Boot: "s-1", Service: serviceA, Method: "POST", Path: pathUnsafe + id, Origin: serviceA, Body: 7, At: at(11.05)})
	}
	return h
}

func TestSoundHistoryIsSound(t *testing.T) {
	qt.New(t).Check(check(validHistory()).Violations, qt.HasLen, 0)
}

// TestBrokenPromisesAreFound violates each promise in turn and checks that it is reported.
func TestBrokenPromisesAreFound(t *testing.T) {
	for name, corrupt := range map[string]func(h *History){
		"MIXED unsigned":       func(h *History) { h.Sent[0].Valid, h.Sent[0].Signed = false, false },
		"MIXED other status":   func(h *History) { h.Sent[0].Valid, h.Sent[0].Status = false, 500 },
		"TWICE":                func(h *History) { h.Runs = append(h.Runs, h.Runs[0]) },
		"REFUSED and ran":      func(h *History) { h.Sent[0].Status = 503; h.Sent[0].Valid, h.Sent[0].Signed = false, false },
		"REFUSED runs later":   func(h *History) { h.Runs[0].At = at(15); h.Sent[0].Status = 504; h.Sent[0].Signed = false },
		"UNASKED id":           func(h *History) { h.Runs = append(h.Runs, Exec{ID: "nobody's", Service: serviceA, Path: pathSafe}) },
		"UNASKED body":         func(h *History) { h.Runs[0].Body = 8 },
		"UNASKED path":         func(h *History) { h.Runs[0].Path = pathUnsafe + "other" },
		"UNASKED origin":       func(h *History) { h.Runs[0].Origin = serviceB },
		"ROUTE":                func(h *History) { h.Runs[0].Service = serviceB },
		"ROUTE moving":         func(h *History) { misroute(h, serviceB) },
		"BUDGET of calls":      func(h *History) { addRepeats(h, serviceB) },
		"BUDGET of a service":  func(h *History) { addRepeats(h, serviceA) },
		"CONFIG refused":       func(h *History) { h.Changes[1].RefusedAfterAck = true },
		"CONFIG both":          func(h *History) { h.Changes = append(h.Changes, ConfigChange{Version: 2, Base: 1, Acked: at(5)}) },
		"CONFIG old read":      func(h *History) { h.Reads[1].Version = 1 },
		"CONFIG read at once":  func(h *History) { h.Reads[0] = ConfigRead{At: at(5.2), Source: "t", Version: 1} },
		"LOST configuration":   func(h *History) { h.Reads[1].At, h.Reads[2].At = at(19), at(19) },
		"LOST at one source":   func(h *History) { h.Reads[2].Source = "s" },
		"LOST request":         func(h *History) { loseRequest(h) },
		"DRAIN":                func(h *History) { h.Drains = []AckedDrain{{Boot: "s-1", At: at(8)}} },
		"DRAIN stated":         func(h *History) { addStated(h, headerLeaving, 1) },
		"LIMIT":                func(h *History) { addStated(h, headerLimit, 25) },
		"BUDGET":               func(h *History) { repeatExecutions(h) },
		"REFUSED calls fail":   func(h *History) { refuseSafe(h) },
		"CALL late":            func(h *History) { addCall(h, at(15), 2500*time.Millisecond) },
		"CALL unanswered":      func(h *History) { addCall(h, at(15), 0) },
		"BUDGET crashes":       func(h *History) { crashServers(h) },
		"FLOOR":                func(h *History) { starveRoute(h) },
		"RECOVER":              func(h *History) { h.Sent[1].Status = 504; h.Sent[1].Signed = false },
		"EXIT ended by itself": func(h *History) { h.Faults = []Fault{{Kind: unexpectedExit, Target: "d", At: at(3)}} },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := validHistory()
			corrupt(h)
			broken := check(h).Violations
			c.Assert(len(broken) > 0, qt.IsTrue)
			c.Check(strings.HasPrefix(broken[0], strings.Fields(name)[0]), qt.IsTrue, qt.Commentf("%v", broken))
		})
	}
}

// crashServers adds a request that crashes servers again and again.
func crashServers(h *History) {
	for i, second := range []float64{1, 1.1, 1.2, 5, 5.5, 6, 6.5} {
		t, id := at(second), "crash-"+strconv.Itoa(i)
		h.Faults = append(h.Faults, Fault{Kind: crashedByCaller, Target: "b", At: t, Until: t})
		h.Sent = append(h.Sent, SentRequest{ID: id, Daemon: "d", Method: "GET", Path: pathCrash, Kind: "safe", At: t, Ended: t})
		h.Runs = append(h.Runs, Exec{ID: id, Boot: "s-1", Service: serviceA, Method: "GET", Path: pathCrash, Origin: serviceA, At: t})
	}
}

// refuseSafe refuses a safe request that was executed.
func refuseSafe(h *History) {
	h.Sent[0].Kind, h.Sent[0].Code, h.Sent[0].Outcome = "safe", "228", outcomeNotRun
	h.Sent[0].Status, h.Sent[0].Valid, h.Sent[0].Signed = 503, false, false
}

// addCall adds a call that is refused after some time, or not answered if that is 0.
func addCall(h *History, sent time.Time, after time.Duration) {
	s := SentRequest{ID: "called", Daemon: "d", Path: pathCalled + "called", Kind: "safe", At: sent, Ended: sent.Add(after), Deadline: requestDeadline}
	if after > 0 {
		s.Status = 503
	}
	h.Sent = append(h.Sent, s)
}

// starveRoute adds requests on a route that are all refused, and more that are served.
func starveRoute(h *History) {
	for i := range 20 * floorRequests {
		s := SentRequest{ID: "floor" + strconv.Itoa(i), Daemon: "d", Path: pathSafe, Kind: "safe", At: at(12), Ended: at(12.1), Status: 200, Valid: true, Signed: true}
		if i < floorRequests {
			s.Path, s.Status, s.Valid, s.Signed = pathUpload, 503, false, false
		}
		h.Sent = append(h.Sent, s)
	}
}

// TestFaultExcusesCall checks that a late call is no violation while its daemon is frozen.
func TestFaultExcusesCall(t *testing.T) {
	h := validHistory()
	addCall(h, at(5), 2500*time.Millisecond)
	h.Faults = []Fault{{Kind: "frozen", Target: "d", At: at(6), Until: at(7)}}
	qt.New(t).Check(check(h).Violations, qt.HasLen, 0)
}

// misroute executes a request of the moving route at a service that no configuration names.
func misroute(h *History, service string) {
	h.Sent[0].Path, h.Runs[0].Path, h.Runs[0].Service = pathMoving+"a", pathMoving+"a", service
}

// loseRequest drops the answer of a request during a planned stop of its daemon.
func loseRequest(h *History) {
	h.SteadyFrom = at(30)
	h.Sent[0].Status, h.Sent[0].Valid, h.Sent[0].Signed = 0, false, false
	h.Faults = []Fault{{Kind: "planned stop", Target: "d", At: at(10), Until: at(12), Planned: true}}
	h.Sent = append(h.Sent, SentRequest{ID: "c", Daemon: "d", At: at(31), Status: 200, Valid: true, Signed: true, Kind: "safe"})
}

// repeatExecutions executes one safe request 100 times.
func repeatExecutions(h *History) {
	s := SentRequest{ID: "f", Daemon: "d", Method: "GET", Path: pathSafe + "f", Kind: "safe", At: at(11), Ended: at(12), Status: 200, Valid: true, Signed: true}
	h.Sent = append(h.Sent, s)
	for range 100 {
		h.Runs = append(h.Runs, Exec{ID: "f", Boot: "s-1", Service: serviceA, Method: "GET", Path: s.Path, Origin: serviceA, At: at(11.5)})
	}
}

// addStated adds a response in which a boot states something, and requests that arrive there
// later through the daemon that passed it on. The boot states a limit of 3 requests per second.
func addStated(h *History, header string, requests int) {
	h.Limits = []LimitChange{{Boot: "s-1", At: at(1), Limited: true, PerSecond: 3}}
	h.Sent[0].Stated, h.Sent[0].StatedBy = []string{header}, "s-1"
	for i := range requests {
		id := "stated" + strconv.Itoa(i)
		h.Sent = append(h.Sent, SentRequest{ID: id, Daemon: "d", Method: "GET", Path: pathSafe + id, Kind: "safe", At: at(14), Ended: at(14.1), Status: 200, Valid: true, Signed: true})
		h.Arrivals = append(h.Arrivals, Arrival{ID: id, Service: serviceA, Boot: "s-1", At: at(14)})
	}
}

// TestStatementsAreRespected checks that what the limit allows is no violation, nor a request for
// another boot, nor what comes from a daemon that was restarted since it was told.
func TestStatementsAreRespected(t *testing.T) {
	c := qt.New(t)
	h := validHistory()
	addStated(h, headerLimit, 23)
	c.Check(check(h).Violations, qt.HasLen, 0)
	h = validHistory()
	addStated(h, headerLeaving, 1)
	h.Arrivals[0].Misdirected = true
	c.Check(check(h).Violations, qt.HasLen, 0)
	h = validHistory()
	addStated(h, headerLeaving, 1)
	h.Faults = []Fault{{Kind: "killed", Target: "d", At: at(12), Until: at(13)}}
	c.Check(check(h).Violations, qt.HasLen, 0)
}

// addRepeats adds requests whose arrivals all count as repeats.
func addRepeats(h *History, service string) {
	path := pathSafe
	if service == serviceB {
		path = pathCalled
	}
	for i := range 100 {
		id := strconv.Itoa(i)
		h.Sent = append(h.Sent, SentRequest{ID: id, Daemon: "d", Method: "GET", Path: path + id, Kind: "safe", At: at(12), Ended: at(12.1), Status: 200, Valid: true, Signed: true})
		h.Arrivals = append(h.Arrivals, Arrival{ID: id, Service: service, At: at(12), Repeat: true})
	}
}
