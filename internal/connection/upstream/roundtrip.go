package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// past ends pending reads and writes.
var past = time.Unix(1, 0)

// interimMax is the most 1xx answers to one request.
const interimMax = 16

// Failure tells how a request ended without an answer.
type Failure struct {
	// Sent is false if the request certainly did not reach the far side whole:
	// nobody took the connection, or its header was not written out.
	Sent bool
	// Begun is set once a part of the streamed body was sent.
	Begun bool
	// Err is the cause; it is marked ErrBody if the request's own body failed.
	Err error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// exchange is one request and its answer on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	upload  *upload
	// release stops the watch for the context's end.
	release func() bool
	answer  *http.Response
	once    sync.Once
}

// RoundTrip sends a request and returns the header of its answer; the body must
// be closed. The end of ctx gives the request up, also while the body is read.
func (p *Pool) RoundTrip(ctx context.Context, r *Request) (*http.Response, *Failure) {
	c, err := p.get(ctx, r.IdleAge)
	if err != nil {
		r.done()
		return nil, &Failure{Err: err}
	}
	c.begin(ctx)
	x := &exchange{pool: p, conn: c, request: r}
	x.release = context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	if sent, err := x.writeHead(); err != nil {
		return nil, x.fail(sent, err)
	}
	if r.Body != nil {
		x.upload = newUpload(r, c)
	}
	resp, err := x.readAnswer()
	if err != nil {
		return nil, x.fail(true, err)
	}
	c.left, c.stall = -1, r.Stall
	x.answer = resp
	resp.Body = &body{ReadCloser: resp.Body, exchange: x}
	return resp, nil
}

func (r *Request) done() {
	if r.Done != nil {
		r.Done()
	}
}

// writeHead writes the header, and a small body with it. sent is true unless
// the header certainly is not whole on the far side.
func (x *exchange) writeHead() (sent bool, err error) {
	buffer := heads.Get().(*[]byte)
	defer heads.Put(buffer)
	b := x.request.appendHead((*buffer)[:0])
	head := len(b)
	b = append(b, x.request.Small...)
	*buffer = b
	n, err := x.conn.Write(b)
	return n >= head, err
}

func (x *exchange) readAnswer() (*http.Response, error) {
	request := &http.Request{Method: x.request.Method}
	for range interimMax {
		resp, err := http.ReadResponse(x.conn.br, request)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode == http.StatusContinue && x.upload != nil:
			x.upload.proceed()
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.New("the protocol was switched unasked")
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// fail ends an exchange without an answer.
func (x *exchange) fail(sent bool, err error) *Failure {
	x.upload.stop()
	f := &Failure{Sent: sent, Begun: x.upload.begun(), Err: err}
	if x.upload.cut() {
		f.Err = errors.Mark(err, ErrBody)
	}
	x.release()
	x.pool.drop(x.conn, x.request.done)
	return f
}

// finish ends an exchange with an answer, whole or not.
func (x *exchange) finish(whole bool) {
	uploaded := x.upload.stop()
	undisturbed := x.release()
	if !whole || !uploaded || x.answer.Close || !undisturbed || x.conn.br.Buffered() > 0 {
		x.pool.drop(x.conn, x.request.done)
		return
	}
	x.pool.put(x.conn)
	x.request.done()
}

// body is the body of an answer. Its whole end gives the connection back.
type body struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.once.Do(func() { b.exchange.finish(true) })
	}
	return n, err
}

// Close implements io.Closer. Before the whole end it gives the request up.
func (b *body) Close() error {
	b.exchange.once.Do(func() { b.exchange.finish(false) })
	return nil
}

// chunkEnd is the size of what may follow the data of a chunk before the next
// data: its line end and the next chunk's head.
const chunkEnd = 6

// Buffered reports whether more of the answer's body, or its end, has arrived.
func (b *body) Buffered() bool {
	n := b.exchange.conn.br.Buffered()
	if b.exchange.answer.ContentLength < 0 {
		return n > chunkEnd
	}
	return n > 0
}
