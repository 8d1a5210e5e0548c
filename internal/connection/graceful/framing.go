package graceful

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
)

// maxHead bounds what is looked at of a request's header; net/http has its own,
// lower bound on what it takes.
const maxHead = 1 << 20

var headEnd = []byte("\r\n\r\n")

// framing watches the headers of the requests on one connection for two
// framings at once, Content-Length and Transfer-Encoding (RFC 9112, section
// 6.3): net/http goes by the chunks and runs what follows them as a second
// request, where another reader on the way went by the length.
type framing struct {
	// head is what came of a header that has not ended yet; nil while a body
	// flows.
	head    []byte
	reading bool
	// seen counts the headers that ended, served the requests handed on.
	seen, served int
	// twice is set when the last header framed its body twice.
	twice bool
}

// next begins the header of another request.
func (f *framing) next() { f.head, f.reading = f.head[:0], true }

// take looks at bytes that were read.
func (f *framing) take(p []byte) {
	if !f.reading {
		return
	}
	f.head = append(f.head, p...)
	end := bytes.Index(f.head, headEnd)
	if end < 0 {
		f.reading = len(f.head) <= maxHead
		return
	}
	f.twice = framedTwice(string(f.head[:end]))
	f.reading = false
	f.seen++
}

// framedTwice reports whether a header has both framings.
func framedTwice(head string) bool {
	length, chunks := false, false
	for line := range strings.SplitSeq(head, "\r\n") {
		name, _, _ := strings.Cut(line, ":")
		length = length || strings.EqualFold(name, "Content-Length")
		chunks = chunks || strings.EqualFold(name, "Transfer-Encoding")
	}
	return length && chunks
}

// serve counts a request that is handed on. watched is false if its header was
// read together with the request before it, and not looked at.
func (f *framing) serve() (twice, watched bool) {
	f.served++
	watched = f.served == f.seen
	f.served = f.seen
	return f.twice && watched, watched
}

// refuseFraming answers a request that is framed twice, and keeps a connection
// from being used again behind a chunked request that was not looked at. It
// reports whether it answered.
func refuseFraming(c *conn, w http.ResponseWriter, r *http.Request) bool {
	c.mu.Lock()
	twice, watched := c.framing.serve()
	c.mu.Unlock()
	if twice {
		w.Header().Set("Connection", "close")
		http.Error(w, "the request has both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return true
	}
	if !watched && len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	return false
}

// Reset makes the connection of a request end with a reset and not with an end
// of file. To a caller of HTTP/1.0 an answer without a length that ends with an
// end of file is whole.
func Reset(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if tcp, ok := innermost(c.Conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// innermost unwraps a connection.
func innermost(c net.Conn) net.Conn {
	for {
		inner, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return c
		}
		c = inner.Unwrap()
	}
}
