package gateway

import (
	"sync"
	"time"

	"github.com/daisygate/daisygate/internal/result"
)

// uploadRoom bounds the streamed bodies that callers are sending at a time. Each takes up buffers
// on both sides of this daemon, and the slot of a backend server for as long as the caller sends.
type uploadRoom struct {
	// max is the maximum number; 0 means no limit.
	max int

	mu      sync.Mutex
	uploads map[*upload]struct{}
}

// upload is a streamed body that a caller is sending.
type upload struct {
	// overdue is when the route's timeout has passed, though the transfer goes on. end ends it.
	overdue time.Time
	end     func()
}

func newUploadRoom(limit int) *uploadRoom {
	return &uploadRoom{max: limit, uploads: map[*upload]struct{}{}}
}

// enter adds an upload and reports whether there was room. Without room, the upload that is overdue
// for longest ends in favor of the new one. leave must be called once the body has arrived or the
// request has ended.
func (r *uploadRoom) enter(u *upload) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.max > 0 && len(r.uploads) >= r.max && !r.endOverdue(time.Now()) {
		return false
	}
	r.uploads[u] = struct{}{}
	return true
}

// endOverdue ends one upload. The caller must hold r.mu.
func (r *uploadRoom) endOverdue(now time.Time) bool {
	var worst *upload
	for u := range r.uploads {
		if u.overdue.Before(now) && (worst == nil || u.overdue.Before(worst.overdue)) {
			worst = u
		}
	}
	if worst == nil {
		return false
	}
	delete(r.uploads, worst)
	worst.end()
	return true
}

// leave removes an upload. It may be called repeatedly.
func (r *uploadRoom) leave(u *upload) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.uploads, u)
}

// enterUpload admits a streamed body, or returns why it is refused. The returned function must be
// called at the end of the request.
func (x *exchange) enterUpload() (leave func(), refused *refusal) {
	if !x.body.streamed {
		return func() {}, nil
	}
	room := x.g.uploads
	u := &upload{overdue: x.observation.start.Add(x.route.Timeout), end: x.timer.expire}
	if !room.enter(u) {
		return nil, &refusal{Error: result.Errorf(result.Overloaded, "this daemon receives %d bodies already", room.max), retryAfter: retryAfterOverload}
	}
	leave = func() { room.leave(u) }
	x.body.onComplete = leave
	return leave, nil
}
