package peer

import (
	"context"
	"sync"
	"time"
)

// Outbox sends items to other daemons in the background: one queue for each
// address, what waits in it goes in one call. A full queue drops its oldest
// items, and a failed call drops its batch: the senders' decisions repeat what
// matters.
type Outbox[T any] struct {
	send    func(ctx context.Context, addr string, items []T) error
	limit   int
	timeout time.Duration
	idle    time.Duration

	mu     sync.Mutex
	closed bool
	queues map[string]*queue[T]
	wait   sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

type queue[T any] struct {
	items []T
	wake  chan struct{}
}

const (
	outboxTimeout = time.Second
	outboxIdle    = 5 * time.Second
)

// NewOutbox returns an Outbox that delivers batches with send and keeps at most
// limit items for each address.
func NewOutbox[T any](limit int, send func(ctx context.Context, addr string, items []T) error) *Outbox[T] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Outbox[T]{
		send: send, limit: limit, timeout: outboxTimeout, idle: outboxIdle,
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
		o.wait.Go(func() { o.drain(addr, q) })
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

func (o *Outbox[T]) drain(addr string, q *queue[T]) {
	for {
		batch := o.take(addr, q)
		if batch == nil {
			return
		}
		ctx, cancel := context.WithTimeout(o.ctx, o.timeout)
		_ = o.send(ctx, addr, batch)
		cancel()
	}
}

// take waits for items; nil means the queue was idle and is gone.
func (o *Outbox[T]) take(addr string, q *queue[T]) []T {
	timer := time.NewTimer(o.idle)
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
			if o.retire(addr, q) {
				return nil
			}
			timer.Reset(o.idle)
		}
	}
}

func (o *Outbox[T]) retire(addr string, q *queue[T]) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(q.items) > 0 {
		return false
	}
	delete(o.queues, addr)
	return true
}

// Close drops what is queued and ends the background work.
func (o *Outbox[T]) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.wait.Wait()
}
