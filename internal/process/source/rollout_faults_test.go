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

// TestRolloutsUnderFaults draws orders, steps and reads of a roll-out under the faults of
// TestLossesInSeries: leaders lost, power lost, disks lost within what is borne. What was
// acknowledged is never lost, no read is older than what was told before it was asked, and
// a decision once told stays.
func TestRolloutsUnderFaults(t *testing.T) { rapid.Check(t, rolloutsUnderFaults) }

func rolloutsUnderFaults(t *rapid.T) {
	f := &faulty{testCluster: openGrowing(), t: t, versions: map[string]uint64{}}
	o := &rolloutObserver{faulty: f, decided: map[uint64]fleet.Stage{}}
	o.begin()
	actions := []func(){
		o.order, o.step, o.step, o.step, o.read, o.read, f.deliverSome, f.deliverSome, f.deliverTo, f.runSome, f.runSome,
		f.campaign, f.dropSome, f.hold, f.release, f.crashOne, f.startAll, f.away, f.behind,
		f.powerLoss, f.loseHolders, f.powerLossWithDisks,
	}
	f.act(10, 80, actions)
	f.healReplaced()
	answered := o.readAt(f.leader())
	f.run(20)
	if f.fault != "" || !*answered {
		t.Fatalf("the roll-out cannot be read after the faults stopped: %s", f.fault)
	}
}

// rolloutObserver is a cluster with what was told of one roll-out.
type rolloutObserver struct {
	*faulty
	// known is the newest that was told to anyone.
	known   fleet.Rollout
	decided map[uint64]fleet.Stage
	tries   int
}

// begin puts a service with a known version into the log before any fault.
func (o *rolloutObserver) begin() {
	for range 200 {
		o.run(5)
		if m := o.leader(); m != nil && m.node != nil {
			o.submit(m, testManifest(rolledOut.Mesh, 1, rolledOut.Service))
			admitted := false
			o.enter(m, rolloutEntry{Act: actStep, Version: "v0"}, func(a Answer) { admitted = a.Rollout != nil })
			o.run(20)
			if admitted {
				return
			}
		}
	}
	o.blame("no version could be admitted")
}

func (o *rolloutObserver) enter(m *testMember, e rolloutEntry, told func(Answer)) {
	e.Name = rolledOut
	o.propose(m, Command{Format: formatRollout, Submitted: time.Unix(int64(o.tries), 0).UTC(), Rollout: &e}, told)
	o.settle(m)
}

func (o *rolloutObserver) propose(m *testMember, c Command, told func(Answer)) {
	raw, err := encodeCommand(c)
	if err != nil {
		o.t.Fatal(err)
	}
	m.node.Propose(raw, func(out outcome, err error) {
		told(travelled(o.t, outcome{Answer: answerOf(out, err)}).finish())
	})
}

// told holds an answer against what was told before the question was put.
func (o *rolloutObserver) told(floor fleet.Rollout, a Answer) {
	r := a.Rollout
	if r == nil {
		return
	}
	if cmp.Or(cmp.Compare(r.Number, floor.Number), cmp.Compare(rank(r.Stage), rank(floor.Stage))) < 0 {
		o.blame("told %d %s after %d %s", r.Number, r.Stage, floor.Number, floor.Stage)
	}
	if was, decided := o.decided[r.Number]; decided && was != r.Stage {
		o.blame("roll-out %d was %s and is %s", r.Number, was, r.Stage)
	}
	if r.Stage.Final() && r.Number > 0 {
		o.decided[r.Number] = r.Stage
	}
	if r.Number > o.known.Number || (r.Number == o.known.Number && rank(r.Stage) > rank(o.known.Stage)) {
		o.known = *r
	}
}

// rank orders the stages; both final ones end a roll-out.
func rank(s fleet.Stage) fleet.Stage { return min(s, fleet.Completed) }

func (o *rolloutObserver) order() {
	if m := o.pick(); m.node != nil {
		o.tries += 100
		floor := o.known
		e := rolloutEntry{Act: actOrder, Target: fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(o.t, "target")), Within: 10 * time.Second}
		o.enter(m, e, func(a Answer) { o.told(floor, a) })
	}
}

func (o *rolloutObserver) step() {
	if m := o.pick(); m.node != nil {
		floor := o.known
		next := floor.Stage + 1
		if rapid.IntRange(0, 5).Draw(o.t, "back") == 0 || next > fleet.Completed {
			next = fleet.RolledBack
		}
		o.enter(m, rolloutEntry{Act: actStep, Number: max(floor.Number, 1), Stage: next}, func(a Answer) {
			if a.Code == result.Accepted {
				o.told(floor, a)
			}
		})
	}
}

func (o *rolloutObserver) read() {
	if m := o.pick(); m.node != nil {
		o.readAt(m)
	}
}

func (o *rolloutObserver) readAt(m *testMember) *bool {
	answered, floor := new(bool), o.known
	o.enter(m, rolloutEntry{Act: actRead}, func(a Answer) {
		*answered = *answered || a.Code == result.Answered || a.Code == result.UnknownResource
		o.told(floor, a)
		if a.Code == result.UnknownResource && floor.Number > 0 {
			o.blame("roll-out %d was acknowledged and is unknown", floor.Number)
		}
	})
	return answered
}
