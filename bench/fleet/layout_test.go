package fleet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReservedPortsStayTaken holds that nobody else gets a node's port between
// its choice and its use.
func TestReservedPortsStayTaken(t *testing.T) {
	c := qt.New(t)
	nodes, err := layout(Options{Size: sourceCount, Domains: 1, Dir: c.TempDir()})
	c.Assert(err, qt.IsNil)
	for _, n := range nodes {
		_, err := net.Listen("tcp", n.Listen.Peer)
		c.Check(err, qt.ErrorMatches, ".*address already in use")
		open := handOver(n.Listen)
		c.Assert(open, qt.HasLen, listenersANode)
		for _, l := range open {
			c.Check(l.Close(), qt.IsNil)
		}
		c.Check(handOver(n.Listen), qt.HasLen, 0)
	}
}
