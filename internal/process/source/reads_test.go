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

// TestReadsUnderFaults runs random orders with a base, and reads, under the faults of
// TestLossesInSeries. It checks the answers for linearizability: at most one order per base
// is accepted, and a read returns the newest version acknowledged before the call or a
// later one, with the matching text. Answers are encoded and decoded as between the leader
// and the contacted source: a test that takes them directly from the leader does not notice
// when forwarded reads fail.
func TestReadsUnderFaults(t *testing.T) { rapid.Check(t, readsUnderFaults) }

func readsUnderFaults(t *rapid.T) {
	f := &faultTest{testCluster: newGrownCluster(), t: t, versions: map[string]uint64{}}
	o := &readObserver{faultTest: f, winners: map[uint64]uint64{}}
	actions := []func(){
		o.orderSome, o.orderSome, o.orderSome, o.read, o.read, o.read, f.deliverSome, f.deliverSome, f.deliverTo, f.runSome, f.runSome,
		f.tickOne, f.dropSome, f.delaySome, f.deliverDelayed, f.crashOne, f.startAll, f.stopOne, f.isolateSome,
		f.powerLoss, f.loseNewestHolders, f.powerLossWithDisks,
	}
	f.runActions(10, 80, actions)
	f.checkRecoveryAfterRestart()
	answered := o.readAt(f.leader())
	f.run(20)
	if f.violation != "" || !*answered {
		t.Fatalf("the newest version cannot be read after the faults stopped: %s", f.violation)
	}
}

// readMesh is the mesh that the test reads and writes.
const readMesh = "read"

// readObserver is a cluster that records the answers for readMesh.
type readObserver struct {
	*faultTest
	// acknowledged is the newest acknowledged version.
	acknowledged uint64
	// winners are the acknowledged versions by base.
	winners map[uint64]uint64
}

// orderSome submits one or two orders, based on the newest acknowledged version or on 0.
func (o *readObserver) orderSome() {
	base := o.acknowledged
	if rapid.IntRange(0, 4).Draw(o.t, "on none") == 0 {
		base = 0
	}
	for range rapid.IntRange(1, 2).Draw(o.t, "orders") {
		if m := o.pickMember(); m.node != nil {
			o.submitOrder(m, base, base+uint64(rapid.IntRange(1, 3).Draw(o.t, "step")))
		}
	}
}

func (o *readObserver) submitOrder(m *testMember, base, version uint64) {
	command := &Order{
		Manifest: *testManifest(readMesh, version, fmt.Sprintf("s%d", base)), Base: BaseVersion(base), Text: fleet.Pack([]byte(orderText(version, base))),
	}
	o.testCluster.proposeOrder(m, command, func(a Answer) {
		a = roundTrip(o.t, outcome{Answer: a}).packedAnswer()
		if !isAccepted(&a) {
			return
		}
		if other, taken := o.winners[base]; taken && other != version {
			o.reportViolation("versions %d and %d were both accepted on base %d", other, version, base)
		}
		o.winners[base] = version
		o.acknowledged = max(o.acknowledged, version)
	})
	o.finishWork(m)
}

func orderText(version, base uint64) string { return fmt.Sprintf("version %d on %d", version, base) }

func (o *readObserver) read() {
	if m := o.pickMember(); m.node != nil {
		o.readAt(m)
	}
}

// readAt reads through a member. The returned value is set to true once the read is
// answered.
func (o *readObserver) readAt(m *testMember) *bool {
	answered, floor := new(bool), o.acknowledged
	o.propose(m, Command{Read: readMesh}, func(a Answer) {
		if a.Code != result.Answered {
			return
		}
		*answered = true
		version := a.Winner.Number()
		if version < floor {
			o.reportViolation("read version %d, but version %d was acknowledged before the read", version, floor)
		}
		text, err := unpackOrderText(a.Text)
		if version > 0 && (err != nil || !strings.HasPrefix(string(text), fmt.Sprintf("version %d on ", version))) {
			o.reportViolation("read version %d with the text %q, %v", version, text, err)
		}
	})
	return answered
}

// propose proposes a command through a member. The answer is encoded and decoded before it
// is passed to done.
func (o *readObserver) propose(m *testMember, c Command, done func(Answer)) {
	raw, err := encodeCommand(c)
	if err != nil {
		o.t.Fatal(err)
	}
	m.node.Propose(raw, func(w outcome, err error) { done(toAnswer(roundTrip(o.t, w), err)) })
	o.finishWork(m)
}

// roundTrip encodes and decodes an answer, as when it is sent to another source.
func roundTrip(t *rapid.T, sent outcome) (got outcome) {
	raw, err := quorum.Encode(sent)
	if err != nil {
		t.Fatal(err)
	}
	if err := cbor.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	return got
}
