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

const sourceCount = 3

// regionCount is the number of regions that failure domains are distributed over.
const regionCount = 5

// Options configure a fleet of daisygate.
type Options struct {
	// Size is the number of daemons; the first three are sources.
	Size int
	// Domains is the number of failure domains, assigned round-robin.
	Domains int
	// Dir is the folder for data folders, settings and logs.
	Dir string
	// External is the number of daemons at the end of a Shared fleet that run in their own processes
	// (Shared.StartExternal).
	External int
}

// The addresses of nodes are 127.A.B.C: A by process, B by fleet, C by node. Outgoing connections use
// 127.0.0.1, so no other socket takes a port that is assigned to a node or was released by a
// restarting node.
const (
	nodesPerBlock    = 250
	blocks           = 250
	processOctets    = 200
	firstProcess     = 10
	listenersPerNode = 4
)

var nextBlock atomic.Uint32

// nodeHosts returns the IP addresses of the nodes of one fleet.
func nodeHosts(size int) []string {
	used := uint32((size + nodesPerBlock - 1) / nodesPerBlock)
	block := nextBlock.Add(used) - used
	hosts := make([]string, size)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("127.%d.%d.%d", firstProcess+os.Getpid()%processOctets,
			(int(block)+i/nodesPerBlock)%blocks, i%nodesPerBlock+1)
	}
	return hosts
}

// reserved holds the listeners of ports that are assigned to a daemon that has not taken them yet. If
// the port was closed in between, another process could take it.
var reserved = struct {
	sync.Mutex
	listeners map[string]net.Listener
}{listeners: map[string]net.Listener{}}

// reserve asks the system for n ports at an address and keeps them open until takeListeners.
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

// takeListeners returns the listeners that are still reserved for a node, by their names in the daemon.
// The caller owns them.
func takeListeners(l settings.Listen) map[string]net.Listener {
	reserved.Lock()
	defer reserved.Unlock()
	listeners := map[string]net.Listener{}
	for name, addr := range map[string]string{"caller": l.Caller, "announce": l.Announce, "peer": l.Peer, "operator": l.Operator} {
		if listener := reserved.listeners[addr]; listener != nil {
			listeners[name] = listener
			delete(reserved.listeners, addr)
		}
	}
	return listeners
}

// closeReserved closes the listeners reserved for a node, so that a separate process can open them.
func closeReserved(l settings.Listen) {
	for _, listener := range takeListeners(l) {
		_ = listener.Close()
	}
}

// layout returns the settings of every node of a fleet.
func layout(o Options) ([]settings.Settings, error) {
	nodes := make([]settings.Settings, o.Size)
	for i, host := range nodeHosts(o.Size) {
		ports, err := reserve(host, listenersPerNode)
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
