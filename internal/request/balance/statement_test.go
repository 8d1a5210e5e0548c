package balance

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/daisygate/daisygate/internal/version/directory"
)

// TestLeavingServerIsNotPicked checks that a boot that has stated that it is leaving is not
// picked, not even as the last one, also after it was no candidate for a while, and that the
// next boot at its address is.
func TestLeavingServerIsNotPicked(t *testing.T) {
	c := qt.New(t)
	server := candidateAt("n", "d")
	server.Server.Boot = "one"
	table := tableAt("n", server)
	table.RecordStatement(server, ServerStatement{Boot: "one", Leaving: true})
	c.Assert(table.Pick(Input{Now: now}), qt.IsNil)
	c.Assert(table.Pick(Input{Now: now, Pin: 1}), qt.IsNil)
	table.Update(nil, 0)
	table.Update([]*directory.Candidate{server}, 0)
	table.RecordStatement(server, ServerStatement{Boot: "one", RateLimit: 3})
	c.Assert(table.Pick(Input{Now: now}), qt.IsNil)
	found := candidateAt("n", "d")
	found.Server.Boot, found.Server.Started = "one", 5
	table.Update([]*directory.Candidate{found}, 0)
	table.RecordStatement(found, ServerStatement{Boot: "one", Started: 5})
	c.Assert(table.Pick(Input{Now: now}), qt.IsNil)
	for _, boot := range []ServerStatement{{Boot: "one", Started: 7}, {Boot: "two"}} {
		next := candidateAt("n", "d")
		next.Server.Boot, next.Server.Started = boot.Boot, boot.Started
		table.Update([]*directory.Candidate{next}, 0)
		c.Assert(table.Pick(Input{Now: now}), qt.Equals, next)
		c.Assert(table.StatementOf(next), qt.Equals, boot)
	}
}

// TestStatementsAreBounded checks that the statements of servers that are gone are dropped, and
// those of candidates kept.
func TestStatementsAreBounded(t *testing.T) {
	c := qt.New(t)
	kept := candidateAt("kept", "d")
	table := tableAt("n", kept)
	table.RecordStatement(kept, ServerStatement{RateLimit: 1})
	for i := range 3 * maxFormerStatements {
		table.RecordStatement(candidateAt(fmt.Sprint("gone", i), "d"), ServerStatement{RateLimit: 1})
	}
	c.Assert(len(table.statements) <= 1+maxFormerStatements, qt.IsTrue, qt.Commentf("%d statements", len(table.statements)))
	c.Assert(table.StatementOf(kept).RateLimit, qt.Equals, 1.0)
}
