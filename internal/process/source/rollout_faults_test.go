package source

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestRolloutsUnderFaults runs random orders, steps and reads of a roll-out under the faults
// of TestLossesInSeries: loss of leaders, of power, and of as many disks as the group
// tolerates. It checks that acknowledged operations are never lost, that reads are not older
// than answers given before the read, and that a final stage never changes.
func TestRolloutsUnderFaults(t *testing.T) { rapid.Check(t, rolloutsUnderFaults) }

func rolloutsUnderFaults(t *rapid.T) {
	f := &faultTest{testCluster: newGrownCluster(), t: t, versions: map[string]uint64{}}
	o := &rolloutObserver{faultTest: f, decided: map[uint64]fleet.Stage{}}
	o.begin()
	actions := []func(){
		o.orderRollout, o.advanceRollout, o.advanceRollout, o.advanceRollout, o.read, o.read, f.deliverSome, f.deliverSome, f.deliverTo, f.runSome, f.runSome,
		f.tickOne, f.dropSome, f.delaySome, f.deliverDelayed, f.crashOne, f.startAll, f.stopOne, f.isolateSome,
		f.powerLoss, f.loseNewestHolders, f.powerLossWithDisks,
	}
	f.runActions(10, 80, actions)
	f.checkRecoveryAfterRestart()
	answered := o.readAt(f.leader())
	f.run(20)
	if f.violation != "" || !*answered {
		t.Fatalf("the roll-out cannot be read after the faults stopped: %s", f.violation)
	}
}

// rolloutObserver is a cluster that records the answers about one service's roll-outs.
type rolloutObserver struct {
	*faultTest
	// newestSeen is the newest roll-out state in any answer.
	newestSeen fleet.Rollout
	decided    map[uint64]fleet.Stage
	nowSeconds int
}

// begin creates a service with an initial version before any fault is injected.
func (o *rolloutObserver) begin() {
	for range 200 {
		o.run(5)
		if m := o.leader(); m != nil && m.node != nil {
			o.submit(m, testManifest(testService.Mesh, 1, testService.Service))
			accepted := false
			o.proposeEntry(m, rolloutEntry{Action: actionStep, Version: "v0"}, func(a Answer) { accepted = a.Rollout != nil })
			o.run(20)
			if accepted {
				return
			}
		}
	}
	o.reportViolation("the initial version of the service was not accepted")
}

func (o *rolloutObserver) proposeEntry(m *testMember, e rolloutEntry, done func(Answer)) {
	e.Name = testService
	o.propose(m, Command{Format: formatRollout, Submitted: time.Unix(int64(o.nowSeconds), 0).UTC(), Rollout: &e}, done)
	o.finishWork(m)
}

func (o *rolloutObserver) propose(m *testMember, c Command, done func(Answer)) {
	raw, err := encodeCommand(c)
	if err != nil {
		o.t.Fatal(err)
	}
	m.node.Propose(raw, func(out outcome, err error) {
		done(roundTrip(o.t, outcome{Answer: toAnswer(out, err)}).packedAnswer())
	})
}

// checkRollout checks an answer against floor, the newest answer given before the request.
func (o *rolloutObserver) checkRollout(floor fleet.Rollout, a Answer) {
	r := a.Rollout
	if r == nil {
		return
	}
	if cmp.Or(cmp.Compare(r.Number, floor.Number), cmp.Compare(stageRank(r.Stage), stageRank(floor.Stage))) < 0 {
		o.reportViolation("answered roll-out %d in stage %s after %d in stage %s", r.Number, r.Stage, floor.Number, floor.Stage)
	}
	if earlier, decided := o.decided[r.Number]; decided && earlier != r.Stage {
		o.reportViolation("roll-out %d changed its final stage from %s to %s", r.Number, earlier, r.Stage)
	}
	if r.Stage.Final() && r.Number > 0 {
		o.decided[r.Number] = r.Stage
	}
	if r.Number > o.newestSeen.Number || (r.Number == o.newestSeen.Number && stageRank(r.Stage) > stageRank(o.newestSeen.Stage)) {
		o.newestSeen = *r
	}
}

// stageRank returns the order of a stage; both final stages have the same rank.
func stageRank(s fleet.Stage) fleet.Stage { return min(s, fleet.Completed) }

func (o *rolloutObserver) orderRollout() {
	if m := o.pickMember(); m.node != nil {
		o.nowSeconds += 100
		floor := o.newestSeen
		e := rolloutEntry{Action: actionOrder, Target: fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(o.t, "target")), Within: 10 * time.Second}
		o.proposeEntry(m, e, func(a Answer) { o.checkRollout(floor, a) })
	}
}

func (o *rolloutObserver) advanceRollout() {
	if m := o.pickMember(); m.node != nil {
		floor := o.newestSeen
		next := floor.Stage + 1
		if rapid.IntRange(0, 5).Draw(o.t, "back") == 0 || next > fleet.Completed {
			next = fleet.RolledBack
		}
		o.proposeEntry(m, rolloutEntry{Action: actionStep, Number: max(floor.Number, 1), Stage: next}, func(a Answer) {
			if a.Code == result.Accepted {
				o.checkRollout(floor, a)
			}
		})
	}
}

func (o *rolloutObserver) read() {
	if m := o.pickMember(); m.node != nil {
		o.readAt(m)
	}
}

func (o *rolloutObserver) readAt(m *testMember) *bool {
	answered, floor := new(bool), o.newestSeen
	o.proposeEntry(m, rolloutEntry{Action: actionRead}, func(a Answer) {
		*answered = *answered || a.Code == result.Answered || a.Code == result.UnknownResource
		o.checkRollout(floor, a)
		if a.Code == result.UnknownResource && floor.Number > 0 {
			o.reportViolation("roll-out %d was acknowledged but is unknown", floor.Number)
		}
	})
	return answered
}
