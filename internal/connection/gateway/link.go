package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	corelink "github.com/daisygate/daisygate/internal/request/link"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// maxInboundTransfers is the number of large bodies received at the same time. One is
	// enough to fill the link: the caller is on the sending daemon's instance, so no link
	// of its own slows the body down. With two, small requests wait longer for the same
	// uploads.
	maxInboundTransfers = 1
	// maxOutboundTransfers is the number of large responses sent at the same time: if one
	// reader is slow, the other continues.
	maxOutboundTransfers = 2
	// shortTransferTime is the transfer time up to which a body does not queue: waiting
	// for its turn would take longer.
	shortTransferTime = 20 * time.Millisecond
	// inboundTimeShare and outboundTimeShare are fractions of the time left until the
	// target. Within the first, a body must have arrived and its request have been
	// answered; within the second, a response must have been sent. The rest is for
	// everything else.
	inboundTimeShare  = 0.6
	outboundTimeShare = 0.8
	// outboundRateShare is the fraction of the link's rate used for calls. The rest is
	// for control traffic and packet overhead: on a saturated link small messages queue
	// behind the large ones. maxLinkBacklog is how much data, as time at the link's rate,
	// may queue in front of the link.
	outboundRateShare = 0.88
	maxLinkBacklog    = 10 * time.Millisecond
	// stalledWriteTimeout is how long the reader of a response may read nothing before
	// the response loses its turn; a part normally takes a small fraction of it. A daemon
	// that is frozen or partitioned reads nothing for seconds, and its connections do not
	// show it.
	stalledWriteTimeout = 150 * time.Millisecond
	// messageOverheadBytes is the size of a message between daemons without its body.
	messageOverheadBytes = 600
)

// link schedules large bodies on the instance's link: requests to the servers of this
// instance come in, and their responses go out.
type link struct {
	inbound, outbound *linkDirection
	// responseLengths are the response lengths by route, both of the servers on this
	// instance and of those that this daemon has called.
	responseLengths corelink.Lengths
}

// newLink returns a link with the given rate in bytes per second in each direction; 0
// means unknown.
func newLink(rate float64) *link {
	return &link{
		inbound:  newLinkDirection(rate, maxInboundTransfers, corelink.InOrder),
		outbound: newLinkDirection(outboundRateShare*rate, maxOutboundTransfers, corelink.ShortestFirst),
	}
}

// linkDirection is one direction of the link.
type linkDirection struct {
	mu sync.Mutex
	// core is nil if the link's rate is unknown.
	core    *corelink.Core
	waiting map[uint64]chan struct{}
	// drainedAt is when everything sent so far will have passed the link at its rate.
	drainedAt time.Time
}

func newLinkDirection(rate float64, maxConcurrent int, order corelink.Order) *linkDirection {
	d := &linkDirection{waiting: map[uint64]chan struct{}{}}
	if rate > 0 {
		d.core = corelink.New(rate, maxConcurrent, order)
	}
	return d
}

// queuedBytes returns the number of bytes that a new body may have to wait for.
func (d *linkDirection) queuedBytes() int64 {
	if d.core == nil {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.core.PendingBytes()
}

// isLarge reports whether a body of the given length, or -1 if unknown, occupies the link
// for longer than shortTransferTime.
func (d *linkDirection) isLarge(bytes int64) bool {
	return d.core != nil && d.core.TransferTime(bytes) > shortTransferTime
}

// add registers a body. granted is nil if the body may be sent immediately; otherwise it
// is closed when the body may be sent.
func (d *linkDirection) add(bytes int64) (id uint64, granted chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	id, immediate := d.core.Arrive(bytes)
	if !immediate {
		granted = make(chan struct{})
		d.waiting[id] = granted
	}
	return id, granted
}

// recordSent records that n bytes of a body have been sent. granted is nil if the body
// may continue; otherwise it is closed when it may.
func (d *linkDirection) recordSent(id uint64, n int) (granted chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	continues, next := d.core.RecordProgress(id, n)
	if continues {
		return nil
	}
	granted = make(chan struct{})
	d.waiting[id] = granted
	d.grant(next)
	return granted
}

func (d *linkDirection) remove(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
	for _, started := range d.core.Remove(id) {
		d.grant(started)
	}
}

func (d *linkDirection) grant(id uint64) {
	if granted := d.waiting[id]; granted != nil {
		close(granted)
		delete(d.waiting, id)
	}
}

// reserve announces a body that will be sent later. A negative length cancels the
// reservation once the body has started or will not be sent.
func (d *linkDirection) reserve(bytes int64) {
	if d.core == nil || bytes == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.core.Expect(bytes)
}

// pacingDelay returns how long to wait before sending n more bytes, so that at most
// maxLinkBacklog queues in front of the link.
func (d *linkDirection) pacingDelay(now time.Time, n int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.drainedAt.Before(now) {
		d.drainedAt = now
	}
	wait := d.drainedAt.Sub(now) - maxLinkBacklog
	d.drainedAt = d.drainedAt.Add(d.core.TransferTime(int64(n)))
	return wait
}

// recordSmallMessage accounts for a small message with a body of n bytes. It is not
// delayed; large transfers wait for it instead.
func (d *linkDirection) recordSmallMessage(n int64) {
	if d.core != nil {
		d.pacingDelay(time.Now(), int(max(n, 0))+messageOverheadBytes)
	}
}

// schedulesBody reports whether a request's body has to be scheduled on the link: it
// comes from another daemon and takes long to transfer.
func (l *link) schedulesBody(req *backendRequest) bool {
	return req.remote && req.body.streamed && l.inbound.isLarge(req.body.contentLength())
}

// largeBodyLength returns the length of a body that takes long to transfer. It returns 0
// for other bodies and for unknown lengths.
func (l *link) largeBodyLength(b *requestBody) int64 {
	if !b.streamed || !l.inbound.isLarge(b.contentLength()) {
		return 0
	}
	return max(0, b.contentLength())
}

// expectedLargeResponse returns the usual response length of a route if such a response
// takes long to transfer, otherwise 0.
func (l *link) expectedLargeResponse(route string) int64 {
	if l.outbound.core == nil {
		return 0
	}
	if typicalLength := l.responseLengths.Usual(route); l.outbound.isLarge(typicalLength) {
		return typicalLength
	}
	return 0
}

// admitBody waits until the body of a request may be received. typicalTime is the usual
// time from then to the response. The body is unregistered automatically at its end.
func (l *link) admitBody(ctx context.Context, req *backendRequest, typicalTime time.Duration) *refusal {
	inbound := l.inbound
	inbound.mu.Lock()
	wait := inbound.core.Wait()
	inbound.mu.Unlock()
	if wait > 0 {
		if late := req.lateness(wait+typicalTime, inboundTimeShare); late > 0 {
			return &refusal{Error: result.Errorf(result.Overloaded, "the link is saturated: the request body is expected to start in %s", wait), retryAfter: late}
		}
	}
	id, granted := inbound.add(req.body.contentLength())
	req.body.setCallbacks(func(n int) { inbound.recordSent(id, n) }, func() { inbound.remove(id) })
	if granted == nil {
		return nil
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		req.body.finish()
		code := contextEndCode(ctx)
		return newRefusal(code, fmt.Sprintf("%s The request body was waiting for the link.", code.Meaning()))
	}
}

// lateness returns by how much a response expected after the given time exceeds a share
// of the time left until the target. It is 0 or less if it does not, or if the target is
// unknown.
func (req *backendRequest) lateness(expected time.Duration, share float64) time.Duration {
	if req.usefulUntil.IsZero() {
		return 0
	}
	return expected - time.Duration(share*float64(time.Until(req.usefulUntil)))
}

// admitResponse refuses a request whose response is not expected to be sent over the link
// in time. typicalTime is the usual duration of the request. Responses to callers of this
// instance do not use the link. If refused is nil, the caller must call release when the
// response starts to be sent or will not be sent.
func (l *link) admitResponse(req *backendRequest, typicalTime time.Duration) (release func(), refused *refusal) {
	bytes := l.expectedLargeResponse(req.route)
	if !req.remote || bytes == 0 {
		return func() {}, nil
	}
	queued := l.outbound.queuedBytes()
	startsIn := max(typicalTime, l.outbound.core.TransferTime(queued))
	if late := req.lateness(startsIn+l.outbound.core.TransferTime(bytes), outboundTimeShare); queued > 0 && late > 0 {
		return nil, &refusal{Error: result.Errorf(result.Overloaded, "the link is saturated: the response is expected to start in %s", startsIn), retryAfter: late}
	}
	l.outbound.reserve(bytes)
	return sync.OnceFunc(func() { l.outbound.reserve(-bytes) }), nil
}

// responseTransfer is a large response being sent over the link. It is nil for a response
// too short to be scheduled.
type responseTransfer struct {
	outbound *linkDirection
	id       uint64
	granted  chan struct{}
}

// startTransfer registers a response of the given length, or -1 if unknown.
func (l *link) startTransfer(bytes int64) *responseTransfer {
	if !l.outbound.isLarge(bytes) {
		l.outbound.recordSmallMessage(bytes)
		return nil
	}
	id, granted := l.outbound.add(bytes)
	return &responseTransfer{outbound: l.outbound, id: id, granted: granted}
}

// waitToSend returns when n more bytes may be sent.
func (t *responseTransfer) waitToSend(ctx context.Context, n int) error {
	if t == nil || n == 0 {
		return nil
	}
	if t.granted != nil {
		select {
		case <-t.granted:
			t.granted = nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	wait := t.outbound.pacingDelay(time.Now(), n)
	if wait <= 0 {
		return nil
	}
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// sendPart calls write to send a part of n bytes. If the reader does not accept the part
// in time, other transfers continue.
func (t *responseTransfer) sendPart(n int, write func() error) error {
	if t == nil || n == 0 {
		return write()
	}
	stallTimer := time.AfterFunc(stalledWriteTimeout, t.finish)
	err := write()
	// A transfer that lost its turn to the timer has none to wait for again.
	if stallTimer.Stop() && err == nil {
		t.granted = t.outbound.recordSent(t.id, n)
	}
	return err
}

// finish gives up the turn. Anything sent afterwards is only paced.
func (t *responseTransfer) finish() {
	if t != nil {
		t.outbound.remove(t.id)
	}
}
