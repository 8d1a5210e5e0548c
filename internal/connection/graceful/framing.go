package graceful

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
)

// maxHeaderBytes limits how much of a request header is inspected. net/http has
// its own, lower limit on the headers it accepts.
const maxHeaderBytes = 1 << 20

var headerEnd = []byte("\r\n\r\n")

// framing inspects the request headers on one connection for conflicting
// framing, that is both Content-Length and Transfer-Encoding (RFC 9112, section
// 6.3). net/http uses the chunked encoding and would run the bytes after the
// last chunk as a second request, where an intermediary may have used
// Content-Length (request smuggling).
type framing struct {
	// header is the part of the current header that was read, and inHeader
	// reports whether that header is still incomplete.
	header   []byte
	inHeader bool
	// headersInspected counts the complete headers inspected, requestsServed
	// the requests passed to the handler.
	headersInspected, requestsServed int
	// conflicting reports whether the last inspected header had both framings.
	conflicting bool
}

// startHeader starts inspecting the header of the next request.
func (f *framing) startHeader() { f.header, f.inHeader = f.header[:0], true }

// inspect processes bytes that were read from the connection.
func (f *framing) inspect(p []byte) {
	if !f.inHeader {
		return
	}
	f.header = append(f.header, p...)
	end := bytes.Index(f.header, headerEnd)
	if end < 0 {
		f.inHeader = len(f.header) <= maxHeaderBytes
		return
	}
	f.conflicting = hasConflictingFraming(string(f.header[:end]))
	f.inHeader = false
	f.headersInspected++
}

// hasConflictingFraming reports whether a header has both Content-Length and
// Transfer-Encoding.
func hasConflictingFraming(header string) bool {
	hasLength, hasEncoding := false, false
	for line := range strings.SplitSeq(header, "\r\n") {
		name, _, _ := strings.Cut(line, ":")
		hasLength = hasLength || strings.EqualFold(name, "Content-Length")
		hasEncoding = hasEncoding || strings.EqualFold(name, "Transfer-Encoding")
	}
	return hasLength && hasEncoding
}

// countServed counts a request that is passed to the handler. inspected is
// false if its header was read together with the previous request and was not
// inspected.
func (f *framing) countServed() (conflicting, inspected bool) {
	f.requestsServed++
	inspected = f.requestsServed == f.headersInspected
	f.requestsServed = f.headersInspected
	return f.conflicting && inspected, inspected
}

// rejectConflictingFraming responds with 400 to a request with conflicting
// framing. It also prevents reuse of the connection after a chunked request
// whose header was not inspected. It reports whether it sent a response.
func rejectConflictingFraming(c *conn, w http.ResponseWriter, r *http.Request) bool {
	c.mu.Lock()
	conflicting, inspected := c.framing.countServed()
	c.mu.Unlock()
	if conflicting {
		w.Header().Set("Connection", "close")
		http.Error(w, "the request has both Content-Length and Transfer-Encoding", http.StatusBadRequest)
		return true
	}
	if !inspected && len(r.TransferEncoding) > 0 {
		w.Header().Set("Connection", "close")
	}
	return false
}

// ResetConnection makes the connection of a request close with a TCP reset instead of an
// orderly EOF. An HTTP/1.0 client would take a response without a length that
// ends with EOF as complete.
func ResetConnection(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return
	}
	if tcp, ok := unwrapConn(c.Conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// unwrapConn returns the innermost wrapped connection.
func unwrapConn(c net.Conn) net.Conn {
	for {
		inner, ok := c.(interface{ Unwrap() net.Conn })
		if !ok {
			return c
		}
		c = inner.Unwrap()
	}
}
