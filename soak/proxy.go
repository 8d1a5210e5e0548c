package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode selects how a proxy impairs its connections.
type mode int32

const (
	modePass mode = iota
	// modeDelay delays each chunk. modeSilence discards data in both directions and keeps
	// connections open. modeOneWay forwards only data sent to the server.
	modeDelay
	modeSilence
	modeOneWay
)

// delayTime is the delay of a chunk in modeDelay.
const delayTime = 100 * time.Millisecond

// proxy is a TCP proxy in front of a backend server.
type proxy struct {
	addr   string
	target atomic.Pointer[string]
	mode   atomic.Int32
	mu     sync.Mutex
	// listener is nil while connections are refused.
	listener net.Listener
	conns    map[net.Conn]bool
}

func newProxy(addr string) (*proxy, error) {
	p := &proxy{addr: addr, conns: map[net.Conn]bool{}}
	return p, p.accept()
}

// accept begins to accept connections, if they are refused.
func (p *proxy) accept() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.listener = l
	go p.serve(l)
	return nil
}

// refuse refuses new connections until the next call of accept.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *proxy) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go p.handle(conn)
	}
}

func (p *proxy) handle(from net.Conn) {
	defer p.closeConn(from)
	to := p.target.Load()
	if to == nil {
		reset(from)
		return
	}
	conn, err := net.Dial("tcp", *to)
	if err != nil {
		reset(from)
		return
	}
	defer p.closeConn(conn)
	p.mu.Lock()
	p.conns[from], p.conns[conn] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(conn, from, true) })
	wait.Go(func() { p.copy(from, conn, false) })
	wait.Wait()
}

// copy forwards one direction until it ends and then closes both connections.
func (p *proxy) copy(to, from net.Conn, toServer bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.impair(toServer) {
			_, _ = io.Copy(io.Discard, from) // keep the connection open without forwarding
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// impair delays a chunk if the mode says so and reports whether to discard it.
func (p *proxy) impair(toServer bool) bool {
	switch mode(p.mode.Load()) {
	case modeDelay:
		time.Sleep(delayTime)
	case modeSilence:
		return true
	case modeOneWay:
		return !toServer
	}
	return false
}

func (p *proxy) closeConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
