package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does to what passes through it.
type mode int32

const (
	pass mode = iota
	// delay holds each part up; silence lets nothing more through and closes
	// nothing; oneWay lets only what goes to the server through.
	delay
	silence
	oneWay
)

// heldUp is how long a delayed part waits.
const heldUp = 100 * time.Millisecond

// proxy stands before a backend server.
type proxy struct {
	listener net.Listener
	to       atomic.Pointer[string]
	mode     atomic.Int32
	mu       sync.Mutex
	open     map[net.Conn]bool
}

func newProxy(addr string) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, open: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(from net.Conn) {
	defer p.drop(from)
	to := p.to.Load()
	if to == nil {
		reset(from)
		return
	}
	conn, err := net.Dial("tcp", *to)
	if err != nil {
		reset(from)
		return
	}
	defer p.drop(conn)
	p.mu.Lock()
	p.open[from], p.open[conn] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Go(func() { p.copy(conn, from, true) })
	wait.Go(func() { p.copy(from, conn, false) })
	wait.Wait()
}

// copy carries one direction until it ends, and then ends the other.
func (p *proxy) copy(to, from net.Conn, toServer bool) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && p.held(toServer) {
			_, _ = io.Copy(io.Discard, from) // the connection stays silent until its end
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

// held waits as the mode asks, and reports whether the part is lost.
func (p *proxy) held(toServer bool) bool {
	switch mode(p.mode.Load()) {
	case delay:
		time.Sleep(heldUp)
	case silence:
		return true
	case oneWay:
		return !toServer
	}
	return false
}

func (p *proxy) drop(conn net.Conn) {
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// resetAll resets every open connection.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.open {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
