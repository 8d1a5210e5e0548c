package e2e

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	qt "github.com/frankban/quicktest"
)

// The port range for processes that bind a port some time after it was chosen, or bind it again
// after a kill. It lies below the ephemeral port range of the system (32768 and up): a port of
// that range may be taken by an outgoing connection before the process binds it.
const (
	portsFrom = 20000
	portsTo   = 32000
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddrs returns addresses that nothing listens on. Each address is returned only once.
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
