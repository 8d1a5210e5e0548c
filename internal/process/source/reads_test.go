package source

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestReadsUnderFaults draws orders, each on a base, and reads, under the faults of
// TestLossesInSeries, and holds the whole history against what operators were told: of
// the orders on one base one is accepted, and a read is no older than what had been
// acknowledged when it was asked, with the text of the version it names. Answers travel
// as they do from the leader to the source that was asked; the sessions before this one
// took them from the leader itself, and found all in order while no read got through.
func TestReadsUnderFaults(t *testing.T) { rapid.Check(t, readsUnderFaults) }

func readsUnderFaults(t *rapid.T) {
	f := &faulty{testCluster: openGrowing(), t: t, versions: map[string]uint64{}}
	o := &observed{faulty: f, winners: map[uint64]uint64{}}
	actions := []func(){
		o.orderSome, o.orderSome, o.orderSome, o.read, o.read, o.read, f.deliverSome, f.deliverSome, f.deliverTo, f.runSome, f.runSome,
		f.campaign, f.dropSome, f.hold, f.release, f.crashOne, f.startAll, f.away, f.behind,
		f.powerLoss, f.loseHolders, f.powerLossWithDisks,
	}
	f.act(10, 80, actions)
	f.healReplaced()
	answered := o.readAt(f.leader())
	f.run(20)
	if f.fault != "" || !*answered {
		t.Fatalf("the newest version cannot be read after the faults stopped: %s", f.fault)
	}
}

// readMesh is the mesh whose orders and reads are observed.
const readMesh = "read"

// observed is a cluster with what operators were told of readMesh.
type observed struct {
	*faulty
	// acknowledged is the newest version that was acknowledged.
	acknowledged uint64
	// winners are the versions acknowledged on each base.
	winners map[uint64]uint64
}

// orderSome hands in one order or two, on what was acknowledged last or on none.
func (o *observed) orderSome() {
	base := o.acknowledged
	if rapid.IntRange(0, 4).Draw(o.t, "on none") == 0 {
		base = 0
	}
	for range rapid.IntRange(1, 2).Draw(o.t, "orders") {
		if m := o.pick(); m.node != nil {
			o.order(m, base, base+uint64(rapid.IntRange(1, 3).Draw(o.t, "step")))
		}
	}
}

func (o *observed) order(m *testMember, base, version uint64) {
	command := &Order{
		Manifest: *testManifest(readMesh, version, fmt.Sprintf("s%d", base)), Base: On(base), Text: fleet.Pack([]byte(orderText(version, base))),
	}
	o.testCluster.order(m, command, func(a Answer) {
		a = travelled(o.t, outcome{Answer: a}).finish()
		if !ok(&a) {
			return
		}
		if other, taken := o.winners[base]; taken && other != version {
			o.blame("versions %d and %d were both accepted on %d", other, version, base)
		}
		o.winners[base] = version
		o.acknowledged = max(o.acknowledged, version)
	})
	o.settle(m)
}

func orderText(version, base uint64) string { return fmt.Sprintf("version %d on %d", version, base) }

func (o *observed) read() {
	if m := o.pick(); m.node != nil {
		o.readAt(m)
	}
}

// readAt reads at a member; what it returns is set once the read is answered.
func (o *observed) readAt(m *testMember) *bool {
	answered, floor := new(bool), o.acknowledged
	o.propose(m, Command{Read: readMesh}, func(a Answer) {
		if a.Code != result.Answered {
			return
		}
		*answered = true
		version := a.Winner.Number()
		if version < floor {
			o.blame("read version %d, %d was acknowledged before the question", version, floor)
		}
		text, err := unpackOrder(a.Text)
		if version > 0 && (err != nil || !strings.HasPrefix(string(text), fmt.Sprintf("version %d on ", version))) {
			o.blame("read version %d with the text %q, %v", version, text, err)
		}
	})
	return answered
}

// propose hands a command to a member; its answer travels before it is told.
func (o *observed) propose(m *testMember, c Command, told func(Answer)) {
	raw, err := encodeCommand(c)
	if err != nil {
		o.t.Fatal(err)
	}
	m.node.Propose(raw, func(w outcome, err error) { told(answerOf(travelled(o.t, w), err)) })
	o.settle(m)
}

// travelled is an answer as it arrives at another source.
func travelled(t *rapid.T, sent outcome) (got outcome) {
	raw, err := quorum.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	return got
}
