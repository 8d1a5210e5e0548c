package fleet

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// placeholders are listeners in place of backend servers. They accept connections, as a daemon requires
// of an announced server, and close them.
type placeholders struct {
	mu        sync.Mutex
	listeners map[int]net.Listener
}

// addr returns the address of a server. The first call opens its listener.
func (p *placeholders) addr(server int) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.listeners[server]; l != nil {
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for placeholder server")
	}
	if p.listeners == nil {
		p.listeners = map[int]net.Listener{}
	}
	p.listeners[server] = l
	go acceptAndClose(l)
	return l.Addr().String(), nil
}

func acceptAndClose(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_ = conn.Close()
	}
}

func (p *placeholders) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
}
