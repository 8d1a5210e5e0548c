package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// Ports for processes that are started after the port was chosen, and again
// after they were killed. They lie below the range from which the system takes
// ports for outgoing connections (32768 and up): one from that range can be
// gone by the time the process binds it.
const (
	portsFrom = 20000
	portsTo   = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddrs returns addresses that nobody listens on, each given out once.
func freeAddrs(c *qt.C, n int) []string {
	ports.Lock()
	defer ports.Unlock()
	if ports.next == 0 {
		ports.next = portsFrom + rand.IntN(portsTo-portsFrom)
	}
	var addrs []string
	for range portsTo - portsFrom {
		if len(addrs) == n {
			return addrs
		}
		addr := fmt.Sprintf("127.0.0.1:%d", ports.next)
		ports.next++
		if ports.next == portsTo {
			ports.next = portsFrom
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			addrs = append(addrs, addr)
		}
	}
	c.Fatalf("only %d of %d ports are free", len(addrs), n)
	return nil
}
