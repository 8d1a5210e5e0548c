package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/response"
)

// aLongTimeAgo is a deadline that makes pending reads and writes fail.
var aLongTimeAgo = time.Unix(1, 0)

// Failure describes how a request ended without a response.
type Failure struct {
	// Sent is false if the server certainly did not receive the complete
	// request: no connection was established, or the header was not written
	// completely.
	Sent bool
	// BodyStarted is true if sending the streamed body was started.
	BodyStarted bool
	// Err is the cause. It is marked with ErrRequestBody if reading the request body
	// failed.
	Err error
}

// Error implements the error interface.
func (f *Failure) Error() string { return f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// exchange is a request and its response on a connection.
type exchange struct {
	pool    *Pool
	conn    *conn
	request *Request
	upload  *upload
	// stopAbort unregisters the function that aborts I/O when the context ends. It
	// returns false if that function was started; aborting waits for its end.
	stopAbort func() bool
	aborting  sync.WaitGroup
	response  *http.Response
	once      sync.Once
}

// abortWhenDone makes pending and later I/O fail when ctx ends, until stopCancel is called.
func (x *exchange) abortWhenDone(ctx context.Context) {
	x.aborting.Add(1)
	x.stopAbort = context.AfterFunc(ctx, func() {
		defer x.aborting.Done()
		_ = x.conn.SetDeadline(aLongTimeAgo)
	})
}

// stopCancel detaches the connection from the context and reports whether the context had not
// ended. It waits for a running abort, which would set the deadlines of whoever uses the connection
// next.
func (x *exchange) stopCancel() bool {
	if x.stopAbort() {
		return true
	}
	x.aborting.Wait()
	return false
}

// RoundTrip sends a request and returns the response with its header read; the
// caller must close the body. When ctx ends, the request is canceled, also
// while the body is being read.
func (p *Pool) RoundTrip(ctx context.Context, r *Request) (*http.Response, *Failure) {
	c, err := p.get(ctx, r.MaxIdleAge)
	if err != nil {
		r.done()
		return nil, &Failure{Err: err}
	}
	c.startRequest(ctx)
	x := &exchange{pool: p, conn: c, request: r}
	x.abortWhenDone(ctx)
	if sent, err := x.writeHeader(); err != nil {
		return nil, x.fail(sent, err)
	}
	if r.Body != nil {
		x.upload = newUpload(r, c)
	}
	resp, err := x.readResponse()
	if err != nil {
		return nil, x.fail(true, err)
	}
	c.headerLeft, c.stallTimeout = -1, r.StallTimeout
	x.response = resp
	resp.Body = &responseBody{ReadCloser: resp.Body, exchange: x}
	return resp, nil
}

func (r *Request) done() {
	if r.Done != nil {
		r.Done()
	}
}

// writeHeader writes the header together with a small body. sent is false only
// if the server certainly did not receive the complete header.
func (x *exchange) writeHeader() (sent bool, err error) {
	buffer := headerBuffers.Get().(*[]byte)
	defer headerBuffers.Put(buffer)
	b := x.request.appendHeader((*buffer)[:0])
	headerLen := len(b)
	b = append(b, x.request.SmallBody...)
	*buffer = b
	n, err := x.conn.Write(b)
	return n >= headerLen, err
}

func (x *exchange) readResponse() (*http.Response, error) {
	resp, err := response.Read(x.conn.br, &http.Request{Method: x.request.Method}, func(status int) {
		if status == http.StatusContinue && x.upload != nil {
			x.upload.allowBody()
		}
	})
	return resp, ShortenError(err)
}

// fail ends an exchange that got no response.
func (x *exchange) fail(sent bool, err error) *Failure {
	x.upload.stop()
	f := &Failure{Sent: sent, BodyStarted: x.upload.started(), Err: err}
	if x.upload.bodyFailed() {
		f.Err = errors.Mark(err, ErrRequestBody)
	}
	x.stopCancel()
	x.pool.release(x.conn, x.request.done)
	return f
}

// finish ends an exchange that got a response. complete reports whether the
// response body was read to its end.
func (x *exchange) finish(complete bool) {
	uploaded := x.upload.stop()
	notCanceled := x.stopCancel()
	if !complete || !uploaded || x.response.Close || !notCanceled || x.conn.br.Buffered() > 0 {
		x.pool.release(x.conn, x.request.done)
		return
	}
	x.pool.putIdle(x.conn)
	x.request.done()
}

// bodyEnd returns what reading the response returns at the end of the body: io.EOF, or an error if the
// body ends with a connection that was lost. It must be called after finish. The kernel reports a lost
// connection once: if it was reported to the upload, reading the response meets an ordinary end of file.
func (x *exchange) bodyEnd() error {
	if !response.EndsWithConnection(x.response) {
		return io.EOF
	}
	if lost := x.upload.connectionLost(); lost != nil {
		return errors.Wrap(lost, "the connection was lost before the end of the response")
	}
	return io.EOF
}

// responseBody is the body of a response. Reading it to its end returns the
// connection to the pool.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.exchange.once.Do(func() { b.exchange.finish(true) })
		return n, b.exchange.bodyEnd()
	}
	return n, ShortenError(err)
}

// Close implements io.Closer. It cancels the request if the body was not read
// to its end.
func (b *responseBody) Close() error {
	b.exchange.once.Do(func() { b.exchange.finish(false) })
	return nil
}

// maxChunkDelimiter is how many bytes may separate the data of two chunks: the
// CRLF after the first and the size line of the second.
const maxChunkDelimiter = 6

// Buffered reports whether more of the response body, or its end, has arrived.
func (b *responseBody) Buffered() bool {
	n := b.exchange.conn.br.Buffered()
	if b.exchange.response.ContentLength < 0 {
		return n > maxChunkDelimiter
	}
	return n > 0
}
