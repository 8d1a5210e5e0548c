package fleet

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// placeholders stand for backend servers: they take connections, as a daemon
// wants of a server that announces itself, and close them.
type placeholders struct {
	mu        sync.Mutex
	listeners map[int]net.Listener
}

// addr returns the address of a server, which listens from the first call on.
func (p *placeholders) addr(server int) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.listeners[server]; l != nil {
		return l.Addr().String(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "placeholder")
	}
	if p.listeners == nil {
		p.listeners = map[int]net.Listener{}
	}
	p.listeners[server] = l
	go accept(l)
	return l.Addr().String(), nil
}

func accept(l net.Listener) {
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
