package limit

import (
	"io"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

// WrapHandler wraps a handler, so that clients that are slow to send a body are known.
func WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && !c.setPhase(phaseRequest) {
			panic(http.ErrAbortHandler) // the client was told that the request is not run
		}
		if ok && r.Body != nil && r.Body != http.NoBody {
			// A copy, because net/http waits for a client that still sends before it
			// closes a connection only if the request has its original body.
			body := &pacedBody{ReadCloser: r.Body, conn: c, request: r, announced: announcedTrailers(r)}
			r = r.WithContext(r.Context())
			r.Body = body
			defer body.handled()
		}
		next.ServeHTTP(w, r)
	})
}

// pacedBody records when the server waits for a part of a body.
type pacedBody struct {
	io.ReadCloser
	conn *conn
	// request is the request that net/http adds the trailers to, and announced are the names that
	// its header announces.
	request   *http.Request
	announced []string
	ended     atomic.Bool
}

// announcedTrailers returns the names of the trailers that the header of a request announces.
func announcedTrailers(r *http.Request) []string { return slices.Collect(maps.Keys(r.Trailer)) }

// dropTrailers drops the trailers that were not announced: net/http keeps them until the response is
// sent, in a map that takes up much more memory than they have bytes.
func (b *pacedBody) dropTrailers() {
	if len(b.announced) == 0 {
		b.request.Trailer = nil
		return
	}
	maps.DeleteFunc(b.request.Trailer, func(name string, _ []string) bool { return !slices.Contains(b.announced, name) })
}

// handled is called when the handler has returned. net/http then reads a part of the rest of the body.
func (b *pacedBody) handled() {
	if b.ended.Load() {
		return
	}
	b.conn.mu.Lock()
	defer b.conn.mu.Unlock()
	b.conn.body.begin(time.Now())
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	c := b.conn
	c.mu.Lock()
	c.body.begin(time.Now())
	c.mu.Unlock()
	n, err := b.ReadCloser.Read(p)
	c.mu.Lock()
	c.body.end(time.Now(), n)
	c.mu.Unlock()
	if err != nil {
		b.ended.Store(true)
	}
	if err == io.EOF {
		b.dropTrailers()
	}
	return n, err
}
