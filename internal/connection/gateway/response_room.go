package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

const (
	// minReservedResponse is the length from which on the memory of a response is reserved before
	// the request is sent.
	minReservedResponse = 64 << 10
	// maxEvictions and evictionWait limit how many slow readers are disconnected for one request, and
	// how long each has to give its memory back.
	maxEvictions = 4
	evictionWait = 2 * time.Millisecond
	// streamCheckInterval is the time between two looks for a slow reader while a response is
	// streamed because there was no memory for it.
	streamCheckInterval = 250 * time.Millisecond
)

// reserveResponse reserves the memory of a large response, by what the route's responses usually
// take. Without memory the response would pass through this daemon as its caller reads it, and hold
// the slot of its backend server so long. If callers are slow to read theirs, the slowest is
// disconnected; otherwise the request is refused. The returned function releases the reservation.
func (x *exchange) reserveResponse() (release func(), refused *refusal) {
	room := x.g.responseBuffer
	need := min(x.g.link.responseLengths.Usual(x.route.Name), room.maxBytes)
	if need < minReservedResponse {
		return func() {}, nil
	}
	for range maxEvictions {
		if room.expect(need) {
			return sync.OnceFunc(func() { room.expectedBytes.Add(-need) }), nil
		}
		if !x.g.cfg.OnResponseMemoryFull() {
			break
		}
		time.Sleep(evictionWait)
	}
	return nil, &refusal{Error: result.Errorf(result.Overloaded, "the memory for responses of this daemon is in use"), retryAfter: retryAfterOverload}
}

// disconnectSlowReaders disconnects callers that are slow to read, one at a time, while a response is
// streamed for lack of memory: it holds the slot of its backend server until its caller has read it,
// and the memory is held by other slow callers. A response that is too large to be buffered is streamed
// anyway and has no such effect. The returned function ends it.
func (g *Gateway) disconnectSlowReaders(resp *http.Response) (stop func()) {
	body, ok := resp.Body.(*prefixedBody)
	if !ok || !body.prefix.lackedMemory {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(streamCheckInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				g.cfg.OnResponseMemoryFull()
			}
		}
	}()
	return func() { close(done) }
}

// isBuffered reports whether a response was read completely.
func isBuffered(resp *http.Response) bool {
	_, ok := resp.Body.(*bufferedBody)
	return ok
}
