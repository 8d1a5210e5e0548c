package graceful

import (
	"bytes"
	"context"
	"io"
	"math"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/daisygate/daisygate/internal/result"
)

// HeadLimits bounds the headers of the requests of one server.
type HeadLimits struct {
	// Bytes returns the maximum size of a header, including the request line; 0 means no limit.
	Bytes func() int
	// Timeout bounds the time to read a header from its first byte.
	Timeout time.Duration
	// Memory is the memory, in bytes, that the parsed headers of all requests in progress may
	// take up beyond a small part for each request. 0 means no limit.
	Memory int64
}

const (
	// headSlack is how far a header may exceed the limit, as in net/http.
	headSlack = 4 << 10
	// fieldMemory and byteMemory estimate the memory of a parsed header: net/http keeps it
	// in a map, and the gateway copies it once.
	fieldMemory = 192
	byteMemory  = 2
	// trailerMemory is the most that the trailers of a request may take up: net/http parses those
	// of up to 4 KiB, and a field has at least 4 bytes.
	trailerMemory = 4 << 10 / 4 * fieldMemory
	// freeHeadMemory is the memory of a header that counts toward the connection and not
	// toward HeadLimits.Memory.
	freeHeadMemory = 16 << 10
	// headMemoryWait is how long a request waits for memory until it is refused.
	headMemoryWait = 500 * time.Millisecond
	// firstReadSize is the size of the buffer for a header; it grows as needed.
	firstReadSize = 1 << 10
	// keptBufferSize is the size of the largest buffer that a connection keeps.
	keptBufferSize = 4 << 10
	// headMemoryRetry is the Retry-After value of a request that is refused for lack of
	// memory.
	headMemoryRetry = time.Second
)

// passMode is which of the bytes received may be passed on to net/http.
type passMode uint8

const (
	// passHead passes on nothing until the header of the next request is complete.
	passHead passMode = iota
	// passBody passes on the header and as much as the body has left.
	passBody
	// passChunked passes on a body in the chunked coding up to its end.
	passChunked
	// passAll passes on everything: the end of the body is not known.
	passAll
)

// intake separates the bytes that a client sends into requests. net/http gets the header of a
// request only when it is complete, and together with no byte of the next request. Until then the
// header takes up no more memory than its bytes.
type intake struct {
	// data holds the bytes received and not passed on. It is a part of buffer.
	data, buffer []byte
	mode         passMode
	// left is how many more bytes may be passed on in mode passBody. If chunkedBody is set, they
	// are those of the header, and the body follows in mode passChunked.
	left        int64
	chunkedBody *chunkedBody
	// scanned is how much of data belongs to complete lines of the header.
	scanned int
	// lineSeen is set once the header has a line that is not empty. partial is set if its beginning
	// may have been passed on with the end of the previous request.
	lineSeen, partial bool
	framing           framing
	// headersInspected counts the complete headers, requestsServed the requests passed to the
	// handler.
	headersInspected, requestsServed int
}

// startHead begins the header of the next request.
func (in *intake) startHead() {
	in.partial = in.mode == passAll
	in.mode, in.scanned, in.lineSeen, in.chunkedBody = passHead, 0, false, nil
}

// headLength returns the length of the header once it is complete, or 0. An empty line ends it, also
// if lines end without a carriage return. One before the header does not: net/http skips it after a
// POST.
func (in *intake) headLength() int {
	for {
		end := bytes.IndexByte(in.data[in.scanned:], '\n')
		if end < 0 {
			return 0
		}
		line := in.data[in.scanned : in.scanned+end]
		in.scanned += end + 1
		isEmpty := len(line) == 0 || len(line) == 1 && line[0] == '\r'
		if isEmpty && (in.lineSeen || in.partial) {
			return in.scanned
		}
		in.lineSeen = in.lineSeen || !isEmpty
	}
}

// passHeader begins to pass on a complete header of the given length, and its body.
func (in *intake) passHeader(length int) {
	if !in.lineSeen { // the rest of a header, which cannot be inspected
		in.mode = passAll
		return
	}
	in.framing = parseFraming(in.data[:length])
	in.headersInspected++
	in.mode, in.left = passBody, int64(length)
	switch {
	case in.framing.isChunked && !in.framing.hasLength:
		in.chunkedBody = &chunkedBody{keepTrailers: in.framing.announcesTrailers}
	case in.framing.hasEncoding || in.framing.length < 0:
		in.mode = passAll
	case in.framing.length > math.MaxInt64-in.left:
		in.left = math.MaxInt64
	default:
		in.left += in.framing.length
	}
}

// memory estimates the memory of the parsed header, and of trailers that it announces, beyond
// freeHeadMemory.
func (in *intake) memory(length int) int64 {
	memory := int64(length)*byteMemory + int64(in.framing.fields)*fieldMemory
	if in.chunkedBody != nil && in.chunkedBody.keepTrailers {
		memory += trailerMemory
	}
	return max(0, memory-freeHeadMemory)
}

// allowed returns how many of n bytes may be passed on. After the end of a request it is one: net/http
// reads a byte to notice that the client has disconnected.
func (in *intake) allowed(n int) int {
	if in.mode != passBody || n == 0 {
		return n
	}
	return int(min(int64(n), max(in.left, 1)))
}

// take moves bytes that may be passed on to p. It returns how many, and how many belong to the current
// request.
func (in *intake) take(p []byte) (kept, used int, err error) {
	n := copy(p[:in.allowed(len(p))], in.data)
	kept, used, err = in.pass(p[:n])
	in.data = in.data[used:]
	if len(in.data) == 0 {
		if cap(in.buffer) > keptBufferSize {
			in.buffer = nil
		}
		in.data = in.buffer[:0]
	}
	return kept, used, err
}

// keep keeps bytes that were received and may not be passed on yet. There must be no others.
func (in *intake) keep(p []byte) {
	if len(p) > 0 {
		in.buffer = append(in.buffer[:0], p...)
		in.data = in.buffer
	}
}

// pass records that bytes are passed on. It returns how many of them are, moved to the front of p, and
// how many belong to the current request.
func (in *intake) pass(p []byte) (kept, used int, err error) {
	if in.mode == passChunked {
		kept, used, err = in.chunkedBody.scan(p)
		if in.chunkedBody.state == chunkedEnded {
			in.mode, in.left = passBody, 0
			in.chunkedBody = nil
		}
		return kept, used, err
	}
	in.left = max(0, in.left-int64(len(p)))
	if in.mode == passBody && in.left == 0 && in.chunkedBody != nil {
		in.mode = passChunked
	}
	return len(p), len(p), nil
}

// space returns room for more bytes after data.
func (in *intake) space() []byte {
	if len(in.data) == cap(in.data) {
		in.buffer = append(make([]byte, 0, max(firstReadSize, 2*len(in.data))), in.data...)
		in.data = in.buffer
	}
	return in.data[len(in.data):cap(in.data)]
}

// Read implements net.Conn. Data that arrives after the connection was retired is never passed to
// the server.
func (c *conn) Read(p []byte) (int, error) {
	if c.readsHead() {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	for {
		n, dropped, err := c.readRequest(p)
		if n > 0 || err != nil || !dropped {
			return n, err
		}
	}
}

// readRequest reads bytes of the current request that may be passed on. dropped reports whether others
// were read that are not.
func (c *conn) readRequest(p []byte) (n int, dropped bool, err error) {
	c.mu.Lock()
	if len(c.intake.data) > 0 {
		defer c.mu.Unlock()
		n, used, err := c.intake.take(p)
		return n, used > n, err
	}
	p = p[:c.intake.allowed(len(p))]
	c.mu.Unlock()
	received, err := c.Conn.Read(p)
	if received > 0 && !c.setActive() {
		return 0, false, io.EOF
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n, used, passErr := c.intake.pass(p[:received])
	c.intake.keep(p[used:received])
	if passErr != nil {
		err = passErr
	}
	return n, used > n, err
}

func (c *conn) readsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.intake.mode == passHead
}

// readHead reads until the header is complete. If the client stops sending before, the request is
// rejected here: net/http would parse what there is of it.
func (c *conn) readHead() error {
	for {
		length, tooLarge := c.inspectHead()
		switch {
		case tooLarge:
			c.refuse(result.Errorf(result.HeaderTooLarge, "want at most %d bytes", c.tracker.headLimit()), 0)
			return io.EOF
		case length > 0:
			return c.admitHead(length)
		}
		n, err := c.receive()
		if n > 0 && !c.setActive() {
			return io.EOF
		}
		if err == nil {
			continue
		}
		if err == io.EOF && c.hasPartOfHead() {
			c.refuse(result.Errorf(result.BadRequest, "the header of the request is not complete"), 0)
		}
		return err
	}
}

func (c *conn) hasPartOfHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.intake.data) > 0
}

// inspectHead returns the length of the header if it is complete, and whether it is too large.
func (c *conn) inspectHead() (length int, tooLarge bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.intake.data) == 0 {
		return 0, false
	}
	length = c.intake.headLength()
	size := length
	if length == 0 {
		size = len(c.intake.data)
	}
	if limit := c.tracker.headLimit(); limit > 0 && size > limit+headSlack {
		return 0, true
	}
	if length > 0 {
		c.intake.passHeader(length)
	}
	return length, false
}

// receive reads more of the header. The time for the header starts with its first byte; for the first
// request on a connection net/http has set the deadline.
func (c *conn) receive() (int, error) {
	c.mu.Lock()
	space, wasIdle := c.intake.space(), c.state == stateIdle
	c.mu.Unlock()
	n, err := c.Conn.Read(space)
	c.mu.Lock()
	c.intake.data = c.intake.data[:len(c.intake.data)+n]
	c.mu.Unlock()
	if n > 0 && wasIdle && c.tracker.limits.Timeout > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.tracker.limits.Timeout))
	}
	return n, err
}

// admitHead waits for the memory of a complete header, or refuses the request.
func (c *conn) admitHead(length int) error {
	c.mu.Lock()
	need := min(c.intake.memory(length), c.tracker.limits.Memory)
	c.mu.Unlock()
	if need > 0 && !c.acquireHead(need) {
		c.refuse(result.Errorf(result.Overloaded, "the memory for the headers of requests is in use"), headMemoryRetry)
		return io.EOF
	}
	c.mu.Lock()
	c.headMemory = max(need, 0)
	c.mu.Unlock()
	if h, ok := c.Conn.(interface{ HeadComplete() bool }); ok && !h.HeadComplete() {
		return io.EOF
	}
	return nil
}

// acquireHead waits for memory, at most for headMemoryWait and until the connection is closed.
func (c *conn) acquireHead(need int64) bool {
	if c.tracker.memory.TryAcquire(need) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), headMemoryWait)
	defer cancel()
	if closer, ok := c.Conn.(interface{ Closed() <-chan struct{} }); ok {
		go func() {
			select {
			case <-closer.Closed():
				cancel()
			case <-ctx.Done():
			}
		}()
	}
	return c.tracker.memory.Acquire(ctx, need) == nil
}

// releaseHead releases the memory of the current header.
func (c *conn) releaseHead() {
	c.mu.Lock()
	held := c.headMemory
	c.headMemory = 0
	c.mu.Unlock()
	if held > 0 {
		c.tracker.memory.Release(held)
	}
}

// refuse sends a last response in place of the server, which has not seen the request, and discards
// for a short time what the client still sends: a reset would lose the response.
func (c *conn) refuse(err *result.Error, retryAfter time.Duration) {
	_, _ = c.Write(result.Response(err, err.Code.HTTPStatus(), retryAfter))
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedHead)
}

// maxDiscardedHead limits how much is discarded after a request was refused, in bytes.
const maxDiscardedHead = 256 << 10

// newHeadMemory returns the semaphore for HeadLimits.Memory.
func newHeadMemory(limits HeadLimits) *semaphore.Weighted {
	return semaphore.NewWeighted(max(limits.Memory, 1))
}
