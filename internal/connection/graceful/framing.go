package graceful

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// framing is how the body of a request is delimited.
type framing struct {
	// hasLength and hasEncoding report whether the header has a Content-Length and a
	// Transfer-Encoding. A request with both has conflicting framing (RFC 9112, section
	// 6.3): net/http uses the chunked encoding and would run the bytes after the last
	// chunk as a second request, where an intermediary may have used Content-Length
	// (request smuggling).
	hasLength, hasEncoding bool
	// isChunked is set if net/http reads the body in the chunked transfer coding, and
	// announcesTrailers if the header has a Trailer field.
	isChunked, announcesTrailers bool
	// length is the Content-Length, or -1 if it cannot be parsed.
	length int64
	// fields is the number of lines of the header.
	fields int
}

func (f framing) isConflicting() bool { return f.hasLength && f.hasEncoding }

// parseFraming parses the header of a request.
func parseFraming(header []byte) (f framing) {
	requestLine, _, _ := bytes.Cut(bytes.TrimLeft(header, "\r\n"), []byte("\n"))
	isHTTP11 := bytes.HasSuffix(bytes.TrimRight(requestLine, "\r"), []byte(" HTTP/1.1"))
	for line := range bytes.Lines(header) {
		f.fields++
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(name) == len(headerLength) && strings.EqualFold(string(name), headerLength):
			f.hasLength = true
			length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil || length < 0 {
				length = -1
			}
			f.length = length
		case len(name) == len(headerEncoding) && strings.EqualFold(string(name), headerEncoding):
			f.hasEncoding = true
			f.isChunked = isHTTP11 && strings.EqualFold(string(bytes.TrimSpace(value)), "chunked")
		case len(name) == len(headerTrailer) && strings.EqualFold(string(name), headerTrailer):
			f.announcesTrailers = true
		}
	}
	return f
}

const (
	headerLength   = "Content-Length"
	headerEncoding = "Transfer-Encoding"
	headerTrailer  = "Trailer"
)

// rejectConflictingFraming responds with 400 to a request with conflicting
// framing. It also prevents reuse of the connection after a chunked request
// whose header was not inspected. It reports whether it sent a response.
func rejectConflictingFraming(c *conn, w http.ResponseWriter, r *http.Request) bool {
	conflicting, inspected := c.beginRequest()
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
