package fleet

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

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
	// Outside is how many of the last daemons a Shared fleet leaves to processes
	// of their own (Shared.StartOutside).
	Outside int
}

// The addresses of nodes are 127.A.B.C: A by process, B by fleet, C by node.
// Outgoing connections come from 127.0.0.1, so no other socket takes a port
// that a node was promised or that a restarting node left.
const (
	nodesPerBlock  = 250
	blocks         = 250
	processOctets  = 200
	firstProcess   = 10
	listenersANode = 4
)

var nextBlock atomic.Uint32

// hosts returns the IP numbers of the nodes of one fleet.
func hosts(size int) []string {
	used := uint32((size + nodesPerBlock - 1) / nodesPerBlock)
	block := nextBlock.Add(used) - used
	hosts := make([]string, size)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("127.%d.%d.%d", firstProcess+os.Getpid()%processOctets,
			(int(block)+i/nodesPerBlock)%blocks, i%nodesPerBlock+1)
	}
	return hosts
}

// reserved holds the listeners of ports that were chosen for a daemon and not
// yet handed to it: a port that is freed in between may be taken by another
// process.
var reserved = struct {
	sync.Mutex
	listeners map[string]net.Listener
}{listeners: map[string]net.Listener{}}

// reserve asks the system for n ports at an address and keeps them open until
// handOver.
func reserve(host string, n int) ([]string, error) {
	reserved.Lock()
	defer reserved.Unlock()
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			return nil, errors.Wrap(err, "reserve port")
		}
		addrs = append(addrs, l.Addr().String())
		reserved.listeners[l.Addr().String()] = l
	}
	return addrs, nil
}

// handOver returns the listeners that are still reserved for a node, by their
// names in the daemon. The caller owns them.
func handOver(l settings.Listen) map[string]net.Listener {
	reserved.Lock()
	defer reserved.Unlock()
	open := map[string]net.Listener{}
	for name, addr := range map[string]string{"caller": l.Caller, "announce": l.Announce, "peer": l.Peer, "operator": l.Operator} {
		if held := reserved.listeners[addr]; held != nil {
			open[name] = held
			delete(reserved.listeners, addr)
		}
	}
	return open
}

// free closes what is reserved for a node, for a process of its own to open.
func free(l settings.Listen) {
	for _, held := range handOver(l) {
		_ = held.Close()
	}
}

// layout returns the settings of every node of a fleet.
func layout(o Options) ([]settings.Settings, error) {
	nodes := make([]settings.Settings, o.Size)
	for i, host := range hosts(o.Size) {
		ports, err := reserve(host, listenersANode)
		if err != nil {
			return nil, err
		}
		s := settings.Defaults()
		s.Node = fmt.Sprintf("n%04d", i)
		s.Domain = fmt.Sprintf("d%02d", i%o.Domains)
		s.Region = fmt.Sprintf("r%d", i%o.Domains%regionCount)
		s.Listen = settings.Listen{
			Caller: ports[0], Announce: ports[1], Peer: ports[2], Operator: ports[3],
		}
		s.DataDir = filepath.Join(o.Dir, s.Node)
		nodes[i] = s
	}
	for i := range nodes {
		nodes[i].Source.Members = membersOf(nodes)
		nodes[i].Seeds = sourceAddrs(nodes)
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

// sourceAddrs returns the peer addresses of the sources.
func sourceAddrs(nodes []settings.Settings) []string {
	var addrs []string
	for _, n := range nodes[:sourceCount] {
		addrs = append(addrs, n.Listen.Peer)
	}
	return addrs
}
