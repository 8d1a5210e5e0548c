package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/request/inflow"
	"github.com/daisygate/daisygate/internal/result"
)

const (
	// bodiesAtATime is how many large bodies come in over the link together. One uses
	// the link up: a caller's own link is none, its instance has the body. With two,
	// small requests took half as long again for the same uploads (median 111
	// against 69 ms where an upload takes 270 ms of the link).
	bodiesAtATime = 1
	// briefBody is how long a body may take the link and go past the others: waiting
	// for a turn would cost it more.
	briefBody = 20 * time.Millisecond
	// inflowShare is the part of the time to the target within which a body has to
	// be here and the request be answered; the rest is for what goes otherwise.
	inflowShare = 0.6
)

// link lets large bodies for the servers beside this daemon in.
type link struct {
	mu sync.Mutex
	// core is nil where the link's rate is not known.
	core    *inflow.Core
	waiting map[uint64]chan struct{}
}

func newLink(rate float64) *link {
	l := &link{waiting: map[uint64]chan struct{}{}}
	if rate > 0 {
		l.core = inflow.New(rate, bodiesAtATime)
	}
	return l
}

// ahead is the bytes that are on their way to the servers beside.
func (l *link) ahead() int64 {
	if l.core == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Ahead()
}

// shares reports whether a request's body has to share the link with others: it
// comes from another daemon and takes the link for long.
func (l *link) shares(k *work) bool { return k.remote && l.long(k.body) }

func (l *link) long(b *requestBody) bool {
	return l.core != nil && b.stream && l.core.Takes(b.length()) > briefBody
}

// large is the length of a body that takes a link for long, 0 of others or where it
// is not told.
func (l *link) large(b *requestBody) int64 {
	if !l.long(b) {
		return 0
	}
	return max(0, b.length())
}

// enter waits until the body of a request may come; usual is how long the request
// takes from then to its answer. The body leaves by itself at its end.
func (l *link) enter(ctx context.Context, k *work, usual time.Duration) *refusal {
	l.mu.Lock()
	if wait := l.core.Wait(); wait > 0 && !k.useful.IsZero() {
		if late := wait + usual - time.Duration(inflowShare*float64(time.Until(k.useful))); late > 0 {
			l.mu.Unlock()
			return &refusal{Error: result.Errorf(result.Overloaded, "the link is full: the body is expected in %s", wait), back: late}
		}
	}
	id, now := l.core.Arrive(k.body.length())
	var turn chan struct{}
	if !now {
		turn = make(chan struct{})
		l.waiting[id] = turn
	}
	l.mu.Unlock()
	k.body.counts(func(n int) { l.came(id, n) }, func() { l.leave(id) })
	if now {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		k.body.leave()
		code := whyEnded(ctx)
		return refuse(code, fmt.Sprintf("%s The body waited for the link.", code.Meaning()))
	}
}

func (l *link) came(id uint64, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.Came(id, n)
}

func (l *link) leave(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, id)
	for _, started := range l.core.Leave(id) {
		if turn := l.waiting[started]; turn != nil {
			close(turn)
			delete(l.waiting, started)
		}
	}
}
