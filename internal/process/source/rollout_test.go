package source

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

var (
	rolloutStart = time.Unix(1_000_000, 0).UTC()
	testService  = ServiceName{Mesh: "m", Service: "s"}
)

// rolloutLog applies roll-out entries to a state machine.
type rolloutLog struct {
	c *qt.C
	m *stateMachine
}

func newRolloutLog(c *qt.C) *rolloutLog {
	l := &rolloutLog{c: c, m: newStateMachine(logr.Discard(), func(*fleet.State) {})}
	raw, err := encodeCommand(Command{Manifest: *testManifest("m", 1, "s"), Submitted: rolloutStart})
	c.Assert(err, qt.IsNil)
	o, err := l.m.Apply(1, 1, raw)
	c.Assert(err, qt.IsNil)
	c.Assert(o.Code, qt.Equals, result.Accepted)
	return l
}

func (l *rolloutLog) apply(after time.Duration, e rolloutEntry) Answer {
	e.Name = testService
	raw, err := encodeCommand(Command{Format: formatRollout, Submitted: rolloutStart.Add(after), Rollout: &e})
	l.c.Assert(err, qt.IsNil)
	l.c.Assert(l.m.Check(raw) == nil, qt.IsTrue)
	o, err := l.m.Apply(2, 1, raw)
	l.c.Assert(err, qt.IsNil)
	return o.Answer
}

func (l *rolloutLog) order(after time.Duration, target string) Answer {
	return l.apply(after, rolloutEntry{Action: actionOrder, Target: target, Within: 12 * time.Second})
}

func (l *rolloutLog) step(number uint64, stage fleet.Stage) Answer {
	return l.apply(time.Second, rolloutEntry{Action: actionStep, Number: number, Stage: stage, Why: "test"})
}

func (l *rolloutLog) setInitialVersion(version string) Answer {
	return l.apply(0, rolloutEntry{Action: actionStep, Version: version})
}

func (l *rolloutLog) read() *fleet.Rollout {
	return l.apply(time.Second, rolloutEntry{Action: actionRead}).Rollout
}

// TestRolloutOrders checks the answers to orders during a roll-out that is completed and
// during one that is rolled back.
func TestRolloutOrders(t *testing.T) {
	c := qt.New(t)
	l := newRolloutLog(c)
	c.Check(l.order(0, "v2").Code, qt.Equals, result.RolloutUnsettled)
	c.Check(l.setInitialVersion("v1").Code, qt.Equals, result.Accepted)
	c.Check(l.setInitialVersion("v9").Code, qt.Equals, result.RolloutRunning)
	c.Check(l.apply(0, rolloutEntry{Action: actionRead}).Code, qt.Equals, result.UnknownResource)
	c.Check(l.order(0, "v1").Code, qt.Equals, result.RolloutInvalid)

	c.Check(l.order(0, "v2").Code, qt.Equals, result.Accepted)
	c.Check(l.order(time.Second, "v2").Code, qt.Equals, result.AlreadyAccepted)
	c.Check(l.order(time.Second, "v3").Code, qt.Equals, result.RolloutRunning)
	c.Check(l.step(1, fleet.Handover).Code, qt.Equals, result.RolloutRunning, qt.Commentf("a skipped stage"))
	c.Check(l.step(7, fleet.Proof).Code, qt.Equals, result.RolloutRunning, qt.Commentf("another roll-out"))
	for _, stage := range []fleet.Stage{fleet.Canary, fleet.Proof, fleet.Handover, fleet.Completed} {
		c.Check(l.step(1, stage).Code, qt.Equals, result.Accepted)
	}
	c.Check(l.step(1, fleet.RolledBack).Code, qt.Equals, result.RolloutRunning, qt.Commentf("completed is final"))
	c.Check(l.read().Serving(), qt.Equals, "v2")
	c.Check(l.order(time.Hour, "v2").Code, qt.Equals, result.AlreadyAccepted)

	c.Check(l.order(0, "v3").Code, qt.Equals, result.Accepted)
	c.Check(l.step(2, fleet.RolledBack).Code, qt.Equals, result.Accepted)
	c.Check(l.order(5*time.Second, "v3").Code, qt.Equals, result.AlreadyAccepted, qt.Commentf("a resend"))
	c.Check(l.read().Stage, qt.Equals, fleet.RolledBack)
	c.Check(l.order(time.Minute, "v3").Code, qt.Equals, result.Accepted, qt.Commentf("a new attempt"))
	c.Check(l.apply(time.Minute, rolloutEntry{Action: actionAbort}).Code, qt.Equals, result.Accepted)
	c.Check(l.apply(time.Minute, rolloutEntry{Action: actionAbort}).Code, qt.Equals, result.AlreadyAccepted)
	r := l.read()
	c.Check(r.Stage, qt.Equals, fleet.RolledBack)
	c.Check(r.Number, qt.Equals, uint64(3))
	c.Check(r.Past, qt.HasLen, 2)
	c.Check(r.Past[0].Stage, qt.Equals, fleet.Completed)
}

// TestRolloutOrderFaults checks that invalid orders are rejected before they reach the log.
func TestRolloutOrderFaults(t *testing.T) {
	good := RolloutOrder{ServiceName: testService, Target: "v2", Within: 12 * time.Second}
	for name, change := range map[string]func(*RolloutOrder){
		"service": func(o *RolloutOrder) { o.Service = "" },
		"target":  func(o *RolloutOrder) { o.Target = "" },
		"long":    func(o *RolloutOrder) { o.Target = string(make([]byte, maxVersionName+1)) },
		"zero":    func(o *RolloutOrder) { o.Within = 0 },
		"a day":   func(o *RolloutOrder) { o.Within = 24 * time.Hour },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			o := good
			c.Assert(o.validate() == nil, qt.IsTrue)
			change(&o)
			c.Check(o.validate().Code, qt.Equals, result.RolloutInvalid)
		})
	}
}

// TestRolloutKept checks that a roll-out in any stage is preserved by a snapshot and by new
// manifests of its mesh, complete ones and revisions. Snapshots with roll-outs have a format
// that older releases reject.
func TestRolloutKept(t *testing.T) {
	stages := []fleet.Stage{fleet.Canary, fleet.Proof, fleet.Handover, fleet.Completed}
	for i, stage := range stages {
		c := qt.New(t)
		l := newRolloutLog(c)
		l.setInitialVersion("v1")
		l.order(0, "v2")
		for _, s := range stages[:i+1] {
			l.step(1, s)
		}
		want := l.read()
		raw, err := l.m.Snapshot()
		c.Assert(err, qt.IsNil)
		other := newStateMachine(logr.Discard(), func(*fleet.State) {})
		c.Assert(other.Restore(raw), qt.IsNil)
		c.Check(other.state.Rollout("m", "s"), qt.DeepEquals, want)
		c.Check(other.state.Hash(), qt.Equals, l.m.state.Hash())

		for version, whole := range map[uint64]bool{2: false, 3: true} {
			base := l.m.diffBase.Load()
			if whole {
				base = emptyDiffBase
			}
			cmd, err := base.diffCommand(&Order{Manifest: *testManifest("m", version, "s")}, rolloutStart)
			c.Assert(err, qt.IsNil)
			raw, err := encodeCommand(cmd)
			c.Assert(err, qt.IsNil)
			if version < l.m.newest("m").Version {
				continue
			}
			o, err := l.m.Apply(9, 1, raw)
			c.Assert(err, qt.IsNil)
			c.Check(o.Code, qt.Equals, result.Accepted)
		}
		c.Check(l.read(), qt.DeepEquals, want)
		c.Check(l.read().Stage, qt.Equals, stage)
	}
}

// TestRolloutSessions applies random entries. It checks that a final stage changes only by
// another order, and that every copy of the log ends in the same state.
func TestRolloutSessions(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(t *rapid.T) {
		l, copied := newRolloutLog(c), newRolloutLog(c)
		for range rapid.IntRange(1, 40).Draw(t, "entries") {
			before := l.m.state.Rollout("m", "s")
			e := rolloutEntry{
				Action: uint8(rapid.IntRange(0, 5).Draw(t, "act")),
				Target: rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "target"),
				Within: rapid.SampledFrom([]time.Duration{5 * time.Second, 12 * time.Second}).Draw(t, "within"),
				Number: uint64(rapid.IntRange(0, 4).Draw(t, "number")), Version: "v1",
				Stage: fleet.Stage(rapid.IntRange(0, 6).Draw(t, "stage")), Servers: rapid.IntRange(0, 5).Draw(t, "servers"),
			}
			after := time.Duration(rapid.IntRange(0, 60).Draw(t, "after")) * time.Second
			first, second := l.apply(after, e), copied.apply(after, e)
			if first.Code != second.Code {
				t.Fatalf("answered %v by the first copy, %v by the second", first.Code, second.Code)
			}
			now := l.m.state.Rollout("m", "s")
			if before != nil && before.Stage.Final() && now.Number == before.Number && now.Stage != before.Stage {
				t.Fatalf("stage %s after the final stage %s", now.Stage, before.Stage)
			}
			if now != nil && now.Stage.Running() && (now.Target == now.Version || now.Target == "") {
				t.Fatalf("invalid roll-out from %q to %q", now.Version, now.Target)
			}
			if first.Code != result.Accepted && l.m.state.Hash() != copied.m.state.Hash() {
				t.Fatal("a rejected entry changed the state")
			}
		}
		if l.m.state.Hash() != copied.m.state.Hash() || l.m.state.Version != copied.m.state.Version {
			t.Fatal("two copies of the log differ")
		}
	})
}
