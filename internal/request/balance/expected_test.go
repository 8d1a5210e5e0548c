package balance

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/process/presence"
	"github.com/daisygate/daisygate/internal/process/view"
	"github.com/daisygate/daisygate/internal/version/directory"
)

func at(node, domain string) *directory.Candidate {
	return &directory.Candidate{
		Node:   view.Node{Name: node, Domain: domain},
		Server: presence.Server{Addr: node, Slots: 4, State: presence.Serving},
	}
}

// now is when the tests of the expected time begin.
var now = time.Unix(1000, 0)

// tableAt is the table of a daemon in the failure domain "d".
func tableAt(node string, candidates ...*directory.Candidate) *Table {
	table := NewTable(Place{Node: node, Domain: "d"}, nil)
	table.Update(candidates, 0)
	return table
}

// picks counts what a table picks, each time as if nothing was in progress.
func picks(t *Table, now time.Time, target time.Duration) map[string]int {
	count := map[string]int{}
	for i := range 100 {
		count[t.Pick(Input{Now: now, Seed: uint64(i), Target: target}).Node.Name]++
	}
	return count
}

// TestUnknownServersAreTried holds that a server nobody has measured is taken for
// one like the others, and one that was slow once is tried again.
func TestUnknownServersAreTried(t *testing.T) {
	c := qt.New(t)
	here, there := at("here", "d"), at("there", "d")
	table := tableAt("here", here, there)
	table.Told(now, there, Load{Limit: 4, Service: time.Millisecond})
	c.Check(picks(table, now, 0)["here"] > 80, qt.IsTrue)
	table.Told(now, here, Load{Limit: 4, Service: 20 * time.Millisecond})
	c.Check(picks(table, now, 0)["here"], qt.Equals, 0)
	c.Check(picks(table, now.Add(time.Minute), 0)["here"] > 80, qt.IsTrue)
}

// TestFartherServers holds that another failure domain is used only for a gain
// that matters within the target, or where the near one would refuse.
func TestFartherServers(t *testing.T) {
	c := qt.New(t)
	near, far := at("near", "d"), at("far", "e")
	table := tableAt("caller", near, far)
	const target = 200 * time.Millisecond
	table.Told(now, far, Load{Limit: 4, Service: 20 * time.Millisecond})
	table.Told(now, near, Load{Limit: 4, Service: 60 * time.Millisecond})
	c.Check(picks(table, now, target)["near"], qt.Equals, 100)
	table.Told(now, near, Load{Limit: 4, Running: 4, Queued: 8, Service: 60 * time.Millisecond})
	c.Check(picks(table, now, target)["far"], qt.Equals, 100)
}

// TestShortRequestsStay holds that a request of less than a millisecond is not
// sent to another failure domain for a difference that the way costs again.
func TestShortRequestsStay(t *testing.T) {
	c := qt.New(t)
	here, far := at("here", "d"), at("far", "e")
	table := tableAt("here", here, far)
	table.Told(now, here, Load{Limit: 4, Service: 900 * time.Microsecond})
	table.Told(now, far, Load{Limit: 4, Service: 100 * time.Microsecond})
	c.Check(picks(table, now, 0)["here"], qt.Equals, 100)
}

// TestLargeBodies holds that a large body goes to the server beside, and else
// where the link has the least to bring; what is small does not care.
func TestLargeBodies(t *testing.T) {
	c := qt.New(t)
	busy, free := at("busy", "d"), at("free", "d")
	table := tableAt("here", busy, free)
	table.LinkBytes = 1e6
	table.Told(now, busy, Load{Limit: 4, Service: 100 * time.Millisecond, Inflow: 500_000})
	table.Told(now, free, Load{Limit: 4, Service: 200 * time.Millisecond})
	pick := func(at time.Time, bytes int64) string {
		return table.Pick(Input{Now: at, Seed: 1, Bytes: bytes}).Node.Name
	}
	c.Check(pick(now, 0), qt.Equals, "busy")
	c.Check(pick(now, 100_000), qt.Equals, "free")
	c.Check(pick(now.Add(500*time.Millisecond), 100_000), qt.Equals, "busy")
	table.Sent(now, free, 900_000, 0)
	c.Check(pick(now, 100_000), qt.Equals, "busy")
	here := at("here", "d")
	table.Update([]*directory.Candidate{busy, free, here}, 0)
	c.Check(pick(now, 300_000), qt.Equals, "here")
}

// TestFailingServer holds that a server that fails many of its requests is left
// for one farther away, for a while, and that a service of which all servers fail
// as many is served as before.
func TestFailingServer(t *testing.T) {
	c := qt.New(t)
	near, far := at("near", "d"), at("far", "e")
	table := tableAt("caller", near, far)
	const target = 200 * time.Millisecond
	told := func(c *directory.Candidate, failing float64) {
		table.Told(now, c, Load{Limit: 4, Service: 20 * time.Millisecond, Failing: failing})
	}
	told(far, 0)
	told(near, 0.5)
	c.Check(picks(table, now, target)["far"], qt.Equals, 100)
	c.Check(picks(table, now.Add(time.Minute), target)["near"] > 90, qt.IsTrue)
	for range 200 {
		told(far, 0.5)
		told(near, 0.5)
	}
	c.Check(picks(table, now, target)["near"], qt.Equals, 100)
}

// TestLargeAnswersStay holds that a request with a large answer that was refused at
// one server asks the others of its failure domain before it leaves it, and that one
// with a small answer leaves.
func TestLargeAnswersStay(t *testing.T) {
	c := qt.New(t)
	full, near, far := at("full", "d"), at("near", "d"), at("far", "e")
	table := tableAt("here", full, near, far)
	table.LinkBytes = 1e6
	for _, s := range []*directory.Candidate{full, near, far} {
		table.Told(now, s, Load{Limit: 4, Service: 20 * time.Millisecond})
	}
	pick := func(answer int64) string {
		return table.Pick(Input{Now: now, Seed: 1, Tried: []*directory.Candidate{full}, Target: time.Second, Answer: answer}).Node.Name
	}
	c.Check(pick(0), qt.Equals, "far")
	c.Check(pick(90_000), qt.Equals, "near")
	// A link that has much to send is left all the same.
	table.Told(now, near, Load{Limit: 4, Service: 20 * time.Millisecond, Outflow: 900_000})
	c.Check(pick(90_000), qt.Equals, "far")
}
