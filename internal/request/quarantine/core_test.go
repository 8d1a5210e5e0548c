package quarantine_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/request/quarantine"
)

func init() {
	// A fixed seed makes the sequences reproducible; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

var start = time.UnixMilli(1 << 40)

func identity(name string) quarantine.Identity {
	return quarantine.Identity{Mesh: "m", Method: "POST", Path: "/" + name}
}

func fingerprint(name string) quarantine.Fingerprint {
	id := identity(name)
	return id.Fingerprint()
}

// TestSessions replays golden sessions of the daemons a, b and c, each with one server on
// its instance. A line is
//
//	<second> <daemon> begin|alone|drop|well|lost|cut|left|judge <request>
//
// lost ends a run whose server no longer listens, cut one whose server still does.
// Reports are exchanged after each line.
func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		f := newFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.SplitSeq(d.Input, "\n") {
				var second int
				var daemon, event, request string
				_, err := fmt.Sscan(line, &second, &daemon, &event, &request)
				qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", line))
				f.now = start.Add(time.Duration(second) * time.Second)
				fmt.Fprintf(&out, "%s -> %s\n", line, f.runEvent(daemon, event, request))
				f.spread()
			}
			return out.String()
		})
	})
}

type fleet struct {
	now    time.Time
	cores  map[string]*quarantine.Core
	runIDs map[string]uint64
}

func newFleet() *fleet {
	f := &fleet{now: start, cores: map[string]*quarantine.Core{}, runIDs: map[string]uint64{}}
	for _, name := range daemons {
		f.cores[name] = quarantine.New(quarantine.DefaultConfig())
	}
	return f
}

var daemons = []string{"a", "b", "c"}

func (f *fleet) spread() {
	for name, core := range f.cores {
		var reports []quarantine.Suspect
		for other, c := range f.cores {
			if other != name {
				for _, r := range c.Reports() {
					r.Source = other
					reports = append(reports, r)
				}
			}
		}
		core.Learn(f.now, reports)
	}
}

func (f *fleet) runEvent(daemon, event, request string) string {
	core, run := f.cores[daemon], daemon+request
	end := func(outcome quarantine.Outcome, listening bool) string {
		crashed, changed := core.End(f.now, daemon, f.runIDs[run], outcome, listening)
		return fmt.Sprintf("crashed %t, changed %t", crashed, changed)
	}
	switch event {
	case "begin", "alone":
		f.runIDs[run] = core.Begin(f.now, daemon, identity(request), event == "alone")
		return "runs"
	case "drop":
		core.RecordConnectionLoss(f.now, daemon, f.runIDs[run])
		return "lost its connection"
	case "well":
		return end(quarantine.Completed, true)
	case "left":
		return end(quarantine.Aborted, true)
	case "lost":
		return end(quarantine.ConnectionLost, false)
	case "cut":
		return end(quarantine.ConnectionLost, true)
	}
	switch v := core.Judge(f.now, new(identity(request))); v.Mode {
	case quarantine.Alone:
		return "alone"
	case quarantine.Refused:
		return "refused for " + v.Until.Sub(f.now).String()
	}
	return "free"
}

// TestCulpritIsFound sends requests through three daemons and kills servers. Some of the
// requests crash every server and are sent again afterwards. An oracle that knows them
// checks that each is refused everywhere after at most two crashes, or three if the other
// servers crashed around the second; that a suspect never runs together with others; and
// that a harmless request is only refused if it ran alone when its server was killed.
func TestCulpritIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{fleet: newFleet(), runs: map[string]map[string]bool{}, crashes: map[string]int{}, killedAlone: map[string]bool{}, aloneCrashes: map[string][]crash{}}
		for _, d := range daemons {
			o.runs[d] = map[string]bool{}
		}
		t.Repeat(map[string]func(*rapid.T){
			"send":    o.send,
			"proceed": o.endOne,
			"kill":    o.kill,
			"cut":     o.cutConnection,
			"rest":    o.pause,
			"":        o.check,
		})
		o.checkAllFree(t)
	})
}

var (
	harmlessRequests = []string{"i1", "i2", "i3", "i4"}
	crashingRequests = []string{"x", "y"}
)

type oracle struct {
	*fleet
	// runs holds the runs in progress by server and request; the value is whether it runs alone.
	runs    map[string]map[string]bool
	crashes map[string]int
	// killedAlone are the harmless requests that ran alone when their server was killed.
	killedAlone map[string]bool
	// allCrashes are all crashes of servers, aloneCrashes those at which a request ran
	// alone, by request.
	allCrashes   []crash
	aloneCrashes map[string][]crash
}

type crash struct {
	server string
	at     time.Time
}

// excused reports whether a request may be excused once: servers of both other daemons
// crashed within two seconds of a crash at which it ran alone.
func (o *oracle) excused(request string) bool {
	for _, own := range o.aloneCrashes[request] {
		others := map[string]bool{}
		for _, other := range o.allCrashes {
			if other.server != own.server && other.at.Sub(own.at).Abs() < 2*time.Second {
				others[other.server] = true
			}
		}
		if len(others) == 2 {
			return true
		}
	}
	return false
}

// pause separates crashes in time. All pauses together stay below the shortest refusal.
func (o *oracle) pause(*rapid.T) {
	if o.now.Before(start.Add(45 * time.Second)) {
		o.now = o.now.Add(5 * time.Second)
	}
}

func (o *oracle) isRunning(request string) bool {
	for _, serverRuns := range o.runs {
		if _, ok := serverRuns[request]; ok {
			return true
		}
	}
	return false
}

func (o *oracle) send(t *rapid.T) {
	o.now = o.now.Add(10 * time.Millisecond)
	request := rapid.SampledFrom(append(crashingRequests, harmlessRequests...)).Draw(t, "request")
	via := rapid.SampledFrom(daemons).Draw(t, "via")
	if request[0] != 'i' && o.isRunning(request) {
		return
	}
	verdict := o.cores[via].Judge(o.now, new(identity(request)))
	if verdict.Mode == quarantine.Refused {
		if request[0] == 'i' && !o.killedAlone[request] {
			t.Fatalf("harmless request %s is refused", request)
		}
		return
	}
	to := rapid.SampledFrom(daemons).Draw(t, "to")
	if _, running := o.runs[to][request]; running {
		return
	}
	alone := verdict.Mode == quarantine.Alone || o.cores[to].Judge(o.now, new(identity(request))).Mode == quarantine.Alone
	if !o.admits(to, alone) {
		return
	}
	o.runs[to][request] = alone
	o.runEvent(to, map[bool]string{false: "begin", true: "alone"}[alone], request)
}

// admits models the admission control of a server: a request that runs alone has the
// server for itself.
func (o *oracle) admits(to string, alone bool) bool {
	for _, other := range o.runs[to] {
		if alone || other {
			return false
		}
	}
	return true
}

// endOne ends one request: a crashing one by a crash, a harmless one with an answer.
func (o *oracle) endOne(t *rapid.T) {
	at := rapid.SampledFrom(daemons).Draw(t, "at")
	for _, request := range append(crashingRequests, harmlessRequests...) {
		if _, running := o.runs[at][request]; !running {
			continue
		}
		if request[0] != 'i' {
			o.crashes[request]++
			o.crash(t, at)
			return
		}
		o.runEvent(at, "well", request)
		delete(o.runs[at], request)
		delete(o.killedAlone, request)
		o.spread()
		return
	}
}

func (o *oracle) kill(t *rapid.T) {
	at := rapid.SampledFrom(daemons).Draw(t, "at")
	for request, alone := range o.runs[at] {
		o.killedAlone[request] = o.killedAlone[request] || alone
	}
	o.crash(t, at)
}

// crash ends every run of a server, in any order. The server may be restarted before its
// daemon checks whether it listens.
func (o *oracle) crash(t *rapid.T, at string) {
	o.allCrashes = append(o.allCrashes, crash{at, o.now})
	for request, alone := range o.runs[at] {
		if alone {
			o.aloneCrashes[request] = append(o.aloneCrashes[request], crash{at, o.now})
		}
	}
	var requests []string
	for _, request := range append(crashingRequests, harmlessRequests...) {
		if _, running := o.runs[at][request]; running {
			requests = append(requests, request)
			o.runEvent(at, "drop", request)
		}
	}
	event := "lost"
	if len(requests) > 1 && rapid.Bool().Draw(t, "back at once") {
		event = "cut"
	}
	for _, request := range rapid.Permutation(requests).Draw(t, "order") {
		o.runEvent(at, event, request)
	}
	o.runs[at] = map[string]bool{}
	o.spread()
}

// cutConnection closes the connection of one request while the server keeps running.
func (o *oracle) cutConnection(t *rapid.T) {
	at := rapid.SampledFrom(daemons).Draw(t, "at")
	for _, request := range harmlessRequests {
		if _, running := o.runs[at][request]; running && len(o.runs[at]) != 2 {
			before := len(o.cores[at].Reports())
			o.runEvent(at, "drop", request)
			o.runEvent(at, "cut", request)
			delete(o.runs[at], request)
			if len(o.cores[at].Reports()) != before {
				t.Fatalf("a closed connection of %s was reported as a crash", request)
			}
			return
		}
	}
}

func (o *oracle) check(t *rapid.T) {
	for request, crashes := range o.crashes {
		limit := 2
		if o.excused(request) {
			limit = 3
		}
		if crashes > limit {
			t.Fatalf("%s crashed %d servers", request, crashes)
		}
		for _, d := range daemons {
			if v := o.cores[d].Judge(o.now, new(identity(request))); crashes == limit && v.Mode != quarantine.Refused {
				t.Fatalf("%s is not refused at %s after %d crashes", request, d, crashes)
			}
		}
	}
	for at, serverRuns := range o.runs {
		for request, alone := range serverRuns {
			if alone && len(serverRuns) > 1 {
				t.Fatalf("%s does not run alone at %s", request, at)
			}
		}
	}
}

// checkAllFree checks that no harmless request is refused forever.
func (o *oracle) checkAllFree(t *rapid.T) {
	cfg := quarantine.DefaultConfig()
	o.now = o.now.Add(cfg.MaxHold + cfg.Memory)
	for _, d := range daemons {
		for _, request := range harmlessRequests {
			if v := o.cores[d].Judge(o.now, new(identity(request))); v.Mode != quarantine.Free {
				t.Fatalf("%s is not free at %s", request, d)
			}
		}
	}
}
