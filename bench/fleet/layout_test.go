package fleet

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestReservedPortsStayTaken checks that nothing else can take a node's port between its assignment
// and its use.
func TestReservedPortsStayTaken(t *testing.T) {
	c := qt.New(t)
	nodes, err := layout(Options{Size: sourceCount, Domains: 1, Dir: c.TempDir()})
	c.Assert(err, qt.IsNil)
	for _, n := range nodes {
		_, err := net.Listen("tcp", n.Listen.Peer)
		c.Check(err, qt.ErrorMatches, ".*address already in use")
		open := takeListeners(n.Listen)
		c.Assert(open, qt.HasLen, listenersPerNode)
		for _, l := range open {
			c.Check(l.Close(), qt.IsNil)
		}
		c.Check(takeListeners(n.Listen), qt.HasLen, 0)
	}
}
