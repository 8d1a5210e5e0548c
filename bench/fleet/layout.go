package fleet

import (
	"fmt"
	"net"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/process/settings"
)

// sourceCount is the number of sources in every fleet.
const sourceCount = 3

// regionCount is the number of regions that failure domains are dealt to.
const regionCount = 5

// Options describe a fleet of daisygate.
type Options struct {
	// Size is the number of daemons; the first three are sources.
	Size int
	// Domains is the number of failure domains, dealt round.
	Domains int
	// Dir is where data folders, settings and logs go.
	Dir string
}

// reserve asks the system for n distinct ports, all open at once, and frees
// them for the daemons to open.
func reserve(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "reserve port")
		}
		defer func() { _ = l.Close() }()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// layout returns the settings of every node of a fleet.
func layout(o Options) ([]settings.Settings, error) {
	const listeners = 4
	ports, err := reserve(listeners * o.Size)
	if err != nil {
		return nil, err
	}
	nodes := make([]settings.Settings, o.Size)
	for i := range nodes {
		s := settings.Defaults()
		s.Node = fmt.Sprintf("n%04d", i)
		s.Domain = fmt.Sprintf("d%02d", i%o.Domains)
		s.Region = fmt.Sprintf("r%d", i%o.Domains%regionCount)
		s.Listen = settings.Listen{
			Caller: ports[listeners*i], Announce: ports[listeners*i+1],
			Peer: ports[listeners*i+2], Operator: ports[listeners*i+3],
		}
		s.DataDir = filepath.Join(o.Dir, s.Node)
		nodes[i] = s
	}
	for i := range nodes {
		nodes[i].Source.Members = membersOf(nodes)
		nodes[i].Seeds = seedsOf(nodes)
	}
	return nodes, nil
}

func membersOf(nodes []settings.Settings) []settings.Member {
	var members []settings.Member
	for _, n := range nodes[:sourceCount] {
		members = append(members, settings.Member{Node: n.Node, Peer: n.Listen.Peer})
	}
	return members
}

func seedsOf(nodes []settings.Settings) []string {
	var seeds []string
	for _, n := range nodes[:sourceCount] {
		seeds = append(seeds, n.Listen.Peer)
	}
	return seeds
}
