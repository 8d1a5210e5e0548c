package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"
	"sync"

	"github.com/cockroachdb/errors"
)

// MethodTraffic is the traffic of the calls of one RPC method.
type MethodTraffic struct {
	Calls uint64
	// Bytes are those of requests and responses.
	Bytes uint64
}

// MethodCounters counts the traffic of calls by method. The zero value is empty.
type MethodCounters struct {
	mu       sync.Mutex
	byMethod map[string]*MethodTraffic
}

// Snapshot returns the traffic of all methods since the start.
func (m *MethodCounters) Snapshot() map[string]MethodTraffic {
	m.mu.Lock()
	defer m.mu.Unlock()
	traffic := make(map[string]MethodTraffic, len(m.byMethod))
	for method, t := range m.byMethod {
		traffic[method] = *t
	}
	return traffic
}

func (m *MethodCounters) add(method string, t MethodTraffic) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := m.byMethod[method]
	if sum == nil {
		if m.byMethod == nil {
			m.byMethod = map[string]*MethodTraffic{}
		}
		sum = &MethodTraffic{}
		m.byMethod[method] = sum
	}
	sum.Calls += t.Calls
	sum.Bytes += t.Bytes
}

// countingCodec is the gob codec of net/rpc for the calling side, which counts the traffic of each
// method. Package rpc never calls two of the Write methods, or two of the Read methods, at once.
type countingCodec struct {
	conn     io.Closer
	out      *countingWriter
	encoder  *gob.Encoder
	in       *countingReader
	decoder  *gob.Decoder
	counters *MethodCounters
	// response is the method of the response whose header was read last, and responseStart the
	// number of bytes that were read before it.
	response      string
	responseStart uint64
}

func newCountingCodec(conn io.ReadWriteCloser, counters *MethodCounters) *countingCodec {
	c := &countingCodec{
		conn: conn, counters: counters,
		out: &countingWriter{Writer: bufio.NewWriter(conn)}, in: &countingReader{Reader: bufio.NewReader(conn)},
	}
	c.encoder, c.decoder = gob.NewEncoder(c.out), gob.NewDecoder(c.in)
	return c
}

// WriteRequest implements rpc.ClientCodec.
func (c *countingCodec) WriteRequest(r *rpc.Request, body any) error {
	before := c.out.count
	if err := c.encoder.Encode(r); err != nil {
		return errors.Wrap(err, "encode request header")
	}
	if err := c.encoder.Encode(body); err != nil {
		return errors.Wrap(err, "encode request")
	}
	c.counters.add(r.ServiceMethod, MethodTraffic{Calls: 1, Bytes: c.out.count - before})
	return errors.Wrap(c.out.Flush(), "write request")
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *countingCodec) ReadResponseHeader(r *rpc.Response) error {
	c.responseStart = c.in.count
	err := c.decoder.Decode(r) // package rpc compares the error with io.EOF
	c.response = r.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *countingCodec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	c.counters.add(c.response, MethodTraffic{Bytes: c.in.count - c.responseStart})
	return err
}

// Close implements rpc.ClientCodec.
func (c *countingCodec) Close() error { return c.conn.Close() }

type countingWriter struct {
	*bufio.Writer
	count uint64
}

// Write implements io.Writer.
func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.count += uint64(n)
	return n, err
}

// countingReader counts what is consumed, not what is buffered. It implements io.ByteReader, so that
// package gob does not read ahead.
type countingReader struct {
	*bufio.Reader
	count uint64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.count += uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countingReader) ReadByte() (byte, error) {
	b, err := r.Reader.ReadByte()
	if err == nil {
		r.count++
	}
	return b, err
}
