package peer

import (
	"context"
	"sync"
	"time"
)

// Outbox sends items to other daemons in the background. It has one queue per address, and
// sends all items of a queue in one call. A full queue drops its oldest items, and a failed
// call drops its batch: whoever queued the items repeats those that matter.
type Outbox[T any] struct {
	send        func(ctx context.Context, addr string, items []T) error
	limit       int
	sendTimeout time.Duration
	idleTimeout time.Duration

	mu      sync.Mutex
	closed  bool
	queues  map[string]*queue[T]
	senders sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

type queue[T any] struct {
	items []T
	wake  chan struct{}
}

const (
	outboxSendTimeout = time.Second
	outboxIdleTimeout = 5 * time.Second
)

// NewOutbox returns an Outbox that sends batches with send and queues at most limit items per
// address.
func NewOutbox[T any](limit int, send func(ctx context.Context, addr string, items []T) error) *Outbox[T] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Outbox[T]{
		send: send, limit: limit, sendTimeout: outboxSendTimeout, idleTimeout: outboxIdleTimeout,
		queues: map[string]*queue[T]{}, ctx: ctx, cancel: cancel,
	}
}

// Put queues items for addr; it never blocks.
func (o *Outbox[T]) Put(addr string, items ...T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	q := o.queues[addr]
	if q == nil {
		q = &queue[T]{wake: make(chan struct{}, 1)}
		o.queues[addr] = q
		o.senders.Go(func() { o.runSender(addr, q) })
	}
	q.items = append(q.items, items...)
	if extra := len(q.items) - o.limit; extra > 0 {
		q.items = q.items[extra:]
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (o *Outbox[T]) runSender(addr string, q *queue[T]) {
	for {
		batch := o.nextBatch(addr, q)
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, o.sendTimeout)
		_ = o.send(ctx, addr, batch)
		cancel()
	}
}

// nextBatch waits for items. It returns nil if the queue was removed because it was idle, or if
// the outbox is closed.
func (o *Outbox[T]) nextBatch(addr string, q *queue[T]) []T {
	timer := time.NewTimer(o.idleTimeout)
	defer timer.Stop()
	for {
		o.mu.Lock()
		batch := q.items
		q.items = nil
		o.mu.Unlock()
		if len(batch) > 0 {
			return batch
		}
		select {
		case <-q.wake:
		case <-o.ctx.Done():
			return nil
		case <-timer.C:
			if o.removeIfEmpty(addr, q) {
				return nil
			}
			timer.Reset(o.idleTimeout)
		}
	}
}

func (o *Outbox[T]) removeIfEmpty(addr string, q *queue[T]) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q.items) > 0 {
		return false
	}
	delete(o.queues, addr)
	return true
}

// Close drops the queued items and stops the background senders.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.senders.Wait()
}
